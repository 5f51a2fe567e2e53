package http1

import (
	"math"
	"net/http"
	"strings"
)

// Framing is how the end of a body is found (RFC 9112, section 6.3). The zero value is an empty body.
type Framing struct {
	Length     uint64 // in bytes; meaningless if Chunked or UntilClose is set
	Chunked    bool   // the last chunk ends the body (RFC 9112, section 7.1)
	UntilClose bool   // the end of the connection ends the body; for responses only
}

// FramingOf returns the framing that a message's fields declare; present reports whether they declare one. Several
// framing fields, or a transfer coding other than chunked, yield ErrFraming, since the next recipient might find
// another end of the body, which allows request smuggling (RFC 9112, section 11.2). A length over math.MaxInt64 yields
// ErrBodyTooLarge.
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

// parseContentLength parses the value of a Content-Length field (RFC 9110, section 8.6).
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

// responseFraming returns the framing of a final response (RFC 9112, section 6.3).
func responseFraming(h Fields, status int, isHeadRequest bool) (Framing, error) {
	if isHeadRequest || status == http.StatusNoContent || status == http.StatusNotModified {
		return Framing{}, nil
	}
	framing, present, err := FramingOf(h)
	framing.UntilClose = !present
	return framing, err
}
