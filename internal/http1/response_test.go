package http1

import (
	"errors"
	"testing"

	"olivearch/internal/standin/scripted"
)

// TestBytesBeforeAResponseAreNotSkipped: RFC 9112, section 2.2 lets an empty line stand before requests only.
func TestBytesBeforeAResponseAreNotSkipped(t *testing.T) {
	for _, text := range []string{
		"\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		stream := NewStream(scripted.Saying([]byte(text)), 2<<10)
		if _, _, _, err := stream.ReadResponseHead(RequestInfo{}); !errors.Is(err, ErrMalformedHead) {
			t.Errorf("%q: got %v, want %v", text, err, ErrMalformedHead)
		}
	}
}
