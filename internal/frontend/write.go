package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// reject answers a client whose request can't be served, and closes the connection: where its next request begins
// is not certain. One whose connection broke gets no answer.
func (f *Server) reject(c *clientConn, err error) {
	if !f.enterStage(c, stageReading) {
		return
	}
	r := &Rejection{http.StatusBadRequest, err.Error()}
	if isTimeout(err) {
		r = &Rejection{http.StatusRequestTimeout, "the request did not come whole in time"}
	} else if errors.Is(err, body.ErrSlow) {
		r.Status = http.StatusRequestTimeout
	} else if errors.Is(err, http1.ErrLine) {
		r.Status = http.StatusRequestURITooLong
	} else if errors.Is(err, http1.ErrLong) {
		r.Status = http.StatusRequestHeaderFieldsTooLarge
	} else if errors.Is(err, http1.ErrLarge) {
		r.Status = http.StatusRequestEntityTooLarge
	} else if !errors.As(err, &r) && !errors.Is(err, http1.ErrHead) && !errors.Is(err, http1.ErrFrame) {
		return
	}
	if c.writeResponse(pool.Response{Status: r.Status, Body: []byte(r.Why + "\n"), ContentType: "text/plain"}, true) != nil {
		return
	}
	c.lingeringClose(lingerTimeout, lingerBytes)
}

// lingeringClose reads and drops what a client still sends, for a time and up to a number of bytes.
func (c *clientConn) lingeringClose(within time.Duration, most int64) {
	if half, ok := c.conn.Conn.(interface {
		net.Conn
		CloseWrite() error
	}); ok {
		half.CloseWrite()
		half.SetReadDeadline(time.Now().Add(within))
		io.CopyN(io.Discard, half, most)
	}
}

// writeResponse writes an answer. If it fails the client has gone, and can tell that the answer is not whole.
func (c *clientConn) writeResponse(a pool.Response, last bool) error {
	b := http1.Buffer()
	defer http1.Done(b)
	field := func(name, value string) {
		b.WriteString(name)
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	field("HTTP/1.1 ", strconv.Itoa(a.Status)+" "+http.StatusText(a.Status))
	http1.WriteFields(b, a.Header)
	switch {
	case a.Tunnel != nil:
		field("Connection: ", "Upgrade")
		field("Upgrade: ", a.Header.Get("Upgrade"))
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified: // end with their head (RFC 9112, section 6.3)
	case a.Stream != nil && a.Stream.Framed() && c.http10: // to the close
		last = true
	case a.Stream != nil && a.Stream.Framed(), len(a.Trailer) > 0 && !c.http10:
		field("Transfer-Encoding: ", "chunked")
	case a.Stream != nil:
		field("Content-Length: ", strconv.FormatUint(a.Stream.Length(), 10))
	case a.Header.Has("Content-Length") && len(a.Body) == 0: // an answer to HEAD tells the length that GET would have
		field("Content-Length: ", a.Header.Get("Content-Length"))
	default:
		field("Content-Length: ", strconv.Itoa(len(a.Body)))
	}
	if a.ContentType != "" {
		field("Content-Type: ", a.ContentType)
	}
	if a.RetryAfter > 0 && a.RetryAfterInSeconds {
		field("Retry-After: ", strconv.FormatInt(int64((a.RetryAfter+time.Second-1)/time.Second), 10))
	} else if a.RetryAfter > 0 {
		field("Retry-After: ", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if last {
		field("Connection: ", "close")
	} else if c.http10 {
		field("Connection: ", "keep-alive")
	}
	b.WriteString("\r\n")
	if len(a.Trailer) > 0 && a.Stream == nil && !c.http10 {
		http1.WriteChunk(b, a.Body)
		http1.WriteEnd(b, a.Trailer)
	} else {
		b.Write(a.Body)
	}
	c.conn.allowWrite(responseWriteTimeout)
	if _, err := c.Write(b.Bytes()); err != nil || a.Stream == nil {
		a.Stream.Abandon()
		return err
	}
	if err := a.Stream.Copy(c, !c.http10); err != nil || !c.http10 || !a.Stream.Framed() {
		return err
	}
	return errEndsWithClose
}

// errEndsWithClose ends a connection whose close is the end of the answer.
var errEndsWithClose = errors.New("the answer ends with the connection")

// writeEarlyHints writes an interim answer, unless the reader has ended the request.
func (c *clientConn) writeEarlyHints(a pool.Response) {
	if c.http10 || c.exchangeState.Load() != exchangePending {
		return
	}
	b := http1.Buffer()
	defer http1.Done(b)
	b.WriteString("HTTP/1.1 103 Early Hints\r\n")
	http1.WriteFields(b, a.Header)
	b.WriteString("\r\n")
	c.conn.allowWrite(responseWriteTimeout)
	c.Write(b.Bytes()) // if it fails so does the answer
}
