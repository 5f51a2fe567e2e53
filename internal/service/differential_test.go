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
	"how many random exchanges the differential run has; 100,000 before a landing that changes the data path",
)

// exchange is a random request with the answer that it is to get.
type exchange struct {
	method  string
	body    []byte
	chunked bool
	trailer string
	status  int
	answer  []byte
	framing string // of the answer: length, chunked, close
	replied string // its trailer
	pieces  int
	cut     bool // the node ends its answer in the middle
	seen    atomic.Int32
	wrong   atomic.Value
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
		answer: fill(
			size(),
		),
		framing: []string{"length", "chunked", "close"}[r.IntN(3)],
		pieces:  1 + r.IntN(4),
		cut:     r.IntN(200) == 0,
	}
	if x.method == "POST" || x.method == "PUT" {
		x.body, x.chunked = fill(size()), r.IntN(2) == 0
		if x.chunked && r.IntN(2) == 0 {
			x.trailer = strconv.Itoa(r.IntN(1000))
		}
	}
	if x.framing == "chunked" && r.IntN(2) == 0 {
		x.replied = strconv.Itoa(r.IntN(1000))
	}
	if x.status == 204 || x.status == 304 {
		x.answer, x.cut = nil, false
	}
	x.cut = x.cut && len(x.answer) > 1 && x.method != "HEAD" && x.framing != "close" // to the close nobody can tell
	return x
}

// ServeHTTP is the node.
func (x *exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.seen.Add(1)
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Method != x.method || !bytes.Equal(body, x.body) ||
		(x.trailer != "" && r.Trailer.Get("X-T") != x.trailer) {
		x.wrong.Store(
			fmt.Sprintf("the node got %s with %d of %d bytes, trailer %v, %v", r.Method, len(body), len(x.body), r.Trailer, err),
		)
	}
	h := w.Header()
	h.Set("X-Sum", fmt.Sprintf("%x", sha256.Sum256(x.answer)))
	switch {
	case x.framing == "length" && len(x.answer) > 0:
		h.Set("Content-Length", strconv.Itoa(len(x.answer)))
	case x.framing == "close":
		h.Set("Connection", "close")
		h.Set("Transfer-Encoding", "identity")
	case x.replied != "":
		h.Set("Trailer", "X-R")
	}
	w.WriteHeader(x.status)
	rest := x.answer
	if x.cut {
		rest = rest[:len(rest)/2]
	}
	for i := range x.pieces {
		n := len(rest)
		if i < x.pieces-1 {
			n /= 2
		}
		_, _ = w.Write(rest[:n]) // what the client got is compared in play
		rest = rest[n:]
		if x.framing == "chunked" {
			w.(http.Flusher).Flush()
		}
	}
	if x.cut {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	if x.replied != "" {
		h.Set("X-R", x.replied)
	}
}

// TestDifferential: Go's own client and server, at both ends, see the same bytes as without the balancer between
// them, or an answer that looks cut where the node cut it, and no request runs twice.
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
				if err := e.play(client, x.url+path); err != nil {
					t.Errorf(
						"exchange %s: %s of %d bytes (chunked %v), %d with %d bytes by %s, cut %v: %v",
						path,
						e.method,
						len(e.body),
						e.chunked,
						e.status,
						len(e.answer),
						e.framing,
						e.cut,
						err,
					)
				}
				all.Delete(path)
			}
		})
	}
	wg.Wait()
}

// request makes the request of an exchange.
func (x *exchange) request(url string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(context.Background(), x.method, url, nil)
	if err != nil {
		return nil, err
	}
	if x.method == "POST" || x.method == "PUT" {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
		if x.chunked {
			r.ContentLength = -1
		}
		if len(x.body) == 0 && !x.chunked {
			r.Body = http.NoBody
		}
		if x.trailer != "" {
			r.Trailer = http.Header{"X-T": {x.trailer}}
		}
	}
	return r, nil
}

// maxRetries is how often a request that was refused is sent again.
const maxRetries = 500

// play sends the request, and tells what is not as it should be.
func (x *exchange) play(client *http.Client, url string) error {
	r, err := x.request(url)
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	for retries := 0; retries < maxRetries; retries++ {
		refused := err == nil && resp.StatusCode == http.StatusServiceUnavailable
		if !refused || x.seen.Load() > 0 {
			break
		}
		resp.Body.Close() // refused: it never ran, and another try is harmless
		time.Sleep(5 * time.Millisecond)
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = io.NopCloser(bytes.NewReader(x.body))
		}
		resp, err = client.Do(r)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	want := x.answer
	if x.method == "HEAD" {
		want = nil
	}
	wrong := x.wrong.Load()
	switch {
	case wrong != nil:
		return fmt.Errorf("%s", wrong)
	case x.seen.Load() != 1:
		return fmt.Errorf("it ran %d times", x.seen.Load())
	case x.cut && (resp.StatusCode == http.StatusBadGateway || err != nil):
		return nil // it was told, or looks cut
	case x.cut:
		return fmt.Errorf("a cut answer passes for whole: %d, %d bytes", resp.StatusCode, len(got))
	case err != nil:
		return err
	case resp.StatusCode != x.status || !bytes.Equal(got, want):
		return fmt.Errorf("got %d with %d bytes", resp.StatusCode, len(got))
	case x.replied != "" && len(want) > 0 && resp.Trailer.Get("X-R") != x.replied:
		return fmt.Errorf("trailer %v, want %s", resp.Trailer, x.replied)
	}
	return nil
}
