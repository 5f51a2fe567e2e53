// The upstreams that this balancer uses: a stretch of the ring.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	usualSharers        = 4.0   // balancers that share an upstream, where there are enough
	maxSharers          = 10.0  // and at most, for evenness
	evennessFactor      = 4.0   // for it one uses the root of this multiple of its requests a second
	minSubsetSize       = 2     // upstreams that a balancer uses at least
	minSubsetPart       = 0.125 // part of an upstream that one uses at least, if any
	loadFactorTolerance = 1.5   // changes of the rate within it move nothing
)

// subset is the stretch of the ring that this balancer uses. upstreams holds its members in order of arrival, and what
// left it with attempts still in flight. It is chosen anew only when its inputs or the ring have changed.
type subset struct {
	ring       []*upstreamState // active upstreams, by position
	upstreams  []*upstreamState
	inputs     subsetInputs // what the last choice went by
	size       int          // how many it chose
	unchanged  bool         // the last choice was left out, as it would have come to the same
	hasWarm    bool         // some member is healthy
	loadFactor float64      // this balancer's rate as a multiple of its even part, where that is more
}

// subsetInputs is what the choice of the subset goes by, beside the ring.
type subsetInputs struct {
	active             int // upstreams that are active
	width, limitGrowth float64
	rank, balancers    int
}

// baseWidth is how many of so many upstreams a balancer uses, and how fast concurrency limits grow then: few, or
// connections run out and no balancer sees enough of any; more where it has the requests. Over k counts vary by chance
// as rate/k, and by places of turns as k/6: the sum is least at √(6 rate), hardly more with fewer connections.
func baseWidth(active float64, balancers int, rate float64) (width, limitGrowth float64) {
	sharedBy := func(sharers float64) float64 {
		return active * sharers / max(sharers, float64(balancers)-sharers)
	}
	few := min(active, max(minSubsetSize, sharedBy(usualSharers)))
	even := min(sharedBy(maxSharers), math.Sqrt(evennessFactor*rate))
	width = min(active, max(few, even))
	return width, few / max(width, 1) // more that share an upstream cut it by less each: they grow by less too
}

// updateLoadFactor follows this balancer's rate as a multiple of its even part. One with several times the traffic of
// the others filled its few upstreams while theirs stood idle.
func (s *subset) updateLoadFactor(rate, evenRate float64) {
	factor := max(1, rate/cmp.Or(evenRate, math.Inf(1)))
	if factor > max(1, s.loadFactor)*loadFactorTolerance || factor < s.loadFactor/loadFactorTolerance {
		s.loadFactor = factor
	}
}

// updateWidth is how many of so many upstreams this balancer uses: with a multiple of its even part of the traffic as
// many times more, with as many turns at first over all of them.
func (b *Balancer) updateWidth(active float64) float64 {
	rate := cmp.Or(b.quota.evenRate, b.arrivals.perSecond)
	width, growth := baseWidth(active, b.settings.Balancers, rate)
	b.limits.growth = growth
	b.subset.updateLoadFactor(b.arrivals.perSecond, b.quota.evenRate)
	return max(1, min(active, width*max(1, b.subset.loadFactor)))
}

// currentInputs is what the choice goes by now.
func (b *Balancer) currentInputs(active int) subsetInputs {
	width := b.updateWidth(float64(active)) // it sets the growth of limits
	return subsetInputs{active, width, b.limits.growth, b.settings.Rank, b.settings.Balancers}
}

// chooseSubset chooses the upstreams that this balancer uses. All see the same ring of them, and each one uses a
// stretch from a place of its own, its ends in part: what all use adds up to the same everywhere.
func (b *Balancer) chooseSubset(now time.Duration) {
	active, unchanged := b.updateRing()
	inputs := b.currentInputs(active)
	b.subset.unchanged = unchanged && inputs == b.subset.inputs
	if b.subset.unchanged { // it would come to the same
		b.subset.upstreams = slices.DeleteFunc(b.subset.upstreams, func(upstream *upstreamState) bool {
			return !upstream.inSubset && len(upstream.inFlight) == 0
		})
		b.skipDraws(b.subset.size)
		return
	}
	b.subset.inputs = inputs
	b.limits.initial = initialLimitTotal * max(float64(active), 1) / inputs.width / float64(b.settings.Balancers)
	turns := b.walkRing(inputs.width)
	b.subset.size = len(turns)
	b.subset.upstreams = b.subset.upstreams[:0]
	for _, upstream := range b.upstreams {
		firstTurn, chosen := turns[upstream]
		if chosen && !upstream.inSubset {
			b.enterSubset(upstream, firstTurn, inputs.width, now)
		}
		upstream.inSubset = chosen
		if chosen || len(upstream.inFlight) > 0 {
			b.subset.upstreams = append(b.subset.upstreams, upstream)
		}
	}
}

