package http1

import (
	"fmt"
	"net/http"
	"strings"
)

// Asked is what the response to a request depends on.
type Asked struct {
	Head    bool         // the method was HEAD: the response has no body
	Upgrade string       // the protocol that the request asked to change to; empty: none
	Hint    func(Fields) // takes the fields of an interim response with status 103 (RFC 8297); nil: they are dropped
}

// ReadResponseHead reads the head of an upstream's final response and its framing; one without a body has a length of
// 0. Interim responses (RFC 9110, section 15.2) are dropped, except early hints and a change to the protocol that was
// asked for. It wraps ErrMalformedHead, ErrStartLineTooLong, ErrHeadTooLong, ErrFraming or ErrBodyTooLarge, or
// returns the connection's error.
func (s *Stream) ReadResponseHead(asked Asked) (status int, header Fields, framing Framing, err error) {
	s.bound.N = MaxHead
	for range MaxInterim + 1 {
		line, header, err := s.ReadHead()
		if err != nil {
			return 0, nil, Framing{}, err
		}
		status, ok := parseStatusLine(line)
		switch {
		case !ok:
			return 0, nil, Framing{}, ErrMalformedHead
		case status == http.StatusSwitchingProtocols:
			if !asked.allowsUpgrade(header) {
				return 0, nil, Framing{}, fmt.Errorf("%w: another protocol, which nobody asked for", ErrMalformedHead)
			}
			return status, header, Framing{}, nil
		case status == http.StatusEarlyHints && asked.Hint != nil:
			asked.Hint(header)
		case status >= http.StatusOK:
			framing, err := responseFraming(header, status, asked.Head)
			return status, header, framing, err
		}
	}
	return 0, nil, Framing{}, ErrHeadTooLong
}

// parseStatusLine returns the status code of a status line (RFC 9112, section 4).
func parseStatusLine(line string) (status int, ok bool) {
	rest, ok := strings.CutPrefix(line, "HTTP/1.1 ")
	if !ok {
		return 0, false
	}
	code, _, _ := strings.Cut(rest, " ")
	number, ok := ParseDigits(code)
	return int(number), ok && len(code) == 3 && number >= 100
}

// allowsUpgrade tells whether the fields of a response with status 101 name the protocol that was asked for (RFC 9110,
// section 7.8).
func (a *Asked) allowsUpgrade(header Fields) bool {
	return a.Upgrade != "" && header.HasListElement("Connection", "upgrade") && header.HasListElement("Upgrade", a.Upgrade)
}
