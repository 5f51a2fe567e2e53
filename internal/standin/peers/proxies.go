package peers

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
)

// reverse is net/http/httputil's ReverseProxy over the nodes in turn.
func reverse(nodes []string) error {
	var next atomic.Uint64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host = "http", nodes[next.Add(1)%uint64(len(nodes))]
			r.Out.Host = r.In.Host
		},
		Transport: &http.Transport{MaxIdleConns: 1000, MaxIdleConnsPerHost: 200, DisableCompression: true},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	return http.Serve(l, p)
}

// relay copies bytes between a client's connection and one to a node, and reads nothing in them.
func relay(nodes []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	for i := 0; ; i++ {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			u, err := net.Dial("tcp", nodes[i%len(nodes)])
			if err != nil {
				return
			}
			defer u.Close()
			go pump(u, c)
			pump(c, u)
		}()
	}
}

// pump copies through memory, as a proxy that reads messages must: io.Copy would leave it to the kernel.
func pump(to, from net.Conn) {
	b := make([]byte, 4<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
}
