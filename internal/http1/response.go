package http1

import (
	"fmt"
	"net/http"
	"strings"
)

// RequestInfo holds the properties of a request that determine how its response is read.
type RequestInfo struct {
	Head         bool         // the method is HEAD: the response has no body
	Upgrade      string       // the protocol that the request asks to switch to; empty: none
	OnEarlyHints func(Fields) // receives the fields of a 103 response (RFC 8297); nil: they are dropped
}

// ReadResponseHead reads the head of an upstream's response and returns its framing, with Length 0 if it has no body.
// Interim responses (RFC 9110, section 15.2) are dropped, except early hints. A response with status 101 is returned if
// it switches to the protocol that the request asks for, and is malformed otherwise. Errors wrap ErrMalformedHead,
// ErrStartLineTooLong, ErrHeadTooLong, ErrFraming or ErrBodyTooLarge, or are those of the connection.
func (s *Stream) ReadResponseHead(request RequestInfo) (status int, header Fields, framing Framing, err error) {
	s.limited.N = MaxHead
	for range MaxInterim + 1 {
		line, header, err := s.readHead(noEmptyLine)
		if err != nil {
			return 0, nil, Framing{}, err
		}
		status, ok := parseStatusLine(line)
		switch {
		case !ok:
			return 0, nil, Framing{}, ErrMalformedHead
		case status == http.StatusSwitchingProtocols:
			if !request.allowsUpgrade(header) {
				return 0, nil, Framing{}, fmt.Errorf("%w: status 101 that was not asked for", ErrMalformedHead)
			}
			return status, header, Framing{}, nil
		case status == http.StatusEarlyHints && request.OnEarlyHints != nil:
			request.OnEarlyHints(header)
		case status >= http.StatusOK:
			framing, err := responseFraming(header, status, request.Head)
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

// allowsUpgrade reports whether the fields of a response with status 101 name the protocol that the request asks for
// (RFC 9110, section 7.8).
func (r *RequestInfo) allowsUpgrade(header Fields) bool {
	return r.Upgrade != "" && header.HasListElement("Connection", "upgrade") && header.HasListElement("Upgrade", r.Upgrade)
}
