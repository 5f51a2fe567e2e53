// Package metrics tells a process's counters and levels in Prometheus's text format, version 0.0.4
// (https://prometheus.io/docs/instrumenting/exposition_formats/). What it tells grows with the pools that are used, not with nodes, routes or
// tenants: pools that nobody has asked are told in sums.
package metrics

import (
	"compress/gzip"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/pool"
	"olivearch/internal/procstat"
)

// Snapshot is what is told at a moment.
type Snapshot struct {
	Version   string
	Started   time.Time
	Reloads   int // configurations taken since the start
	Listeners []live.Listener
	Pools     []Pool
	Promises  *live.Promises // nil: the process takes part in no ledger
}

// Pool is one pool, by its name.
type Pool struct {
	Name string
	pool.Stats
}

// atOnce is how many readers are answered side by side; more are told to come back (503).
const atOnce = 2

// Handler answers with what snapshot gives. It asks no pool's goroutine.
func Handler(snapshot func() Snapshot) http.Handler {
	places := make(chan struct{}, atOnce)
	var longest atomic.Int64 // text so far, bytes: the next is about as long
	packers := sync.Pool{New: func() any {
		w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // fails for no level that there is
		return w
	}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many readers at once", http.StatusServiceUnavailable)
			return
		}
		s := snapshot()
		text := s.append(make([]byte, 0, longest.Load()+longest.Load()/16))
		longest.Store(max(longest.Load(), int64(len(text))))
		h := w.Header()
		h.Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		h.Set("Vary", "Accept-Encoding")
		if !takesGzip(r.Header.Values("Accept-Encoding")) {
			w.Write(text)
			return
		}
		h.Set("Content-Encoding", "gzip")
		packed := packers.Get().(*gzip.Writer)
		packed.Reset(w)
		packed.Write(text) // a reader that has gone has nothing to be told
		packed.Close()
		packers.Put(packed)
	})
}

// takesGzip tells whether a reader accepts gzip (RFC 9110, section 12.5.3). One that names only others gets it plain.
func takesGzip(fields []string) bool {
	for _, field := range fields {
		for coding := range strings.SplitSeq(field, ",") {
			name, weight, _ := strings.Cut(coding, ";")
			if strings.EqualFold(strings.TrimSpace(name), "gzip") {
				weight, _ = strings.CutPrefix(strings.ToLower(strings.TrimSpace(weight)), "q=")
				return weight == "" || strings.Trim(weight, "0.") != ""
			}
		}
	}
	return false
}

// append writes all families, each once with all that has it.
func (s *Snapshot) append(text []byte) []byte {
	w := &writer{text: text}
	w.family(gauge, "info", "The version that runs; always 1.")
	w.line(1, "version", s.Version)
	w.family(counter, "reloads_total", "Configurations taken since the start.")
	w.line(float64(s.Reloads))
	w.family(gauge, "listener_connections", "Clients' connections.")
	for _, l := range s.Listeners {
		w.line(float64(l.Connections), "listener", l.Name)
	}
	w.family(gauge, "listener_connections_limit", "Clients' connections at most.")
	for _, l := range s.Listeners {
		w.line(float64(l.Limit), "listener", l.Name)
	}
	s.sums(w)
	s.byPool(w)
	if p := s.Promises; p != nil {
		w.family(gauge, "promises_voter_reached", "1 while a voter of the ledger is followed; what is known holds without one.")
		w.line(one(p.Voter != ""))
		w.family(gauge, "promises_age_seconds", "The time since a quorum confirmed that nothing newer was promised; absent if it never has.")
		if p.AgeMS >= 0 {
			w.line(float64(p.AgeMS) / 1000)
		}
		w.family(gauge, "promises_words", "Words of operators that hold, by kind.")
		for kind, n := range p.Words {
			w.line(float64(n), "kind", kind)
		}
	}
	s.process(w)
	return w.text
}

