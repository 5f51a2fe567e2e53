//go:build review

package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that came to an upstream.
type Arrival struct {
	ID string
	At time.Time
}

// Upstream is a sound server: it runs each request for a time and answers 200 with a body of its own, or turns it away
// with X-Not-Run while it drains.
type Upstream struct {
	ID, Address string
	Work        time.Duration
	Draining    atomic.Bool
	InParts     bool   // the answer is sent in two parts, in chunks, with the work between them
	Pause       func() // called before the second part; nil: no pause. Set before the first request, as InParts is

	record   *Record
	mu       sync.Mutex
	arrivals []Arrival
	server   *http.Server
}

// StartUpstream starts an upstream on a free port.
func StartUpstream(record *Record, id string, work time.Duration) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{ID: id, Address: listener.Addr().String(), Work: work, record: record}
	u.server = &http.Server{Handler: http.HandlerFunc(u.handle)}
	go u.server.Serve(listener)
	return u, nil
}

func (u *Upstream) handle(w http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("X-Request-Id")
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		return
	}
	if id == "" {
		http.NotFound(w, r)
		return
	}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, Arrival{ID: id, At: at})
	u.mu.Unlock()
	if _, err := io.ReadAll(r.Body); err != nil {
		u.record.Line("%s: request %s did not come whole", u.ID, id)
		return
	}
	if u.Draining.Load() {
		u.record.Line("%s: request %s came while draining, turned away", u.ID, id)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.record.Line("%s: request %s began to run", u.ID, id)
	w.Header().Set("X-Load", "util=0.2,eps=0,latency_ms=20")
	if u.InParts {
		fmt.Fprintf(w, "%s runs the request %s, ", u.ID, id)
		http.NewResponseController(w).Flush()
	}
	time.Sleep(u.Work)
	if u.Pause != nil {
		u.Pause()
	}
	u.record.Line("%s: request %s has run", u.ID, id)
	fmt.Fprintf(w, "%s ran the request %s", u.ID, id)
}

// Arrivals returns the requests that came at or after a time.
func (u *Upstream) Arrivals(from time.Time) (since []Arrival) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, arrival := range u.arrivals {
		if !arrival.At.Before(from) {
			since = append(since, arrival)
		}
	}
	return since
}

// Has reports whether a request came to the upstream.
func (u *Upstream) Has(id string) bool {
	for _, arrival := range u.Arrivals(time.Time{}) {
		if arrival.ID == id {
			return true
		}
	}
	return false
}

// Close ends the upstream.
func (u *Upstream) Close() { u.server.Close() }
