package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/internal/pool"
)

// TestRejectionsAreNotHeldBack guards against clients whose requests can't be served and which wait for an answer
// because others send such requests too.
func TestRejectionsAreNotHeldBack(t *testing.T) {
	const rejections, longest = 400, time.Second // together
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(&heldRouter{make(chan *pool.Request, 1)}, listener, DefaultLimits(10))
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	defer func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}()
	began := time.Now()
	for range rejections {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET /a HTTP/7.0\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		conn.Close()
		if response.StatusCode != http.StatusHTTPVersionNotSupported {
			t.Fatalf("status %d", response.StatusCode)
		}
	}
	if took := time.Since(began); took > longest {
		t.Errorf("%d rejections took %v", rejections, took)
	}
}