// sums are over all pools.
func (s *Snapshot) sums(w *writer) {
	var made, never, old, up, draining float64
	for i := range s.Pools {
		p := &s.Pools[i]
		made, never, old = made+one(p.HasBalancer), never+one(!p.HasRequests()), old+one(p.Expired)
		up, draining = up+float64(p.Active), draining+float64(p.Draining)
	}
	w.family(gauge, "pools", "Pools by what they hold: made ones have their nodes' state, others a list.")
	w.line(made, "state", "made")
	w.line(float64(len(s.Pools))-made, "state", "unmade")
	w.family(gauge, "pools_never_asked", "Pools that no request has come to; they have no series of their own.")
	w.line(never)
	w.family(gauge, "pools_expired", "Pools whose list is older than it may become: all is refused.")
	w.line(old)
	w.family(gauge, "nodes", "Nodes listed, over all pools, by what holds at this balancer.")
	w.line(up, "phase", "up")
	w.line(draining, "phase", "draining")
}

// byPool are the families that each pool has which was asked, or which is in trouble.
func (s *Snapshot) byPool(w *writer) {
	each := func(tell func(p *Pool)) {
		for i := range s.Pools {
			if p := &s.Pools[i]; p.HasRequests() || p.Expired {
				tell(p)
			}
		}
	}
	w.family(counter, "requests_total", "Requests by their final answer; turned_away are those that found the queue full.")
	each(func(p *Pool) {
		w.line(float64(p.Served), "pool", p.Name, "result", "served")
		w.line(float64(p.Refused), "pool", p.Name, "result", "refused")
		w.line(float64(p.Failed), "pool", p.Name, "result", "failed")
		w.line(float64(p.QueueFull), "pool", p.Name, "result", "turned_away")
	})
	w.family(counter, "served_seconds_total", "The time that served requests took, from their coming to the head of their answer, in sum.")
	each(func(p *Pool) { w.line(p.ServedFor.Seconds(), "pool", p.Name) })
	w.family(gauge, "requests_open", "Requests that a pool holds, sent or waiting.")
	each(func(p *Pool) { w.line(float64(p.Open), "pool", p.Name) })
	w.family(gauge, "requests_held", "Of these, the ones that wait for a turn.")
	each(func(p *Pool) { w.line(float64(p.Queued), "pool", p.Name) })
	w.family(gauge, "connections", "Connections to nodes.")
	each(func(p *Pool) { w.line(float64(p.Connections), "pool", p.Name) })
	w.family(gauge, "tunnels", "Connections that have changed their protocol.")
	each(func(p *Pool) { w.line(float64(p.Tunnels), "pool", p.Name) })
	w.family(gauge, "pool_nodes", "Nodes listed, by what holds at this balancer.")
	each(func(p *Pool) {
		w.line(float64(p.Active), "pool", p.Name, "phase", "up")
		w.line(float64(p.Draining), "pool", p.Name, "phase", "draining")
	})
	w.family(gauge, "list_age_seconds", "The time since the last good word from the list's source.")
	each(func(p *Pool) { w.line(p.ListAge.Seconds(), "pool", p.Name) })
}

// process tells what the system says of this process, under the names that Prometheus's clients have for it.
func (s *Snapshot) process(w *writer) {
	w.of("process_start_time_seconds", gauge, "Start of the process since the Unix epoch.")
	w.line(float64(s.Started.UnixMilli()) / 1000)
	if cpu, err := procstat.CPU(os.Getpid()); err == nil {
		w.of("process_cpu_seconds_total", counter, "Processor time that the threads of the process have used.")
		w.line(cpu.Seconds())
	}
	if u, err := procstat.Of(os.Getpid()); err == nil {
		w.of("process_resident_memory_bytes", gauge, "Resident memory.")
		w.line(u.ResidentMB * (1 << 20))
		w.of("process_open_fds", gauge, "Open descriptors.")
		w.line(float64(u.Descriptors))
	}
}

func one(x bool) float64 {
	if x {
		return 1
	}
	return 0
}
