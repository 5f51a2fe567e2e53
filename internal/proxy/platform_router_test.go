package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/frontend"
	"olivearch/internal/pool"
	"olivearch/internal/standin/scripted"
)

// FuzzRequest reads arbitrary bytes as a client's request. The bytes forwarded must be a single request for the
// upstream, with nothing after it, and the same as the client's.
func FuzzRequest(f *testing.F) {
	const id = "X-Request-Id: 1\r\n"
	for _, text := range []string{
		checkinHead(id+"Content-Length: 2\r\n") + "ab",
		checkinHead(id+"Content-Length: 2\r\nConnection: X-A, close\r\nX-A: 1\r\nCookie: obj=7f\r\n") + "ab",
		checkinHead(id + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"),
		checkinHead(id+"Transfer-Encoding: chunked\r\n") + "2;x=y\r\nab\r\n0\r\nX-T: 1\r\n\r\n",
		"\r\n" + checkinHead(id+"Content-Length: 0\r\n"),
		checkinHead(id + "Content-Length: 0\r\nX-Deadline-Ms: 9\r\nX-Cost-Hint: 7\r\n folded\r\n"),
		"GET /read?q=1 HTTP/1.1\r\nHost: x\r\nX-Class: read\r\n" + id + "\r\n",
		"GET /healthz HTTP/1.1\r\n\r\n", "",
	} {
		f.Add([]byte(text))
	}
	p, err := pool.New(f.Context(), pool.Spec{Settings: oneClassSettings()}, nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	router := newPlatformRouter([]balancer.Class{
		{Name: "checkin", Deadline: time.Second, Idempotency: balancer.NonIdempotent},
		{Name: "read", Deadline: time.Second, Idempotency: balancer.Idempotent},
	}, p)
	f.Fuzz(func(t *testing.T, text []byte) {
		exchange, err := frontend.ReadRequest(router, scripted.Saying(text))
		if err != nil || exchange == nil {
			return
		}
		request := exchange.PoolRequest()
		if request.Budget < 0 || request.Budget > time.Second {
			t.Errorf("budget %v", request.Budget)
		}
		in := bufio.NewReader(bytes.NewReader(request.Message.Bytes(time.Second)))
		received, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("the upstream can't read %q: %v", request.Message.Bytes(time.Second), err)
		}
		body, err := io.ReadAll(received.Body)
		if request.Message.Upload != nil {
			return // a long body, which is forwarded in parts, is not compared
		}
		if err != nil || !bytes.Equal(body, request.Message.Body) || in.Buffered() > 0 || len(received.TransferEncoding) > 0 {
			t.Errorf("forwarded %q: the upstream reads %q, %v, and %d bytes remain",
				request.Message.Bytes(time.Second), body, err, in.Buffered())
		}
		sameID := received.Header.Get("X-Request-Id") == request.ClientRequestID
		if !sameID || !strings.HasPrefix(request.Message.RequestLine, received.Method+" "+received.RequestURI) {
			t.Errorf("forwarded %q", request.Message.Bytes(time.Second))
		}
	})
}
