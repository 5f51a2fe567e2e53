package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"olivearch/internal/standin/scripted"
)

// FuzzAnswer reads arbitrary bytes as an upstream's response. If this package accepts a response as complete, net/http
// must read the same status and body from the same bytes.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\n\r\nto the close",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200\nTransfer-Encoding: chunked\n\n0\r\n\n", // cut inside its last line end
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Load: util=1\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nab", "ICY 200 OK\r\n\r\n", "",
		"\r\nHTTP/1.1 200\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := NewStream(scripted.Saying(text), 2<<10)
		status, _, framed, err := s.ReadResponseHead(RequestInfo{})
		if err != nil {
			return
		}
		body, err := io.ReadAll(s.Body(framed, 48<<20))
		if err != nil {
			return
		}
		resp, err := readFinalResponse(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			t.Fatalf("accepted here, rejected by net/http: %v", err)
		}
		defer func() { _ = resp.Body.Close() }() // the body has been read, or there is none
		if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
			return // net/http reads no body of these
		}
		other, err := io.ReadAll(resp.Body)
		if status != resp.StatusCode || err != nil || !bytes.Equal(body, other) {
			t.Errorf("got %d, %q; net/http reads %d, %q, %v", status, body, resp.StatusCode, other, err)
		}
	})
}

// readFinalResponse reads a response with net/http and skips the interim ones before it.
func readFinalResponse(in *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		_ = resp.Body.Close() // an interim response has none
	}
}
