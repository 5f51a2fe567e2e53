// Package picker holds the ways by which widely used proxies and RPC libraries choose a server, to set olivearch against
// them: each as its source says, with the source's constants. It does no I/O, reads no clock and starts no goroutine;
// a Picker belongs to one goroutine.
package lbpolicy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Report is what a server says of its load; Known is false where it says nothing.
type Report struct {
	Known bool
	Util  float64 // share of its cores that is busy, 0 to 1
	Rate  float64 // requests served a second
	Error float64 // errors a second
}

// Picker chooses servers, which are numbered from 0. Numbers may grow at any time.
type Picker interface {
	// Pick returns one of n servers that is open, or -1 if none is.
	Pick(now time.Duration, n int, open func(int) bool) int
	// Sent notes that a request has gone to a server.
	Sent(now time.Duration, server int)
	// Done notes the end of such a request.
	Done(now time.Duration, server int, latency time.Duration, r Report)
}

// Prober is a Picker that asks servers for their load beside the requests.
type Prober interface {
	Picker
	// Probes returns the servers to ask, once after each pick.
	Probes(now time.Duration, n int, open func(int) bool) []int
	// Probed takes an answer: requests in flight at the server, and its latency at about so many.
	Probed(now time.Duration, server, inflight int, latency time.Duration)
}

var makers = map[string]func(rng *rand.Rand) Picker{
	"random":      func(rng *rand.Rand) Picker { return &random{rng: rng} },
	"round-robin": func(rng *rand.Rand) Picker { return &roundRobin{} },
	"least":       func(rng *rand.Rand) Picker { return &least{} },
	"p2c":         func(rng *rand.Rand) Picker { return &twoChoices{rng: rng, load: outstanding} },
	"peak-ewma":   func(rng *rand.Rand) Picker { return &twoChoices{rng: rng, load: peakEWMA} },
	"wrr":         func(rng *rand.Rand) Picker { return &weighted{rng: rng} },
	"prequal":     func(rng *rand.Rand) Picker { return newPrequal(rng) },
}

// Names lists the pickers, sorted.
func Names() []string {
	var names []string
	for name := range makers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// New returns a picker. The same seed and calls give the same picks.
func New(name string, seed uint64) (Picker, error) {
	f := makers[name]
	if f == nil {
		return nil, fmt.Errorf("there is no picker %q; known: %s", name, strings.Join(Names(), ", "))
	}
	return f(rand.New(rand.NewPCG(seed, 11))), nil
}

// random picks uniformly (HAProxy "balance random(1)", Envoy RANDOM).
type random struct{ rng *rand.Rand }

func (p *random) Pick(_ time.Duration, n int, open func(int) bool) int { return draw(p.rng, n, open) }
func (*random) Sent(time.Duration, int)                                {}
func (*random) Done(time.Duration, int, time.Duration, Report)         {}

// draw returns one of the open servers, each as likely as the others: by a few tries first, since most are open.
func draw(rng *rand.Rand, n int, open func(int) bool) int {
	for range min(n, 4) {
		if i := rng.IntN(n); open(i) {
			return i
		}
	}
	best, seen := -1, 0
	for i := range n {
		if open(i) {
			if seen++; rng.IntN(seen) == 0 {
				best = i
			}
		}
	}
	return best
}

// roundRobin takes servers in turn (nginx's and HAProxy's default, with equal weights).
type roundRobin struct{ next int }

func (p *roundRobin) Pick(_ time.Duration, n int, open func(int) bool) int {
	for k := range n {
		if i := (p.next + k) % n; open(i) {
			p.next = i + 1
			return i
		}
	}
	return -1
}
func (*roundRobin) Sent(time.Duration, int)                        {}
func (*roundRobin) Done(time.Duration, int, time.Duration, Report) {}

// counts knows how many requests each server has from this picker.
type counts struct{ out []int }

func (c *counts) at(i int) *int {
	for len(c.out) <= i {
		c.out = append(c.out, 0)
	}
	return &c.out[i]
}

func (c *counts) Sent(_ time.Duration, i int)                            { *c.at(i)++ }
func (c *counts) Done(_ time.Duration, i int, _ time.Duration, _ Report) { *c.at(i)-- }

// least looks at all servers for the fewest requests outstanding, and goes round among equals (HAProxy "leastconn",
// nginx "least_conn").
type least struct {
	counts
	next int
}

func (p *least) Pick(_ time.Duration, n int, open func(int) bool) int {
	best := -1
	for k := range n {
		if i := (p.next + k) % n; open(i) && (best < 0 || *p.at(i) < *p.at(best)) {
			best = i
		}
	}
	p.next = best + 1
	return best
}
