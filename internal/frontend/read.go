package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// readBody reads a body, or the part of it that is read ahead.
func (f *Server) readBody(c *clientConn, q *pool.Request, framed http1.Framing) (err error) {
	limits := q.Message.Most()
	src := c.Body(framed, limits.Request)
	c.conn.allowBody(bufferedBodyBytes)
	if q.Message.Body, err = src.UpTo(bufferedBodyBytes); err != nil || src.Ended() {
		q.Message.Trailer = limits.Trailer(src)
		return err
	}
	rest := body.NewUpload(&f.spool, c.conn, framed, limits)
	c.conn.allowBody(limits.Ahead)
	if err := rest.Fill(src); err != nil {
		rest.Release()
		return err
	}
	rest.Settle(len(q.Message.Body))
	if l := f.limits.Load(); l.Floor {
		rest.Hurry(body.Floor{Rate: l.Rate, Grace: l.Within})
	}
	q.Message.Rest = rest
	return nil
}

// Once names the fields of which a second one would leave open which of them counts.
var Once = []string{
	"Host", "Content-Length", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key",
	"X-Retry", "X-Cost-Hint", "X-Extras", "Cookie",
}

// ReadRequest reads one request off a connection as a Front does, for who wants to know what becomes of it; nil is a question after
// the balancer's health.
func ReadRequest(d Router, c net.Conn) (Exchange, error) {
	s := &clientConn{Stream: http1.NewStream(c, readBufferBytes)}
	s.Limit(http1.MaxHead)
	call, _, err := New(d, nil, Usual(1)).readRequest(s)
	return call, err
}

// readRequest reads a client's request; nil is a question after this balancer's health. What is malformed never reaches the
// module.
func (f *Server) readRequest(c *clientConn) (Exchange, http1.Fields, error) {
	line, h, err := c.Head()
	if err != nil {
		return nil, nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(rest, " ")
	if c.http10 = version == "HTTP/1.0" && f.limits.Load().HTTP10; version != "HTTP/1.1" && !c.http10 {
		return nil, nil, &Rejection{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted"}
	}
	if c.http10 && h.Has("Transfer-Encoding") { // RFC 9112, section 6.1
		return nil, nil, BadRequest("Transfer-Encoding in HTTP/1.0")
	}
	for _, name := range Once {
		if h.Count(name) > 1 {
			return nil, nil, BadRequest("%s stands there more than once", name)
		}
	}
	if method == http.MethodGet && target == "/healthz" && h.Get("X-Request-Id") == "" {
		return nil, h, nil
	}
	call, err := f.router.Check(method, target, &h)
	if err != nil {
		return nil, nil, err
	}
	q := call.PoolRequest()
	if expect := h.Get("Expect"); expect != "" && !strings.EqualFold(expect, "100-continue") && !c.http10 {
		return nil, nil, &Rejection{http.StatusExpectationFailed, "of expectations, 100-continue is known"}
	}
	framed, some, err := http1.FramingOf(h)
	switch {
	case errors.Is(err, http1.ErrLarge), err == nil && framed.Length > uint64(q.Message.Most().Request):
		return nil, nil, &Rejection{http.StatusRequestEntityTooLarge, "a body of that length is not taken"}
	case err != nil && !h.Has("Content-Length"): // RFC 9112, section 6.1
		return nil, nil, &Rejection{http.StatusNotImplemented, "of transfer codings, chunked is known"}
	case err != nil && h.Has("Transfer-Encoding"):
		// An upstream may go by the other one: the rest of the body would be a request of its own.
		return nil, nil, BadRequest("Content-Length beside Transfer-Encoding")
	case err != nil:
		return nil, nil, BadRequest("Content-Length is no number")
	case !some && q.Message.Bodied:
		return nil, nil, &Rejection{http.StatusLengthRequired, "a Content-Length or chunks are wanted"}
	case (framed.Chunked || framed.Length > 0) && !q.Message.Bodied:
		return nil, nil, BadRequest("%s with a body", method)
	}
	if some {
		if strings.EqualFold(h.Get("Expect"), "100-continue") && c.Buffered() == 0 && !c.http10 {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // if it fails so does the reading
		}
		if err := f.readBody(c, q, framed); err != nil {
			return nil, nil, err
		}
	}
	if c.Buffered() > 0 && !q.Message.Rest.Live() {
		return nil, nil, errPipelined
	}
	q.ReceivedAt = f.router.Now() // it counts from its last byte
	return call, h, nil
}
