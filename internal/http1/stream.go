// Package http1 reads and writes messages of HTTP/1.1 (RFC 9112) between two sockets, strictly and within bounds. It knows of
// no policy: what a message means is its callers' to say.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
)

// net/http's own readers are not used: they drop a Content-Length that stands
// beside Transfer-Encoding, so that nobody can see both, bound neither head nor interim answers, and take an answer
// without a length as whole wherever it ends.

const (
	// MaxHead bounds a head in bytes; an answer's interim ones count with it.
	MaxHead = 16 << 10
	// MaxInterim bounds the 1xx answers ahead of one answer.
	MaxInterim = 16
)

// What is wrong with a message that came. Any other error is the connection's.
var (
	ErrHead  = errors.New("a head that can't be read")
	ErrLong  = errors.New("a head over the bound")
	ErrFrame = errors.New("framing that is not certain")
	ErrLarge = errors.New("a body over the bound")
)

// Stream is a connection from which messages are read, each within its bounds.
type Stream struct {
	net.Conn
	in    *bufio.Reader
	bound io.LimitedReader // what may still be read off the connection
	head  []byte           // in which a head is gathered
}

// NewStream returns a Stream with a read buffer of so many bytes.
func NewStream(c net.Conn, buffer int) *Stream {
	s := &Stream{Conn: c}
	s.bound.R = c
	s.in = bufio.NewReaderSize(&s.bound, buffer)
	return s
}

// Under is the connection that is read.
func (s *Stream) Under() net.Conn { return s.Conn }

// Limit bounds what may still be read off the connection, in bytes.
func (s *Stream) Limit(bytes int64) { s.bound.N = bytes }

// Buffered tells how many bytes have been read off the connection and not been taken.
func (s *Stream) Buffered() int { return s.in.Buffered() }

// Wait returns when the next byte has come, and takes none.
func (s *Stream) Wait() error {
	_, err := s.in.Peek(1)
	return err
}

// notInTrailer names what would frame or route a message.
var notInTrailer = []string{"Transfer-Encoding", "Content-Length", "Host", "Trailer", "TE", "Connection"}

// trailer reads the fields behind the last chunk (RFC 9112, section 7.1.2). One that would frame or route the message, had it stood
// in the head, is an error: others may merge it into the head.
func (s *Stream) trailer() (Fields, error) {
	text, err := s.lines(false)
	if err != nil {
		return nil, err
	}
	h, err := parseFields(text)
	if err != nil {
		return nil, err
	}
	for i := range h {
		if slices.ContainsFunc(notInTrailer, func(name string) bool { return strings.EqualFold(h[i].Name, name) }) {
			return nil, fmt.Errorf("%w: %s in a trailer", ErrFrame, h[i].Name)
		}
	}
	return h, nil
}

// Answer reads the head of an upstream's answer and how it is framed; one without a body has a length of 0. Interim answers are passed over.
func (s *Stream) Answer(head bool) (status int, h Fields, f Framing, err error) {
	s.bound.N = MaxHead
	for range MaxInterim + 1 {
		line, h, err := s.Head()
		if err != nil {
			return 0, nil, f, err
		}
		code, ok := strings.CutPrefix(line, "HTTP/1.1 ")
		code, _, _ = strings.Cut(code, " ")
		status, isNumber := Digits(code)
		if !ok || !isNumber || len(code) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
			return 0, nil, f, ErrHead // nobody asked for another protocol
		}
		if status < http.StatusOK {
			continue
		}
		f, some, err := FramingOf(h)
		if head || status == http.StatusNoContent || status == http.StatusNotModified { // RFC 9112, section 6.3
			return int(status), h, Framing{}, nil
		}
		f.ToClose = !some
		return int(status), h, f, err
	}
	return 0, nil, f, ErrLong
}
