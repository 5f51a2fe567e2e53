// A module at rest. With Settings.Rest a Balancer with nothing open sets no timer: what the ticks left out
// would have done it makes up for at its next event, to the bit.

package balancer

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"
)

// idle reports whether a tick can do no more than close a period.
func (b *Balancer) idle() bool {
	return b.s.SuspendWhenIdle && len(b.requests) == 0 && len(b.held) == 0 && b.out == 0 &&
		(b.s.Reports != ReportHealthChecks || !b.s.Limits.HealthChecks)
}

// nextTick sets the timer for the next tick, or leaves that out and begins to rest.
func (b *Balancer) nextTick(now time.Duration) {
	if b.idle() {
		b.resting, b.restAt = true, now+b.tick
		return
	}
	b.host.SetTimer(b.tick, tickToken)
}

// rouse ends the rest if there is something for a tick to do: the next one comes when it would have come.
func (b *Balancer) rouse(now time.Duration) {
	if b.resting && !b.idle() {
		b.resting = false
		b.host.SetTimer(b.restAt-now, tickToken)
	}
}

// catchUp makes up for the ticks that were left out until now. With nothing open they only closed periods.
func (b *Balancer) catchUp(now time.Duration) {
	if !b.resting || now < b.restAt {
		return
	}
	after := func(at time.Duration) time.Duration { // the first tick then or later
		return b.restAt + (max(0, at-b.restAt)+b.tick-1)/b.tick*b.tick
	}
	last := b.restAt + (now-b.restAt)/b.tick*b.tick
	every := (bandPeriod + b.tick - 1) / b.tick * b.tick
	for at := after(b.stepAt + bandPeriod); at <= last; at = b.stepAt + every {
		if b.step(at); b.gathered {
			for b.stepAt+every <= last && b.fade(int((last-b.stepAt)/every), every) {
			}
		}
	}
	b.restAt = last + b.tick
}

// owesMost bounds the time to the next look at what a tenant of no quota has had: that is never forgotten.
const owesMost = 24 * time.Hour

// Suspended reports whether no timer is set: nothing is open.
func (b *Balancer) Suspended() bool { return b.resting }

// NextDue tells until when b has something that no one made in its place would know: what is open, the wait of a
// cold or failing upstream, the time in which a keyed request must not be repeated elsewhere, a tenant's use
// of its quota. Not after now: nothing.
func (b *Balancer) NextDue(now time.Duration) (until time.Duration) {
	if b.catchUp(now); !b.resting {
		return now + b.tick
	}
	for _, c := range b.classes {
		if c.ranAt > 0 {
			until = max(until, c.ranAt+c.DeduplicationWindow)
		}
	}
	for _, u := range b.ups {
		if u.State == Active {
			until = max(until, u.freeAt, u.StartedAt+b.s.Rules.SlowStartDuration)
		}
	}
	if b.owing(now) {
		until = max(until, now+b.tick)
		for _, x := range b.ring {
			dry := min(x.level/max(x.rate, math.SmallestNonzeroFloat32), owesMost.Seconds())
			until = max(until, x.at+time.Duration(dry*float64(time.Second)))
		}
	}
	return until
}

// fading is the work of an upstream that fades in a rest.
type fading struct {
	u         *upstream
	work, use float64
	counts    bool // for what warm ones carry
}

// fadeMost is how many periods are closed at once: work over workLeast is far from the least float then.
const fadeMost, workLeast = 512, 1e-200

// fade closes up to n periods at once, each as step does after one that moved no share and no upstream: work
// and the rate of requests fade, cuts go on by the same areas, all else stays. It ends before a period in
// which the width of the stretch changes; false: that is the first.
func (b *Balancer) fade(n int, every time.Duration) bool {
	done := 0
	for n = min(n, fadeMost); done < n; done++ {
		rate := b.rate
		follow(&b.rate, 0, rateWeight)
		settled := rate <= cmp.Or(b.fair, subsetLeast*subsetLeast/evenTurns) // less of it changes no width
		if !settled && (b.width(float64(b.went.n)) != b.went.want || b.pace != b.went.pace) {
			b.rate = rate
			break
		}
	}
	if done == 0 {
		return false
	}
	first, end, tiny := b.stepAt+every, b.stepAt+time.Duration(done)*every, false
	var moving []fading
	var size float64
	for _, u := range b.near {
		b.integrate(u, first)
		if u.work > 0 {
			moving, tiny = append(moving, fading{u, u.work, u.use(), u.carries()}), tiny || u.work < workLeast
		}
		if u.carries() {
			size += u.weight * u.slice
		}
	}
	threshold := b.threshold()
	for _, u := range b.near {
		for range done {
			factor := u.cut(u.factor, threshold)
			if factor == u.factor {
				break
			}
			u.factor = factor
		}
		u.area, u.readAt = 0, end
	}
	for i, moved := 0, true; i < done && moved; i++ {
		moved = false
		for j := range moving {
			f := &moving[j]
			next := carrying(f.work, 0)
			moved = moved || next != f.work
			f.work = next
		}
		if i < done-1 && moved && !tiny { // what is carried now is not asked for, and is not 0
			continue
		}
		var work float64
		for _, f := range moving {
			if f.counts {
				work += f.work / f.use
			}
		}
		b.carry = cmp.Or(work/max(size, math.SmallestNonzeroFloat32), b.carry)
	}
	for _, f := range moving {
		f.u.work = f.work
	}
	b.stepAt = end
	b.skip(done * b.chosen)
	return true
}

