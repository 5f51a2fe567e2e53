package lbpolicy

import (
	"math/rand/v2"
	"time"
)

// The periods of gRFC A58 (client-side weighted round robin by what servers report). Its blackout is 10 s; scenes here last
// for seconds, and a shorter one only helps it.
const (
	weightUpdate     = time.Second
	weightBlackout   = time.Second
	weightExpiration = 3 * time.Minute
	errorPenalty     = 1.0
)

// reported is a server's weight by its reports.
type reported struct {
	weight          float64
	since, lastAt   time.Duration // of the first report without a pause, and of the last
	has             bool
	due             float64
	current, placed bool // weight in use is its own; it has a place in the schedule
	used            float64
}

// weighted is gRPC's weighted_round_robin (gRFC A58): weight = rate / (utilisation + errors / rate × penalty), new weights
// once a second, servers without a usable one get the mean; picks are an earliest-deadline-first schedule over them.
type weighted struct {
	rng     *rand.Rand
	all     []reported
	updated time.Duration
	began   bool
	turn    float64
}

func (p *weighted) at(i int) *reported {
	for len(p.all) <= i {
		p.all = append(p.all, reported{})
	}
	return &p.all[i]
}

// update puts the newest weights into the schedule.
func (p *weighted) update(now time.Duration, n int) {
	sum, known := 0.0, 0
	for i := range n {
		r := p.at(i)
		if r.has && now-r.lastAt >= weightExpiration {
			r.has = false
		}
		if r.current = r.has && now-r.since >= weightBlackout && r.weight > 0; r.current {
			sum, known = sum+r.weight, known+1
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	for i := range n {
		if r := p.at(i); r.current {
			r.used = r.weight / mean
		} else {
			r.used = 1
		}
	}
	p.updated, p.began = now, true
}

func (p *weighted) Pick(now time.Duration, n int, open func(int) bool) int {
	if !p.began || now-p.updated >= weightUpdate || len(p.all) < n {
		p.update(now, n)
	}
	best := -1
	for i := range n {
		r := p.at(i)
		if !r.placed { // its first turn is drawn, or all clients begin with the same server
			r.placed, r.due = true, p.turn+p.rng.Float64()/r.used
		}
		if open(i) && (best < 0 || r.due < p.all[best].due) {
			best = i
		}
	}
	if best >= 0 {
		r := &p.all[best]
		p.turn = max(p.turn, r.due)
		r.due = p.turn + 1/r.used
	}
	return best
}

func (p *weighted) Sent(time.Duration, int) {}

func (p *weighted) Done(now time.Duration, i int, _ time.Duration, r Report) {
	s := p.at(i)
	if !r.Known || r.Rate <= 0 || r.Util <= 0 {
		return
	}
	if !s.has {
		s.has, s.since = true, now
	}
	s.lastAt = now
	s.weight = r.Rate / (r.Util + r.Error/r.Rate*errorPenalty)
}
