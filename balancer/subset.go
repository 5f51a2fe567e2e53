// The subset of upstreams that this balancer uses: an arc of the ring.

package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	targetSharers       = 4.0   // balancers that share an upstream, if there are that many
	maxSharers          = 10.0  // bound on the sharers of an upstream when subsets are widened for evenness
	evennessFactor      = 4.0   // for evenness, subsets are widened to √(evennessFactor × requests a second)
	minSubsetSize       = 2     // least number of upstreams in a subset
	minSubsetPart       = 0.125 // least part of an upstream that is in a subset, if any
	loadFactorTolerance = 1.5   // changes of the load factor by less than this ratio are ignored
)

// subset is the arc of the ring that this balancer uses. upstreams holds its members, and former members with attempts
// still in flight, in the order in which they were first listed. The subset is chosen anew only when its inputs or a
// ring entry has changed.
type subset struct {
	ring       []*upstreamState // active upstreams, by position
	upstreams  []*upstreamState
	inputs     subsetInputs // of the last choice
	size       int          // members at the last choice
	unchanged  bool         // the last choice was skipped, since its result would have been the same
	hasHealthy bool
	loadFactor float64 // arrival rate as a multiple of quota.fairRate, at least 1; 0 until it is first updated
}

// subsetInputs are the parameters of the choice of a subset, besides the ring entries.
type subsetInputs struct {
	active             int // active upstreams
	width, limitGrowth float64
	rank, balancers    int
}

// baseWidth returns how many of the active upstreams a balancer uses at a rate of requests per second, and the factor
// on the growth of concurrency limits. A subset is narrow, since connections are limited and a balancer must see enough
// answers of each upstream. It is wider at high rates, for evenness: with k upstreams, the number of requests that one
// of them gets varies by chance as rate/k, and by the positions of turns as k/6. The sum is least at k = √(6 rate), and
// hardly higher at the smaller k used here, which takes fewer connections.
func baseWidth(active float64, balancers int, rate float64) (width, limitGrowth float64) {
	widthFor := func(sharers float64) float64 {
		return active * sharers / max(sharers, float64(balancers)-sharers)
	}
	narrow := min(active, max(minSubsetSize, widthFor(targetSharers)))
	wide := min(widthFor(maxSharers), math.Sqrt(evennessFactor*rate))
	width = min(active, max(narrow, wide))
	// With more sharers each one cuts its limit by less, so it must grow by less too.
	return width, narrow / max(width, 1)
}

// updateLoadFactor updates the ratio of this balancer's arrival rate to its equal part of the tenants' quotas. A
// balancer with several times the traffic of others needs a wider subset, or it fills its few upstreams while those of
// the others are idle.
func (s *subset) updateLoadFactor(rate, fairRate float64) {
	factor := max(1, rate/cmp.Or(fairRate, math.Inf(1)))
	if factor > max(1, s.loadFactor)*loadFactorTolerance || factor < s.loadFactor/loadFactorTolerance {
		s.loadFactor = factor
	}
}

// updateWidth returns how many of the active upstreams this balancer uses: baseWidth times its load factor. It also
// updates the load factor and b.limits.growth.
func (b *Balancer) updateWidth(active float64) float64 {
	rate := cmp.Or(b.quota.fairRate, b.arrivals.perSecond)
	width, growth := baseWidth(active, b.settings.Balancers, rate)
	b.limits.growth = growth
	b.subset.updateLoadFactor(b.arrivals.perSecond, b.quota.fairRate)
	return max(1, min(active, width*max(1, b.subset.loadFactor)))
}

// currentInputs returns the present parameters of the choice.
func (b *Balancer) currentInputs(active int) subsetInputs {
	width := b.updateWidth(float64(active)) // also sets b.limits.growth
	return subsetInputs{active, width, b.limits.growth, b.settings.Rank, b.settings.Balancers}
}

