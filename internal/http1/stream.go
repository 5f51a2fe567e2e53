// Package http1 reads and writes HTTP/1.1 messages (RFC 9112). Parsing is strict, and the size of every part of a
// message is limited. Packages frontend, body and upstream use it; they decide what a message means and how to act on
// it.
//
// The readers of net/http are not used. They drop a Content-Length next to a Transfer-Encoding, so that callers can't
// detect that both were sent, they limit neither the size of response heads nor the number of interim responses, and
// they take a response without a length for complete wherever it ends.
package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
)

const (
	// MaxHead is the largest size in bytes of a head, or of all heads of a response with its interim responses.
	MaxHead = 16 << 10
	// MaxInterim is the largest number of interim responses (1xx) before a final one.
	MaxInterim = 16
)

// Errors of a received message. Any other error is that of the connection.
var (
	ErrMalformedHead    = errors.New("a head that can't be read")
	ErrStartLineTooLong = errors.New("a first line over the bound")
	ErrHeadTooLong      = errors.New("a head over the bound")
	ErrFraming          = errors.New("framing that is not certain")
	ErrBodyTooLarge     = errors.New("a body over the bound")
)

// Stream is a connection from which messages are read, within limits. One goroutine at a time reads from it.
type Stream struct {
	net.Conn
	reader  *bufio.Reader
	limited io.LimitedReader // N: bytes that may still be read from the connection
	head    []byte           // buffer for the head that is being read
}

// NewStream returns a Stream whose read buffer has the given size in bytes.
func NewStream(c net.Conn, buffer int) *Stream {
	s := &Stream{Conn: c}
	s.limited.R = c
	s.reader = bufio.NewReaderSize(&s.limited, buffer)
	return s
}

// Underlying returns the connection that the Stream wraps.
func (s *Stream) Underlying() net.Conn { return s.Conn }

// Limit sets how many more bytes may be read from the connection.
func (s *Stream) Limit(bytes int64) { s.limited.N = bytes }

// Read implements io.Reader. It returns buffered bytes first.
func (s *Stream) Read(p []byte) (int, error) { return s.reader.Read(p) }

// Buffered returns the number of bytes in the read buffer.
func (s *Stream) Buffered() int { return s.reader.Buffered() }

// Wait waits for the next byte without consuming it.
func (s *Stream) Wait() error {
	_, err := s.reader.Peek(1)
	return err
}
