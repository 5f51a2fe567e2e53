package http1

import (
	"bytes"
	"net"
	"strconv"
	"sync"
	"time"
)

// LastChunk ends a chunked body that has no trailer (RFC 9112, section 7.1).
const LastChunk = "0\r\n\r\n"

// Chunk writes a part of a body within a time. It writes a chunk if the body is chunked, and else the bytes alone.
func Chunk(c net.Conn, part []byte, chunked bool, within time.Duration) error {
	if len(part) == 0 { // an empty chunk would be the last
		return nil
	}
	setWriteTimeout(c, within)
	if !chunked {
		_, err := c.Write(part)
		return err
	}
	buffers := net.Buffers{[]byte(strconv.FormatInt(int64(len(part)), 16) + "\r\n"), part, []byte("\r\n")}
	_, err := buffers.WriteTo(c)
	return err
}

// End writes the last chunk of a chunked body, and its trailer, within a time.
func End(c net.Conn, trailer Fields, within time.Duration) error {
	b := Buffer()
	defer Done(b)
	WriteEnd(b, trailer)
	setWriteTimeout(c, within)
	_, err := c.Write(b.Bytes())
	return err
}

// setWriteTimeout bounds the next write. It fails on a closed connection only, as the write does then.
func setWriteTimeout(c net.Conn, timeout time.Duration) {
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
}

// WriteEnd writes the last chunk of a body and its trailer (RFC 9112, sections 7.1 and 7.1.2).
func WriteEnd(b *bytes.Buffer, trailer Fields) {
	b.WriteString("0\r\n")
	WriteFields(b, trailer)
	b.WriteString("\r\n")
}

// WriteChunk writes a part of a body as a chunk (RFC 9112, section 7.1).
func WriteChunk(b *bytes.Buffer, part []byte) {
	if len(part) == 0 { // an empty chunk would be the last
		return
	}
	b.WriteString(strconv.FormatInt(int64(len(part)), 16))
	b.WriteString("\r\n")
	b.Write(part)
	b.WriteString("\r\n")
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Buffer returns an empty buffer. Done gives it back.
func Buffer() *bytes.Buffer {
	b := bufferPool.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

// Done gives a buffer back; nobody uses it, or what it holds, after that.
func Done(b *bytes.Buffer) { bufferPool.Put(b) }
