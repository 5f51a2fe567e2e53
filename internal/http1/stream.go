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
	ErrLine  = errors.New("a first line over the bound")
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

// Read reads what comes next, first what has been read off the connection already.
func (s *Stream) Read(p []byte) (int, error) { return s.in.Read(p) }

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

// Asked is what the answer to a request depends on.
type Asked struct {
	Head    bool         // HEAD was asked: there is no body
	Upgrade string       // the protocol that was asked for; empty: none
	Hint    func(Fields) // takes the fields of an interim answer with status 103 (RFC 8297); nil: nobody does
}

// Answer reads the head of an upstream's answer and how it is framed; one without a body has a length of 0. Interim answers are
// passed over, but for hints and a change to the protocol that was asked for.
func (s *Stream) Answer(asked Asked) (status int, h Fields, f Framing, err error) {
	s.bound.N = MaxHead
	for range MaxInterim + 1 {
		line, h, err := s.Head()
		if err != nil {
			return 0, nil, f, err
		}
		code, ok := strings.CutPrefix(line, "HTTP/1.1 ")
		code, _, _ = strings.Cut(code, " ")
		status, isNumber := Digits(code)
		switch {
		case !ok || !isNumber || len(code) != 3 || status < 100:
			return 0, nil, f, ErrHead
		case status == http.StatusSwitchingProtocols:
			if asked.Upgrade == "" || !h.Lists("Connection", "upgrade") || !h.Lists("Upgrade", asked.Upgrade) {
				return 0, nil, f, fmt.Errorf("%w: another protocol, which nobody asked for", ErrHead)
			}
			return int(status), h, f, nil
		case status == http.StatusEarlyHints && asked.Hint != nil:
			asked.Hint(h)
			continue
		case status < http.StatusOK:
			continue
		}
		f, some, err := FramingOf(h)
		if asked.Head || status == http.StatusNoContent || status == http.StatusNotModified { // RFC 9112, section 6.3
			return int(status), h, Framing{}, nil
		}
		f.ToClose = !some
		return int(status), h, f, err
	}
	return 0, nil, f, ErrLong
}
