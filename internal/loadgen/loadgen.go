package loadgen

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"olivearch/internal/scenario"
	"olivearch/internal/standin/fleet"
	"olivearch/internal/stats"
)

// patience is how much longer than its deadline a client waits for the answer that it is owed.
const patience = time.Second

// Run is one turn's load.
type Run struct {
	File    *scenario.File
	Address string // of the contender
	Judge   *fleet.Judge
	Seed    uint64
	Start   time.Time // of the measuring; the warm-up is before it

	mu       sync.Mutex
	recorder *stats.Recorder
	served   int
	asked    int
}

// Play asks until the scenario's end and returns when all is answered.
func (r *Run) Play() ([]stats.Block, error) {
	r.recorder = stats.NewRecorder(time.Duration(r.File.Length))
	var all sync.WaitGroup
	for i := range r.File.Load {
		l, c := &r.File.Load[i], &client{address: r.Address}
		all.Go(func() {
			defer c.close()
			if l.Closed > 0 {
				r.closed(i, l, c)
			} else {
				r.open(i, l, c)
			}
		})
	}
	all.Wait()
	return r.recorder.Blocks()
}

// Counts tells what was asked and served, the warm-up included.
func (r *Run) Counts() (asked, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked, r.served
}

// open asks when each request is meant to, whatever becomes of those before.
func (r *Run) open(i int, l *scenario.Load, c *client) {
	var wg sync.WaitGroup
	defer wg.Wait()
	arrivals := r.File.NewArrivals(i, r.Seed)
	for n := 0; ; n++ {
		at, size, ok := arrivals.Next()
		if !ok {
			return
		}
		time.Sleep(time.Until(r.Start.Add(at)))
		wg.Go(func() { r.ask(l, c, fmt.Sprintf("%s-%d", l.Name, n), at, size) })
	}
}

// closed asks again as soon as there is an answer, for so many clients.
func (r *Run) closed(i int, l *scenario.Load, c *client) {
	end := r.Start.Add(time.Duration(r.File.Length))
	arrivals := r.File.NewArrivals(i, r.Seed)
	var mu sync.Mutex // the sizes are drawn by all
	var wg sync.WaitGroup
	for k := range l.Closed {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				mu.Lock()
				size := arrivals.Size()
				mu.Unlock()
				r.ask(l, c, fmt.Sprintf("%s-%d-%d", l.Name, k, n), time.Since(r.Start), size)
			}
		})
	}
	wg.Wait()
}

// text is a request as it goes on the wire.
func text(l *scenario.Load, id string, size float64) string {
	line, length := http.MethodPost, "Content-Length: 0\r\n"
	if l.Repeat == "safe" {
		line, length = http.MethodGet, ""
	}
	tenant := ""
	if l.Tenant != "" {
		tenant = "X-Tenant: " + l.Tenant + "\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: experiment\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Work: %.6f\r\n%s%s\r\n",
		line, l.Name, id, time.Duration(l.Deadline).Milliseconds(), size, tenant, length)
}

// ask sends one request, and tells the judge and the recorder what came of it.
func (r *Run) ask(l *scenario.Load, c *client, id string, meant time.Duration, size float64) {
	effect := fleet.Unsafe
	if l.Repeat == "safe" {
		effect = fleet.Safe
	}
	r.Judge.Asked(id, effect, time.Duration(l.Deadline))
	status, body, err := c.ask(text(l, id, size), time.Duration(l.Deadline)+patience)
	end := stats.Failed
	switch {
	case errors.Is(err, errDial):
		r.Judge.Left(id)
	case err != nil:
		r.Judge.Answered(id, 0, "")
	default:
		r.Judge.Answered(id, status, body)
		switch status {
		case http.StatusOK:
			end = stats.Served
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			end = stats.Refused
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Add(meant, time.Since(r.Start), time.Duration(l.Aim), end)
	r.asked++
	if end == stats.Served {
		r.served++
	}
}
