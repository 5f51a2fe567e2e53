package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"clayladder"
)

// said is a connection on which all has been said.
type said struct {
	net.Conn
	io.Reader
}

func (s said) Read(b []byte) (int, error)      { return s.Reader.Read(b) }
func (s said) Write(b []byte) (int, error)     { return len(b), nil }
func (s said) SetReadDeadline(time.Time) error { return nil }

// FuzzAnswer reads what an upstream may say. What is taken for whole must be so for net/http too, with the same body.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 200 OK\r\n\r\nto the close",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200\nTransfer-Encoding: chunked\n\n0\r\n\n", // cut inside its last line end
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Load: util=1\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nab", "ICY 200 OK\r\n\r\n", "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := newStream(said{Reader: bytes.NewReader(text)}, 2<<10)
		status, _, framed, err := s.answer(false)
		if err != nil {
			return
		}
		body, err := io.ReadAll(s.reader(framed))
		if err != nil {
			return
		}
		in := bufio.NewReader(bytes.NewReader(text))
		resp, err := http.ReadResponse(in, nil)
		for err == nil && resp.StatusCode < 200 {
			resp, err = http.ReadResponse(in, nil)
		}
		if err != nil {
			t.Fatalf("taken, but unreadable for others: %v", err)
		}
		if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
			return // these have no body there
		}
		other, err := io.ReadAll(resp.Body)
		if status != resp.StatusCode || err != nil || !bytes.Equal(body, other) {
			t.Errorf("got %d, %q; others read %d, %q, %v", status, body, resp.StatusCode, other, err)
		}
	})
}

// FuzzRequest reads what a client may send. What is passed on must be one request for the upstream, with nothing behind
// it, and the same as the client's.
func FuzzRequest(f *testing.F) {
	const id = "X-Request-Id: 1\r\n"
	for _, text := range []string{
		checkin(id+"Content-Length: 2\r\n") + "ab",
		checkin(id+"Content-Length: 2\r\nConnection: X-A, close\r\nX-A: 1\r\nCookie: obj=7f\r\n") + "ab",
		checkin(id + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"),
		checkin(id+"Transfer-Encoding: chunked\r\n") + "2;x=y\r\nab\r\n0\r\nX-T: 1\r\n\r\n",
		"\r\n" + checkin(id+"Content-Length: 0\r\n"),
		checkin(id + "Content-Length: 0\r\nX-Deadline-Ms: 9\r\nX-Cost-Hint: 7\r\n folded\r\n"),
		"GET /read?q=1 HTTP/1.1\r\nHost: x\r\nX-Class: read\r\n" + id + "\r\n",
		"GET /healthz HTTP/1.1\r\n\r\n", "",
	} {
		f.Add([]byte(text))
	}
	fe := newFrontend(newPlatform([]clayladder.Class{
		{Name: "checkin", Deadline: time.Second, Repeat: clayladder.Unsafe},
		{Name: "read", Deadline: time.Second, Repeat: clayladder.Safe},
	}, &loop{origin: time.Now()}), nil, 1)
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &client{stream: newStream(said{Reader: bytes.NewReader(text)}, 4<<10)}
		c.bound.N = maxHead
		q, _, err := fe.read(c)
		if err != nil || q == nil {
			return
		}
		if q.Budget < 0 || q.Budget > time.Second {
			t.Errorf("budget %v", q.Budget)
		}
		in := bufio.NewReader(bytes.NewReader(q.message.bytes(time.Second)))
		r, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("the upstream can't read %q: %v", q.message.bytes(time.Second), err)
		}
		body, err := io.ReadAll(r.Body)
		if q.message.rest != nil {
			return // longer than the fuzzer's texts
		}
		if err != nil || !bytes.Equal(body, q.message.body) || in.Buffered() > 0 || len(r.TransferEncoding) > 0 {
			t.Errorf("passed on %q, of which the upstream reads %q, %v, %d more", q.message.bytes(time.Second), body, err, in.Buffered())
		}
		if r.Header.Get("X-Request-Id") != q.name || !strings.HasPrefix(q.message.line, r.Method+" "+r.RequestURI) {
			t.Errorf("passed on %q", q.message.bytes(time.Second))
		}
	})
}
