package scenario

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Node names one node of a group.
func (g *Group) Node(i int) string { return g.Name + "-" + strconv.Itoa(i) }

// Nodes returns the names that a trouble concerns.
func (f *File) Nodes(t Trouble) []string {
	var names []string
	for _, name := range t.Nodes {
		group := false
		for i := range f.Fleet {
			if g := &f.Fleet[i]; g.Name == name {
				group = true
				for j := range g.Count {
					names = append(names, g.Node(j))
				}
			}
		}
		if !group {
			names = append(names, name)
		}
	}
	return names
}

// distributions draw sizes with mean 1.
var distributions = map[string]func(s *Sizes, rng *rand.Rand) float64{
	"constant":    func(*Sizes, *rand.Rand) float64 { return 1 },
	"uniform":     func(s *Sizes, rng *rand.Rand) float64 { return 1 + s.Spread*(2*rng.Float64()-1) },
	"exponential": func(_ *Sizes, rng *rand.Rand) float64 { return rng.ExpFloat64() },
	"lognormal":   func(s *Sizes, rng *rand.Rand) float64 { return math.Exp(s.Sigma*rng.NormFloat64() - s.Sigma*s.Sigma/2) },
	"pareto":      pareto,
	"bimodal": func(s *Sizes, rng *rand.Rand) float64 {
		small := 1 / (1 - s.Share + s.Share*s.Factor)
		if rng.Float64() < s.Share {
			return small * s.Factor
		}
		return small
	},
}

// pareto is cut at 1,000 times the least, so that its mean is one that a run comes near.
func pareto(s *Sizes, rng *rand.Rand) float64 {
	const most = 1000
	a, cut := s.Alpha, math.Pow(most, -s.Alpha)
	mean := a / (a - 1) * (1 - math.Pow(most, 1-a)) / (1 - cut)
	return math.Pow(1-rng.Float64()*(1-cut), -1/a) / mean
}

// Arrivals draws the requests of a load: when each is meant to start, and its size. The same seed draws the same ones,
// whatever becomes of them.
type Arrivals struct {
	load *Load
	rng  *rand.Rand
	at   time.Duration
	end  time.Duration
}

// NewArrivals returns the arrivals of the load with a number, from a moment that is before the measuring by warmup.
func (f *File) NewArrivals(load int, seed uint64) *Arrivals {
	return &Arrivals{load: &f.Load[load], rng: rand.New(rand.NewPCG(seed, uint64(load)+101)), at: -time.Duration(f.Warmup), end: time.Duration(f.Length)}
}

// Size draws the work of one request, at least a thousandth of the mean.
func (a *Arrivals) Size() float64 {
	return max(0.001, distributions[a.load.Sizes.Kind](&a.load.Sizes, a.rng))
}

// RateAt is the rate at a moment, in requests a second.
func (l *Load) RateAt(at time.Duration) float64 { return l.Rate * l.multiple(at) * l.burst(at) }

func (l *Load) burst(at time.Duration) float64 {
	if b := l.Burst; b != nil && at >= 0 && at%time.Duration(b.Every) < time.Duration(b.Length) {
		return b.Factor
	}
	return 1
}

func (l *Load) multiple(at time.Duration) float64 {
	if len(l.Curve) == 0 {
		return 1
	}
	for i, p := range l.Curve {
		if at < time.Duration(p.At) {
			if i == 0 {
				return p.Rate
			}
			q := l.Curve[i-1]
			return q.Rate + (p.Rate-q.Rate)*float64(at-time.Duration(q.At))/float64(p.At-q.At)
		}
	}
	return l.Curve[len(l.Curve)-1].Rate
}

// Next draws the next arrival of an open loop, by thinning a process at the highest rate; ok is false after the end.
func (a *Arrivals) Next() (at time.Duration, size float64, ok bool) {
	top := 1.0
	for _, p := range a.load.Curve {
		top = max(top, p.Rate)
	}
	if b := a.load.Burst; b != nil {
		top *= max(1, b.Factor)
	}
	for {
		a.at += time.Duration(a.rng.ExpFloat64() / (a.load.Rate * top) * float64(time.Second))
		if a.at >= a.end {
			return 0, 0, false
		}
		if a.rng.Float64()*a.load.Rate*top <= a.load.RateAt(a.at) {
			return a.at, a.Size(), true
		}
	}
}
