package lbpolicy

import (
	"math"
	"math/rand/v2"
	"time"
)

// server is what twoChoices keeps of a server.
type server struct {
	out   int
	cost  float64       // peak-sensitive mean latency, ns
	at    time.Duration // of the last sample
	began bool
}

// twoChoices draws two servers and takes the one with the lower load (M. Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", IEEE TPDS 12(10), 2001; Envoy LEAST_REQUEST, Finagle P2C).
type twoChoices struct {
	rng  *rand.Rand
	load func(s *server, now time.Duration) float64
	all  []server
}

func (p *twoChoices) at(i int) *server {
	for len(p.all) <= i {
		p.all = append(p.all, server{})
	}
	return &p.all[i]
}

func (p *twoChoices) Pick(now time.Duration, n int, open func(int) bool) int {
	a := draw(p.rng, n, open)
	if a < 0 {
		return a
	}
	b := draw(p.rng, n, func(i int) bool { return i != a && open(i) })
	if b >= 0 && p.load(p.at(b), now) < p.load(p.at(a), now) {
		return b
	}
	return a
}

func (p *twoChoices) Sent(_ time.Duration, i int) { p.at(i).out++ }

func (p *twoChoices) Done(now time.Duration, i int, latency time.Duration, _ Report) {
	s := p.at(i)
	s.out--
	s.observe(now, float64(latency))
}

func outstanding(s *server, _ time.Duration) float64 { return float64(s.out) }

// The constants of Finagle's com.twitter.finagle.loadbalancer.PeakEwma.
const (
	ewmaDecay   = 10 * time.Second
	ewmaPenalty = math.MaxInt64 >> 16 // of a server that has requests out and has answered none
)

// observe takes a latency at its peak at once, and forgets it by degrees.
func (s *server) observe(now time.Duration, rtt float64) {
	since := max(0, now-s.at)
	if !s.began {
		since = 0
	}
	w := math.Exp(-float64(since) / float64(ewmaDecay))
	if s.at, s.began = now, true; rtt > s.cost {
		s.cost = rtt
	} else {
		s.cost = s.cost*w + rtt*(1-w)
	}
}

// peakEWMA is Finagle's load: the peak-sensitive moving average of latency times the requests that are out, and one more.
func peakEWMA(s *server, now time.Duration) float64 {
	s.observe(now, 0)
	if s.cost == 0 && s.out > 0 {
		return ewmaPenalty + float64(s.out)
	}
	return s.cost * float64(s.out+1)
}