// enterSubset prepares an upstream for its first turn, in rounds. First turns go round the stretch, so those of all
// balancers go round the ring.
func (b *Balancer) enterSubset(upstream *upstreamState, firstTurn, width float64, now time.Duration) {
	upstream.limit.allowed = cmp.Or(upstream.limit.allowed, b.limits.initial)
	upstream.band.integratedAt = now
	upstream.dueAt = b.interleaver.virtualTime + firstTurn*width
	late := min(1, math.Floor(firstTurn*width)/width) // or all crowd it
	wait := time.Duration(late * float64(b.sendInterval(upstream)))
	upstream.limit.nextSendAt = max(upstream.limit.nextSendAt, now+wait)
	upstream.slowStart.sentWork = firstTurn
	upstream.slowStart.sentWorkAt = now
	upstream.healthCheckedAt = now - time.Duration(firstTurn*float64(bandPeriod))
}

// ringWalk goes along the ring, in units of its length. Warming and unresponsive upstreams stay in the stretch, which
// goes on until as many are healthy as the usual number of sharers has.
type ringWalk struct {
	offset    float64 // part of the first upstream that lies before the stretch
	remaining float64 // what is left of the stretch; under zero: how far the walk has gone beyond it
	end       float64 // where the walk ends in any case
	wanted    float64 // how much is still wanted of healthy upstreams
	learnFrom float64 // upstreams that warm up are left out from here on
	minPart   float64
}

// newRingWalk returns a walk over a stretch of a ring of a total length, on which one upstream has a mean length.
func newRingWalk(offset, width, total, active, limitGrowth float64) ringWalk {
	length := width * total / max(active, 1)
	return ringWalk{
		offset:    offset,
		remaining: length,
		end:       -length,
		wanted:    length * limitGrowth,
		learnFrom: length * (1 - limitGrowth),
		minPart:   minSubsetPart * total / max(active, 1),
	}
}

// done reports whether the walk is over after so many upstreams.
func (w *ringWalk) done(visited int) bool {
	if w.remaining <= w.end {
		return true
	}
	return max(w.remaining, w.wanted) <= w.minPart/2 && visited >= minSubsetSize
}

// pass goes past an upstream of a length, and returns the part of it that the stretch has. Few balancers learn an
// upstream that warms up, with more of their traffic each, or all crowd it: for the others it is not chosen.
func (w *ringWalk) pass(length float64, warming, healthy bool) (part float64, chosen bool) {
	part = max(0, min(length-w.offset, max(w.remaining, w.wanted)))
	w.offset = 0
	w.remaining -= part
	if warming && w.remaining+part <= w.learnFrom {
		return 0, false
	}
	if healthy {
		w.wanted -= part
	}
	return part, true
}

// walkRing chooses the members of the subset and their parts, and returns their first turns, in rounds.
func (b *Balancer) walkRing(width float64) (firstTurns map[*upstreamState]float64) {
	ring := b.subset.ring
	active, total := float64(len(ring)), 0.0
	for _, upstream := range ring {
		total += b.ringLength(upstream)
	}
	first, offset := b.stretchStart(total)
	walk := newRingWalk(offset, width, total, active, b.limits.growth)
	firstTurns = make(map[*upstreamState]float64, int(width)+1)
	b.subset.hasWarm = false
	for visited := 0; visited < len(ring) && !walk.done(visited); visited++ {
		upstream := ring[(first+visited)%len(ring)]
		part, chosen := walk.pass(b.ringLength(upstream), upstream.slowStart.warming, upstream.isHealthy())
		if !chosen {
			continue
		}
		b.subset.hasWarm = b.subset.hasWarm || upstream.isHealthy()
		upstream.share.subsetPart = 1
		if width != active {
			upstream.share.subsetPart = min(1, max(part, walk.minPart)/b.ringLength(upstream))
		}
		if upstream.slowStart.warming {
			upstream.share.subsetPart /= b.limits.growth
		}
		firstTurns[upstream] = (float64(visited) + b.rng.Float64()) / width
	}
	return firstTurns
}

// stretchStart is the upstream on the ring at which this balancer's stretch begins, and how far within its place.
func (b *Balancer) stretchStart(total float64) (first int, offset float64) {
	offset = latticePoint(b.settings.Rank, b.settings.Balancers) * total
	ring := b.subset.ring
	for first < len(ring)-1 && offset >= b.ringLength(ring[first]) {
		offset -= b.ringLength(ring[first])
		first++
	}
	return first, offset
}
