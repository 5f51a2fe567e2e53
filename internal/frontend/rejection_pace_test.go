package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// refusingRouter is a Router that refuses sound requests, as one whose queue is full does.
type refusingRouter struct{ heldRouter }

type refusedExchange struct{ *heldExchange }

func (r *refusingRouter) Check(method, target string, header *http1.Fields) (Exchange, error) {
	held, err := r.heldRouter.Check(method, target, header)
	if err != nil {
		return nil, err
	}
	return refusedExchange{held.(*heldExchange)}, nil
}

func (refusedExchange) Admit() (pool.Response, error) {
	return pool.Response{Status: http.StatusServiceUnavailable}, nil
}

// TestRejectionsAreNotHeldBack guards against clients that wait for a rejection, or for the refusal of a sound request,
// because others get very many of them.
func TestRejectionsAreNotHeldBack(t *testing.T) {
	const rejections, longest = 400, time.Second // for all of them, one after another
	for _, test := range []struct {
		name, request string
		status        int
	}{
		{"an unknown version", "GET /a HTTP/7.0\r\n\r\n", http.StatusHTTPVersionNotSupported},
		{"a field twice", "GET /a HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n", http.StatusBadRequest},
		{"a sound request", getRequest, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startRefusing(t)
			began := time.Now()
			for range rejections {
				if got := requestStatus(t, address, test.request); got != test.status {
					t.Fatalf("status %d, want %d", got, test.status)
				}
			}
			if took := time.Since(began); took > longest {
				t.Errorf("%d answers took %v", rejections, took)
			}
		})
	}
}

// startRefusing starts a Server with a refusingRouter, which runs until the test ends, and returns its address.
func startRefusing(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(&refusingRouter{}, listener, DefaultLimits(10))
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// requestStatus sends a request on a new connection and returns the status of the response.
func requestStatus(t *testing.T, address, request string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}
