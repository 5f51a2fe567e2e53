// Package http1 reads and writes messages of HTTP/1.1 (RFC 9112) between two sockets, strictly and within bounds. It
// has no policy: what a message means is for its callers to decide.
//
// The readers of net/http are not used: they drop a Content-Length that stands beside Transfer-Encoding, so that
// nobody can see both, bound neither heads nor interim responses, and take a response without a length for complete
// wherever it ends.
package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
)

const (
	// MaxHead bounds a head in bytes; the interim responses before a final one count with it.
	MaxHead = 16 << 10
	// MaxInterim bounds the number of interim responses (1xx) before a final one.
	MaxInterim = 16
)

// What is wrong with a message that came. Any other error is the connection's.
var (
	ErrMalformedHead    = errors.New("a head that can't be read")
	ErrStartLineTooLong = errors.New("a first line over the bound")
	ErrHeadTooLong      = errors.New("a head over the bound")
	ErrFraming          = errors.New("framing that is not certain")
	ErrBodyTooLarge     = errors.New("a body over the bound")
)

// Stream is a connection from which messages are read, each within its bounds. One goroutine at a time reads from it.
type Stream struct {
	net.Conn
	in    *bufio.Reader
	bound io.LimitedReader // N: bytes that may still be read off the connection
	head  []byte           // memory that a head is gathered in
}

// NewStream returns a Stream with a read buffer of so many bytes.
func NewStream(c net.Conn, buffer int) *Stream {
	s := &Stream{Conn: c}
	s.bound.R = c
	s.in = bufio.NewReaderSize(&s.bound, buffer)
	return s
}

// Under returns the connection that is read.
func (s *Stream) Under() net.Conn { return s.Conn }

// Limit bounds what may still be read off the connection, in bytes.
func (s *Stream) Limit(bytes int64) { s.bound.N = bytes }

// Read reads what comes next, first what has been read off the connection already.
func (s *Stream) Read(p []byte) (int, error) { return s.in.Read(p) }

// Buffered tells how many bytes have been read off the connection and not been taken.
func (s *Stream) Buffered() int { return s.in.Buffered() }

// Wait returns when the next byte has come, and takes none.
func (s *Stream) Wait() error {
	_, err := s.in.Peek(1)
	return err
}
