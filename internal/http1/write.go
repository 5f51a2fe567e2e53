package http1

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"
)

// LastChunk ends a chunked body that has no trailer.
const LastChunk = "0\r\n\r\n"

// Chunk writes a part of a body within a time, as a chunk of its own unless it is framed by the body's length.
func Chunk(c net.Conn, b []byte, chunked bool, within time.Duration) error {
	if len(b) == 0 { // an empty chunk would be the last
		return nil
	}
	c.SetWriteDeadline(time.Now().Add(within))
	if !chunked {
		_, err := c.Write(b)
		return err
	}
	parts := net.Buffers{[]byte(strconv.FormatInt(int64(len(b)), 16) + "\r\n"), b, []byte("\r\n")}
	_, err := parts.WriteTo(c)
	return err
}

// End writes the last chunk of a body that is framed by chunks, and its trailer.
func End(c net.Conn, trailer Fields, within time.Duration) error {
	b := Buffer()
	defer Done(b)
	WriteEnd(b, trailer)
	c.SetWriteDeadline(time.Now().Add(within))
	_, err := c.Write(b.Bytes())
	return err
}

// WriteEnd writes the last chunk of a body and its trailer.
func WriteEnd(b *bytes.Buffer, trailer Fields) {
	b.WriteString("0\r\n")
	WriteFields(b, trailer)
	b.WriteString("\r\n")
}

// WriteChunk writes a part of a body as a chunk.
func WriteChunk(b *bytes.Buffer, part []byte) {
	if len(part) == 0 { // an empty chunk would be the last
		return
	}
	b.WriteString(strconv.FormatInt(int64(len(part)), 16))
	b.WriteString("\r\n")
	b.Write(part)
	b.WriteString("\r\n")
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Buffer returns an empty buffer. Done gives it back.
func Buffer() *bytes.Buffer {
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

// Done gives a buffer back; nobody uses it, or what it holds, after that.
func Done(b *bytes.Buffer) { buffers.Put(b) }

// Abort makes the close of a connection a reset: what was written to it does not pass for whole.
func Abort(c net.Conn) {
	if x, ok := Under(c).(*net.TCPConn); ok {
		x.SetLinger(0)
	}
}
