package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
)

var filling = bytes.Repeat([]byte("0123456789abcdef"), 16<<10)

// startNode starts a node that serves /down?N with N bytes, takes bodies, and changes to the protocol "echo".
func startNode() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l, nil
}

func serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch {
		case r.Header.Get("Upgrade") != "":
			io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
			io.Copy(c, in)
			return
		case r.URL.Path == "/down":
			left, err := strconv.Atoi(r.URL.RawQuery)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", left)
			for left > 0 && err == nil {
				var n int
				n, err = c.Write(filling[:min(left, len(filling))])
				left -= n
			}
		default:
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		if err != nil {
			return
		}
	}
}