// chooseSubset chooses the upstreams that this balancer uses. All balancers have the same ring, and each one uses an
// arc that begins at its own position. The upstreams at the ends of the arc are used in part, so that the arcs of all
// balancers cover the ring evenly.
func (b *Balancer) chooseSubset(now time.Duration) {
	active, unchanged := b.updateRing()
	inputs := b.currentInputs(active)
	b.subset.unchanged = unchanged && inputs == b.subset.inputs
	if b.subset.unchanged {
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

// enterSubset prepares an upstream that joins the subset. firstTurn is the time until its first turn, in rounds. First
// turns follow the order of the arc, so those of all balancers are spread over the ring.
func (b *Balancer) enterSubset(upstream *upstreamState, firstTurn, width float64, now time.Duration) {
	upstream.limit.allowed = cmp.Or(upstream.limit.allowed, b.limits.initial)
	upstream.band.integratedAt = now
	upstream.nextTurn = b.interleaver.virtualTime + firstTurn*width
	delay := min(1, math.Floor(firstTurn*width)/width) // keeps the balancers from sending to it all at once
	wait := time.Duration(delay * float64(b.sendInterval(upstream)))
	upstream.limit.nextSendAt = max(upstream.limit.nextSendAt, now+wait)
	upstream.slowStart.sentWork = firstTurn
	upstream.slowStart.sentWorkAt = now
	upstream.healthCheckedAt = now - time.Duration(firstTurn*float64(bandPeriod))
}

// ringWalk is a walk along an arc of the ring; positions are in ring length. The arc includes warming and unresponsive
// upstreams, and is extended until it has as much healthy length as an arc at targetSharers.
type ringWalk struct {
	offset           float64 // length of the first upstream that lies before the arc
	remaining        float64 // remaining length of the arc; negative beyond its end
	end              float64 // value of remaining at which the walk ends in any case
	healthyWanted    float64 // length of healthy upstreams that the arc still lacks
	skipWarmingBelow float64 // warming upstreams are not chosen once remaining is at most this
	minPart          float64 // least length of an upstream in the subset
}

// newRingWalk returns a walk along an arc that begins at an offset within an upstream and is as long as width upstreams
// of mean length. total is the length of the ring.
func newRingWalk(offset, width, total, active, limitGrowth float64) ringWalk {
	length := width * total / max(active, 1)
	return ringWalk{
		offset:           offset,
		remaining:        length,
		end:              -length,
		healthyWanted:    length * limitGrowth,
		skipWarmingBelow: length * (1 - limitGrowth),
		minPart:          minSubsetPart * total / max(active, 1),
	}
}

// done reports whether the walk is over after a number of visited upstreams.
func (w *ringWalk) done(visited int) bool {
	if w.remaining <= w.end {
		return true
	}
	return max(w.remaining, w.healthyWanted) <= w.minPart/2 && visited >= minSubsetSize
}

// pass goes past an upstream of the given length. It returns the part of the length that lies in the arc, and whether
// the upstream is chosen. Fewer balancers use a warming upstream, each with more of its traffic, since otherwise all of
// them together would overload it.
func (w *ringWalk) pass(length float64, warming, healthy bool) (part float64, chosen bool) {
	part = max(0, min(length-w.offset, max(w.remaining, w.healthyWanted)))
	w.offset = 0
	w.remaining -= part
	if warming && w.remaining+part <= w.skipWarmingBelow {
		return 0, false
	}
	if healthy {
		w.healthyWanted -= part
	}
	return part, true
}

// walkRing chooses the members of the subset, sets their parts, and returns the times until their first turns, in
// rounds.
func (b *Balancer) walkRing(width float64) (firstTurns map[*upstreamState]float64) {
	ring := b.subset.ring
	active, total := float64(len(ring)), 0.0
	for _, upstream := range ring {
		total += b.ringLength(upstream)
	}
	first, offset := b.arcStart(total)
	walk := newRingWalk(offset, width, total, active, b.limits.growth)
	firstTurns = make(map[*upstreamState]float64, int(width)+1)
	b.subset.hasHealthy = false
	for visited := 0; visited < len(ring) && !walk.done(visited); visited++ {
		upstream := ring[(first+visited)%len(ring)]
		part, chosen := walk.pass(b.ringLength(upstream), upstream.slowStart.warming, upstream.isHealthy())
		if !chosen {
			continue
		}
		b.subset.hasHealthy = b.subset.hasHealthy || upstream.isHealthy()
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

// arcStart returns the index in the ring of the upstream at which this balancer's arc begins, and the offset of the arc
// within it.
func (b *Balancer) arcStart(total float64) (first int, offset float64) {
	offset = latticePoint(b.settings.Rank, b.settings.Balancers) * total
	ring := b.subset.ring
	for first < len(ring)-1 && offset >= b.ringLength(ring[first]) {
		offset -= b.ringLength(ring[first])
		first++
	}
	return first, offset
}
