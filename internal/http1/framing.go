package http1

import (
	"math"
	"net/http"
	"strings"
)

// Framing says where a body ends (RFC 9112, section 6.3). The zero value is an empty body.
type Framing struct {
	Length     uint64 // in bytes, unless one of the others is set
	Chunked    bool   // by the last chunk (RFC 9112, section 7.1)
	UntilClose bool   // by the end of the connection, for responses only
}

// FramingOf reads a message's framing; present is false if no field gives one. More than one, or a transfer coding
// other than chunked, is an ErrFraming, since another recipient might see another end: request smuggling (RFC 9112,
// section 11.2). A length that no int64 holds is an ErrBodyTooLarge.
func FramingOf(h Fields) (framing Framing, present bool, err error) {
	codings, lengths := h.Count("Transfer-Encoding"), h.Count("Content-Length")
	switch {
	case codings+lengths > 1:
		return Framing{}, true, ErrFraming
	case codings == 1:
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return Framing{}, true, ErrFraming
		}
		return Framing{Chunked: true}, true, nil
	case lengths == 1:
		length, err := parseContentLength(h.Get("Content-Length"))
		return Framing{Length: length}, true, err
	}
	return Framing{}, false, nil
}

// parseContentLength reads the value of a Content-Length field (RFC 9110, section 8.6).
func parseContentLength(text string) (uint64, error) {
	length, ok := ParseDigits(text)
	switch {
	case !ok && !isDigits(text):
		return 0, ErrFraming
	case !ok || length > math.MaxInt64:
		return 0, ErrBodyTooLarge
	}
	return length, nil
}

// responseFraming reads the framing of a final response by the rules of RFC 9112, section 6.3.
func responseFraming(h Fields, status int, toHead bool) (Framing, error) {
	if toHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return Framing{}, nil
	}
	framing, present, err := FramingOf(h)
	framing.UntilClose = !present
	return framing, err
}
