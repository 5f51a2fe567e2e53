package frontend

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// errEndsWithClose is returned for a complete response whose end the client recognizes by the close of the connection
// (RFC 9112, section 6.3).
var errEndsWithClose = errors.New("response must end with the close of the connection")

// bodyFraming is the way in which a client finds the end of a response (RFC 9112, section 6.3).
type bodyFraming int

const (
	framedByLength bodyFraming = iota
	framedByChunks
	framedByClose
	withoutBody
	upgraded // the connection becomes a tunnel
)

// framingOfResponse returns the framing of a response, and the value of Content-Length for framedByLength.
func framingOfResponse(response pool.Response, http10 bool) (framing bodyFraming, length string) {
	unknownLength := response.Stream != nil && response.Stream.HasUnknownLength()
	switch {
	case response.Tunnel != nil:
		return upgraded, ""
	case response.Status == http.StatusNoContent, response.Status == http.StatusNotModified:
		return withoutBody, ""
	case unknownLength && http10:
		return framedByClose, ""
	case unknownLength, len(response.Trailer) > 0 && !http10:
		return framedByChunks, ""
	case response.Stream != nil:
		return framedByLength, strconv.FormatUint(response.Stream.Length(), 10)
	case response.Header.Has("Content-Length") && len(response.Body) == 0:
		// A response to HEAD has the Content-Length of that to GET (RFC 9110, section 8.6).
		return framedByLength, response.Header.Get("Content-Length")
	default:
		return framedByLength, strconv.Itoa(len(response.Body))
	}
}

// writeField writes a line of a head: the name including its separator ": ", and the value.
func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(value)
	b.WriteString("\r\n")
}

// writeResponse writes a response, with "Connection: close" if closes is set. It returns errEndsWithClose if the
// response is complete and the connection must be closed. After any other error the response is not complete, and the
// client recognizes that by the close of the connection.
func (c *clientConn) writeResponse(response pool.Response, closes bool) error {
	b := http1.GetBuffer()
	defer http1.PutBuffer(b)
	c.writeHead(b, response, closes)
	if len(response.Trailer) > 0 && response.Stream == nil && !c.http10 {
		http1.WriteChunk(b, response.Body)
		http1.WriteLastChunk(b, response.Trailer)
	} else {
		b.Write(response.Body)
	}
	err := c.writeMoving(b.Bytes(), responseWriteTimeout)
	if err != nil || response.Stream == nil {
		response.Stream.Abandon()
		return err
	}
	err = response.Stream.Copy(c, !c.http10)
	if err == nil && c.http10 && response.Stream.HasUnknownLength() {
		return errEndsWithClose
	}
	return err
}

// writeMoving writes bytes to the client. It fails once the client has taken nothing for a time, or for twice as long,
// and goes on as long as the client takes something.
func (c *clientConn) writeMoving(content []byte, timeout time.Duration) error {
	var acknowledged uint64 // at the last timeout
	for {
		c.conn.setWriteTimeout(timeout)
		written, err := c.Write(content)
		if err == nil || !isTimeout(err) {
			return err
		}
		content = content[written:]
		now, stateErr := http1.Acknowledged(c.conn)
		if stateErr != nil || now == acknowledged {
			return err
		}
		acknowledged = now
	}
}

// writeHead writes a response's status line and fields to a buffer.
func (c *clientConn) writeHead(buffer *bytes.Buffer, response pool.Response, closes bool) {
	writeField(buffer, "HTTP/1.1 ", strconv.Itoa(response.Status)+" "+http.StatusText(response.Status))
	http1.WriteFields(buffer, response.Header)
	framing, length := framingOfResponse(response, c.http10)
	switch framing {
	case upgraded:
		writeField(buffer, "Connection: ", "Upgrade")
		writeField(buffer, "Upgrade: ", response.Header.Get("Upgrade"))
	case withoutBody:
	case framedByClose:
		closes = true
	case framedByChunks:
		writeField(buffer, "Transfer-Encoding: ", "chunked")
	case framedByLength:
		writeField(buffer, "Content-Length: ", length)
	}
	if response.ContentType != "" {
		writeField(buffer, "Content-Type: ", response.ContentType)
	}
	if response.RetryAfter > 0 {
		writeField(buffer, "Retry-After: ", retryAfter(response))
	}
	if closes {
		writeField(buffer, "Connection: ", "close")
	} else if c.http10 {
		writeField(buffer, "Connection: ", "keep-alive")
	}
	buffer.WriteString("\r\n")
}

// retryAfter formats the value of Retry-After in seconds: whole seconds, rounded up, if the response requires that (RFC
// 9110, section 10.2.3), else with three decimals.
func retryAfter(response pool.Response) string {
	if response.RetryAfterInSeconds {
		seconds := (response.RetryAfter + time.Second - 1) / time.Second
		return strconv.FormatInt(int64(seconds), 10)
	}
	return strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64)
}

// writeEarlyHints writes an interim response with status 103 (RFC 8297), unless the reader has canceled the exchange or
// the client uses HTTP/1.0.
func (c *clientConn) writeEarlyHints(response pool.Response) {
	if c.http10 || !c.isExchangePending() {
		return
	}
	b := http1.GetBuffer()
	defer http1.PutBuffer(b)
	b.WriteString("HTTP/1.1 103 Early Hints\r\n")
	http1.WriteFields(b, response.Header)
	b.WriteString("\r\n")
	c.conn.setWriteTimeout(responseWriteTimeout)
	_, _ = c.Write(b.Bytes()) // if it fails, so does the response
}
