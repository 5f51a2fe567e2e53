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

// SendPart sends a part of a body within a timeout, as a chunk if the body is chunked.
func SendPart(c net.Conn, part []byte, chunked bool, timeout time.Duration) error {
	if len(part) == 0 { // an empty chunk would be the last
		return nil
	}
	setWriteTimeout(c, timeout)
	if !chunked {
		_, err := c.Write(part)
		return err
	}
	buffers := net.Buffers{[]byte(strconv.FormatInt(int64(len(part)), 16) + "\r\n"), part, []byte("\r\n")}
	_, err := buffers.WriteTo(c)
	return err
}

// SendLastChunk sends the last chunk of a chunked body and its trailer within a timeout.
func SendLastChunk(c net.Conn, trailer Fields, timeout time.Duration) error {
	b := GetBuffer()
	defer PutBuffer(b)
	WriteLastChunk(b, trailer)
	setWriteTimeout(c, timeout)
	_, err := c.Write(b.Bytes())
	return err
}

// setWriteTimeout sets the deadline of the next write. If setting it fails, so does the write.
func setWriteTimeout(c net.Conn, timeout time.Duration) {
	_ = c.SetWriteDeadline(time.Now().Add(timeout))
}

// WriteLastChunk writes the last chunk of a chunked body and its trailer (RFC 9112, sections 7.1 and 7.1.2).
func WriteLastChunk(b *bytes.Buffer, trailer Fields) {
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

// GetBuffer returns an empty buffer from a pool. PutBuffer returns it to the pool.
func GetBuffer() *bytes.Buffer {
	b := bufferPool.Get().(*bytes.Buffer)
	b.Reset()
	return b
}

// PutBuffer returns a buffer to the pool. Neither the buffer nor its bytes may be used afterwards.
func PutBuffer(b *bytes.Buffer) { bufferPool.Put(b) }
