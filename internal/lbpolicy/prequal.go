package lbpolicy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The constants of Prequal (B. Wydrowski, R. Kleinberg, S. M. Rumble, A. Archer, "Load is not what you should balance:
// Introducing Prequal", NSDI 2024, section 4 and table 1).
const (
	probeRate   = 3.0 // probes a query
	probeRemove = 1.0 // probes taken out of the pool a query
	probePool   = 16
	probeAge    = time.Second
	probeDelta  = 1.0  // keeps the pool from running empty
	hotQuantile = 0.84 // of requests in flight: servers above are hot
	probeRecent = 128  // requests in flight of so many probes give the quantile
)

// probe is an answer in the pool.
type probe struct {
	server, inflight int
	latency          time.Duration
	at               time.Duration
	uses             float64
}

// prequal probes servers at random, takes those with many requests in flight for hot, and picks among the cold ones by
// latency, among hot ones alone by requests in flight.
type prequal struct {
	rng    *rand.Rand
	pool   []probe // in order of arrival
	recent []int
	at     int
	credit float64 // probes owed, by the rate
	remove float64
	oldest bool // which one goes next: the oldest or the worst
}

func newPrequal(rng *rand.Rand) *prequal { return &prequal{rng: rng} }

// reuse is how often an answer may be used: as often as keeps the pool from running empty, at the rates of probes in and
// out. Where servers are few the formula has no value, and an answer serves until it is old.
func reuse(n int) float64 {
	most := min(probePool, max(1, n/2))
	if left := (1-float64(most)/float64(max(n, 1)))*probeRate - probeRemove; left > 0 {
		return max(1, (1+probeDelta)/left)
	}
	return probePool
}

// hot is the number of requests in flight over which a server is hot.
func (p *prequal) hot() int {
	if len(p.recent) == 0 {
		return math.MaxInt
	}
	sorted := slices.Clone(p.recent)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(hotQuantile*float64(len(sorted))))]
}

// better tells whether x goes before y.
func better(x, y probe, hot int) bool {
	switch xHot, yHot := x.inflight > hot, y.inflight > hot; {
	case xHot != yHot:
		return !xHot
	case xHot:
		return x.inflight < y.inflight
	default:
		return x.latency < y.latency
	}
}

func (p *prequal) Pick(now time.Duration, n int, open func(int) bool) int {
	p.pool = slices.DeleteFunc(p.pool, func(x probe) bool { return now-x.at >= probeAge })
	best, hot := -1, p.hot()
	if len(p.pool) >= 2 {
		for i, x := range p.pool {
			if open(x.server) && (best < 0 || better(x, p.pool[best], hot)) {
				best = i
			}
		}
	}
	if best < 0 {
		return draw(p.rng, n, open)
	}
	x := &p.pool[best]
	server := x.server
	x.inflight++ // the probe did not know of this one
	if x.uses++; x.uses >= reuse(n) {
		p.pool = slices.Delete(p.pool, best, best+1)
	}
	for p.remove += probeRemove; p.remove >= 1 && len(p.pool) > 2; p.remove-- {
		worst := 0 // the oldest
		if !p.oldest {
			for i, y := range p.pool {
				if better(p.pool[worst], y, hot) {
					worst = i
				}
			}
		}
		p.oldest = !p.oldest
		p.pool = slices.Delete(p.pool, worst, worst+1)
	}
	p.remove = min(p.remove, 1)
	return server
}

func (p *prequal) Probes(_ time.Duration, n int, open func(int) bool) (servers []int) {
	for p.credit += probeRate; p.credit >= 1; p.credit-- {
		if i := draw(p.rng, n, open); i >= 0 && !slices.Contains(servers, i) {
			servers = append(servers, i)
		}
	}
	return servers
}

func (p *prequal) Probed(now time.Duration, server, inflight int, latency time.Duration) {
	if len(p.recent) < probeRecent {
		p.recent = append(p.recent, inflight)
	} else {
		p.recent[p.at%probeRecent] = inflight
	}
	p.at++
	p.pool = append(p.pool, probe{server: server, inflight: inflight, latency: latency, at: now})
	if len(p.pool) > probePool {
		p.pool = slices.Delete(p.pool, 0, 1)
	}
}

func (*prequal) Sent(time.Duration, int)                        {}
func (*prequal) Done(time.Duration, int, time.Duration, Report) {}