// threshold is the area over which an upstream is saturated.
func (b *Balancer) threshold() float64 {
	area := func(u *upstream) float64 { return u.area }
	middle := b.rank(2, area)
	return max(areaFloor, areaRatio*middle, middle+areaSpread*(middle-b.rank(4, area)))
}

// cut is what a period leaves of the share that u has kept.
func (u *upstream) cut(factor, threshold float64) float64 {
	if u.readings >= bandWindow/2 && u.area > threshold {
		return max(shareFloor, factor*max(cutMost, threshold/u.area))
	}
	return min(1, factor*restoreStep)
}

// carrying is the mean work that an upstream carries a period, after one more.
func carrying(work, carried float64) float64 { return work + smoothing*(carried-work) }

// carries tells whether u counts for what warm ones carry, use by what part of it.
func (u *upstream) carries() bool { return u.member && !u.cold && !u.silent && u.work > 0 }
func (u *upstream) use() float64  { return min(max(cmp.Or(u.mean, 1), levelFloor), 1) }

// met is what gather goes by, of one upstream.
type met struct {
	active, cold, silent bool
	arc                  float64
}

// ringed is what it goes by, of all of them.
type ringed struct {
	n               int // upstreams that are active
	want, pace      float64
	rank, balancers int
}

// unmoved reports whether gather would choose as it did last, and drops from the near ones what has left them
// and owes nothing. Else it sees to the ring of those that are active, in order of their places.
func (b *Balancer) unmoved() bool {
	n, same, listed := 0, true, true
	for _, u := range b.ups {
		now := met{}
		if u.State == Active {
			now = met{true, u.cold, u.silent, b.arc(u)}
			n++
		}
		if now != u.met {
			listed = listed && now.active == u.met.active
			u.met, same = now, false
		}
	}
	if !listed || len(b.active) != n {
		b.active = slices.DeleteFunc(slices.Clone(b.ups), func(u *upstream) bool { return u.State != Active })
		slices.SortFunc(b.active, func(x, y *upstream) int { return cmp.Compare(x.place, y.place) })
	}
	want := b.width(float64(n))
	if !same || b.went != (ringed{n, want, b.pace, b.s.Rank, b.s.Balancers}) {
		return false
	}
	b.near = slices.DeleteFunc(b.near, func(u *upstream) bool { return !u.member && len(u.outs) == 0 })
	return true
}

// PCG's step is state = state·mul + inc, in 128 bits (math/rand/v2).
var (
	pcgMul = wide{2549297995355413924, 4865540595714422341}
	pcgInc = wide{6364136223846793005, 1442695040888963407}
)

// wide is a number of 128 bits.
type wide struct{ hi, lo uint64 }

func (x wide) times(y wide) wide {
	hi, lo := bits.Mul64(x.lo, y.lo)
	return wide{hi + x.hi*y.lo + x.lo*y.hi, lo}
}

func (x wide) plus(y wide) wide {
	lo, carry := bits.Add64(x.lo, y.lo, 0)
	hi, _ := bits.Add64(x.hi, y.hi, carry)
	return wide{hi, lo}
}

// skip lets the source go on by n draws, in steps of growing powers (F. Brown, Random Number Generation with
// Arbitrary Strides, 1994).
func (b *Balancer) skip(n int) {
	if n < 16 { // sooner drawn
		for range n {
			b.rng.Uint64()
		}
		return
	}
	text, _ := b.source.MarshalBinary() // "pcg:" and the state
	mul, inc := wide{0, 1}, wide{}
	for m, i := pcgMul, pcgInc; n > 0; n >>= 1 {
		if n&1 == 1 {
			mul, inc = mul.times(m), inc.times(m).plus(i)
		}
		m, i = m.times(m), i.times(m.plus(wide{0, 1}))
	}
	state := text[len(text)-16:]
	x := wide{binary.BigEndian.Uint64(state), binary.BigEndian.Uint64(state[8:])}.times(mul).plus(inc)
	binary.BigEndian.PutUint64(state, x.hi)
	binary.BigEndian.PutUint64(state[8:], x.lo)
	_ = b.source.UnmarshalBinary(text) // what it has written itself
}
