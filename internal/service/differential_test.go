package service

import (
	"bytes"
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/internal/standin/fleet"
)

var exchanges = flag.Int(
	"exchanges",
	4000,
	"number of random exchanges in TestDifferential; run 100,000 before merging a change to the data path",
)

// exchange is a random request with the response that the node sends to it.
type exchange struct {
	method          string
	requestBody     []byte
	requestChunked  bool
	requestTrailer  string
	status          int
	responseBody    []byte
	responseFraming string // length, chunked or close
	responseTrailer string
	writes          int
	truncated       bool // the node ends its response in the middle
	requestCount    atomic.Int32
	requestError    atomic.Value
}

func newExchange(r *rand.Rand) *exchange {
	size := func() int {
		switch r.IntN(10) {
		case 0:
			return 0
		case 1:
			return 60<<10 + r.IntN(10<<10)
		case 2:
			return r.IntN(300 << 10)
		default:
			return r.IntN(2000)
		}
	}
	fill := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		return b
	}
	x := &exchange{
		method: []string{"GET", "HEAD", "POST", "PUT", "DELETE"}[r.IntN(5)],
		status: []int{200, 200, 200, 201, 204, 304, 404}[r.IntN(7)],
		responseBody: fill(
			size(),
		),
		responseFraming: []string{"length", "chunked", "close"}[r.IntN(3)],
		writes:          1 + r.IntN(4),
		truncated:       r.IntN(200) == 0,
	}
	if x.method == "POST" || x.method == "PUT" {
		x.requestBody, x.requestChunked = fill(size()), r.IntN(2) == 0
		if x.requestChunked && r.IntN(2) == 0 {
			x.requestTrailer = strconv.Itoa(r.IntN(1000))
		}
	}
	if x.responseFraming == "chunked" && r.IntN(2) == 0 {
		x.responseTrailer = strconv.Itoa(r.IntN(1000))
	}
	if x.status == 204 || x.status == 304 {
		x.responseBody, x.truncated = nil, false
	}
	// A response that ends with the connection does not show that it is truncated.
	x.truncated = x.truncated && len(x.responseBody) > 1 && x.method != "HEAD" && x.responseFraming != "close"
	return x
}

// ServeHTTP is the node's side of the exchange: it checks the request and writes the response.
func (x *exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.requestCount.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method != x.method || !bytes.Equal(body, x.requestBody) ||
		(x.requestTrailer != "" && r.Trailer.Get("X-T") != x.requestTrailer) {
		x.requestError.Store(
			fmt.Sprintf(
				"the node got %s with %d of %d bytes, trailer %v, %v",
				r.Method,
				len(body),
				len(x.requestBody),
				r.Trailer,
				err,
			),
		)
	}
	h := w.Header()
	h.Set("X-Sum", fmt.Sprintf("%x", sha256.Sum256(x.responseBody)))
	switch {
	case x.responseFraming == "length" && len(x.responseBody) > 0:
		h.Set("Content-Length", strconv.Itoa(len(x.responseBody)))
	case x.responseFraming == "close":
		h.Set("Connection", "close")
		h.Set("Transfer-Encoding", "identity")
	case x.responseTrailer != "":
		h.Set("Trailer", "X-R")
	}
	w.WriteHeader(x.status)
	rest := x.responseBody
	if x.truncated {
		rest = rest[:len(rest)/2]
	}
	for i := range x.writes {
		n := len(rest)
		if i < x.writes-1 {
			n /= 2
		}
		_, _ = w.Write(rest[:n]) // run compares what the client got
		rest = rest[n:]
		if x.responseFraming == "chunked" {
			w.(http.Flusher).Flush()
		}
	}
	if x.truncated {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	if x.responseTrailer != "" {
		h.Set("X-R", x.responseTrailer)
	}
}

// TestDifferential puts the balancer between the client and the server of Go's standard library. Both must see the same
// bytes as without it, a response that the node truncates must be recognisable as such, and no request may run twice.
func TestDifferential(t *testing.T) {
	var all sync.Map
	node := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x, ok := all.Load(r.URL.Path)
		if !ok {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		x.(*exchange).ServeHTTP(w, r)
	}))
	node.Config.ErrorLog = nil
	node.Start()
	defer node.Close()
	x := startService(t, fleet.NewJudge(time.Second), t.TempDir(), fmt.Sprintf(`classes: {u: {aim: 5s, deadline: 20s}}
pools: {p: {nodes: {static: [{id: n0, address: '%s'}]}}}
routes: [{name: all, class: u, pool: p}]
`, node.Listener.Addr()))
	client := &http.Client{
		Timeout:   20 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true},
	}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(17, uint64(worker)))
			for i := range *exchanges / 8 {
				e := newExchange(r)
				path := fmt.Sprintf("/%d/%d", worker, i)
				all.Store(path, e)
				if err := e.run(client, x.url+path); err != nil {
					t.Errorf(
						"%s: %s of %d bytes (chunked %v); %d with %d bytes (%s, truncated %v): %v",
						path,
						e.method,
						len(e.requestBody),
						e.requestChunked,
						e.status,
						len(e.responseBody),
						e.responseFraming,
						e.truncated,
						err,
					)
				}
				all.Delete(path)
			}
		})
	}
	wg.Wait()
}

// request returns the client's request.
func (x *exchange) request(url string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(context.Background(), x.method, url, nil)
	if err != nil {
		return nil, err
	}
	if x.method == "POST" || x.method == "PUT" {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(x.requestBody)), int64(len(x.requestBody))
		if x.requestChunked {
			r.ContentLength = -1
		}
		if len(x.requestBody) == 0 && !x.requestChunked {
			r.Body = http.NoBody
		}
		if x.requestTrailer != "" {
			r.Trailer = http.Header{"X-T": {x.requestTrailer}}
		}
	}
	return r, nil
}

// maxRetries is how often the client sends a rejected request again.
const maxRetries = 500

// run sends the request, and returns an error if the request or the response was not transferred correctly.
func (x *exchange) run(client *http.Client, url string) error {
	r, err := x.request(url)
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	for retries := 0; retries < maxRetries; retries++ {
		rejected := err == nil && resp.StatusCode == http.StatusServiceUnavailable
		if !rejected || x.requestCount.Load() > 0 {
			break
		}
		resp.Body.Close() // no node got the rejected request, so sending it again is harmless
		time.Sleep(5 * time.Millisecond)
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = io.NopCloser(bytes.NewReader(x.requestBody))
		}
		resp, err = client.Do(r)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	want := x.responseBody
	if x.method == "HEAD" {
		want = nil
	}
	requestError := x.requestError.Load()
	switch {
	case requestError != nil:
		return fmt.Errorf("%s", requestError)
	case x.requestCount.Load() != 1:
		return fmt.Errorf("the request ran %d times, want 1", x.requestCount.Load())
	case x.truncated && (resp.StatusCode == http.StatusBadGateway || err != nil):
		return nil // the client can tell that the response is not complete
	case x.truncated:
		return fmt.Errorf("a truncated response appears complete: %d, %d bytes", resp.StatusCode, len(got))
	case err != nil:
		return err
	case resp.StatusCode != x.status || !bytes.Equal(got, want):
		return fmt.Errorf("got %d with %d bytes, or other bytes than expected", resp.StatusCode, len(got))
	case x.responseTrailer != "" && len(want) > 0 && resp.Trailer.Get("X-R") != x.responseTrailer:
		return fmt.Errorf("trailer %v, want %s", resp.Trailer, x.responseTrailer)
	}
	return nil
}
