//go:build review

package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// TwiceNode is a server that runs each request once and sends each answer twice, the second copy some milliseconds
// after the first, on the same connection (STANDING: "a second answer may come some milliseconds late").
type TwiceNode struct {
	Address string

	record *Record
	work   time.Duration
	late   time.Duration // of the second copy
	answer func(target string) string
	twice  func() bool // whether the next answer is sent twice
}

// StartTwiceNode starts a server on a free port. answer returns the body for a request, and twice whether it is sent
// twice.
func StartTwiceNode(
	record *Record, work, late time.Duration, answer func(target string) string, twice func() bool,
) (*TwiceNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &TwiceNode{Address: listener.Addr().String(), record: record, work: work, late: late, answer: answer, twice: twice}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n, nil
}

func (n *TwiceNode) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		n.record.Line("node: request %s for %s began to run", id, request.URL.Path)
		time.Sleep(n.work)
		body := n.answer(request.URL.RequestURI())
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		write := func(what string) {
			writing.Lock()
			defer writing.Unlock()
			io.WriteString(conn, answer)
			n.record.Line("node: %s answer to request %s written", what, id)
		}
		write("the")
		if n.twice() {
			time.AfterFunc(n.late, func() { write("a second copy of the") })
		}
	}
}
