package lbpolicy

import (
	"slices"
	"time"
)

// How many of the latest requests a server remembers for its answers to probes, and from how many it takes the median.
const (
	latencyKept = 128
	latencyNear = 8
)

// Latencies is the server's part of Prequal: it answers a probe with the median latency of the latest requests that came
// when about as many were in flight as now (NSDI 2024, section 4).
type Latencies struct {
	kept []sample
	next int
}

type sample struct {
	inflight int
	latency  time.Duration
}

// Add notes a request that came when so many others were in flight.
func (l *Latencies) Add(inflight int, latency time.Duration) {
	if len(l.kept) < latencyKept {
		l.kept = append(l.kept, sample{inflight, latency})
		return
	}
	l.kept[l.next%latencyKept] = sample{inflight, latency}
	l.next++
}

// At returns the latency for a number in flight; 0 if nothing is known.
func (l *Latencies) At(inflight int) time.Duration {
	near := slices.Clone(l.kept)
	distance := func(s sample) int { return max(s.inflight-inflight, inflight-s.inflight) }
	slices.SortStableFunc(near, func(x, y sample) int { return distance(x) - distance(y) })
	near = near[:min(len(near), latencyNear)]
	if len(near) == 0 {
		return 0
	}
	slices.SortFunc(near, func(x, y sample) int { return int(x.latency - y.latency) })
	return near[len(near)/2].latency
}
