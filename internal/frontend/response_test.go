package frontend

import (
	"net/http"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Retry-After is rounded up when it must be in whole seconds, so that no client retries too early.
func TestRetryAfter(t *testing.T) {
	for _, test := range []struct {
		pause     time.Duration
		inSeconds bool
		want      string
	}{
		{time.Millisecond, true, "1"},
		{time.Second, true, "1"},
		{1001 * time.Millisecond, true, "2"},
		{250 * time.Millisecond, false, "0.250"},
		{2 * time.Second, false, "2.000"},
	} {
		response := pool.Response{RetryAfter: test.pause, RetryAfterInSeconds: test.inSeconds}
		if got := retryAfter(response); got != test.want {
			t.Errorf("%v, in seconds %v: got %q, want %q", test.pause, test.inSeconds, got, test.want)
		}
	}
}

// A buffered response has a Content-Length, or chunks if a trailer follows and the client does not use HTTP/1.0.
func TestFramingOfResponse(t *testing.T) {
	trailer := http1.Fields{}
	trailer.Add("X-Checksum", "1")
	for _, test := range []struct {
		name       string
		response   pool.Response
		http10     bool
		want       bodyFraming
		wantLength string
	}{
		{"body", pool.Response{Status: http.StatusOK, Body: []byte("abc")}, false, framedByLength, "3"},
		{"empty body", pool.Response{Status: http.StatusOK}, false, framedByLength, "0"},
		{"no content", pool.Response{Status: http.StatusNoContent}, false, withoutBody, ""},
		{"not modified", pool.Response{Status: http.StatusNotModified}, false, withoutBody, ""},
		{"trailer", pool.Response{Status: http.StatusOK, Trailer: trailer}, false, framedByChunks, ""},
		{"trailer, HTTP/1.0", pool.Response{Status: http.StatusOK, Trailer: trailer}, true, framedByLength, "0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, length := framingOfResponse(test.response, test.http10)
			if got != test.want || length != test.wantLength {
				t.Errorf("got %v, %q; want %v, %q", got, length, test.want, test.wantLength)
			}
		})
	}
}
