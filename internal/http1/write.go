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

// WriteLimit limits the writing of a message that is sent in parts. Each part has its own timeout, but none extends the
// time by which the whole message must be written.
type WriteLimit struct {
	Part time.Duration // longest time for the writing of one part
	End  time.Time     // time by which the last byte must be written; zero: only Part limits the writing
}

// StartPart sets the write deadline of a connection for the next part and returns it.
func (l WriteLimit) StartPart(c net.Conn) (deadline time.Time) {
	deadline = time.Now().Add(l.Part)
	if !l.End.IsZero() && l.End.Before(deadline) {
		deadline = l.End
	}
	_ = c.SetWriteDeadline(deadline) // if it fails, so does the write
	return deadline
}

// EndBy returns the limit with an end that is no later than a time.
func (l WriteLimit) EndBy(end time.Time) WriteLimit {
	if l.End.IsZero() || end.Before(l.End) {
		l.End = end
	}
	return l
}

// Ended reports whether End has passed.
func (l WriteLimit) Ended() bool { return !l.End.IsZero() && !time.Now().Before(l.End) }

// SendPart sends a part of a body within a limit, as a chunk if the body is chunked.
func SendPart(c net.Conn, part []byte, chunked bool, limit WriteLimit) error {
	if len(part) == 0 { // an empty chunk would be the last
		return nil
	}
	limit.StartPart(c)
	if !chunked {
		_, err := c.Write(part)
		return err
	}
	buffers := net.Buffers{[]byte(strconv.FormatInt(int64(len(part)), 16) + "\r\n"), part, []byte("\r\n")}
	_, err := buffers.WriteTo(c)
	return err
}

// SendLastChunk sends the last chunk of a chunked body and its trailer within a limit.
func SendLastChunk(c net.Conn, trailer Fields, limit WriteLimit) error {
	b := GetBuffer()
	defer PutBuffer(b)
	WriteLastChunk(b, trailer)
	limit.StartPart(c)
	_, err := c.Write(b.Bytes())
	return err
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
