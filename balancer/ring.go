// The ring of active upstreams, which is the same for all balancers, and the positions of balancers on it.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

// ringEntry is the state of one upstream on which the choice of the subset depends.
type ringEntry struct {
	active, warming, unresponsive bool
	length                        float64
}

// ringEntryOf returns the present ring entry of an upstream.
func (b *Balancer) ringEntryOf(upstream *upstreamState) ringEntry {
	if upstream.State != Active {
		return ringEntry{}
	}
	return ringEntry{
		active:       true,
		warming:      upstream.slowStart.warming,
		unresponsive: upstream.outlier.unresponsive,
		length:       b.ringLength(upstream),
	}
}

// ringLength returns the length of an upstream's arc on the ring: its listed weight. Live weights are not used, since
// each change would shift the arcs of all other upstreams.
func (b *Balancer) ringLength(upstream *upstreamState) float64 {
	if b.settings.Weights == WeightLive {
		return 1
	}
	return upstream.share.weight
}

// updateRing updates the upstreams' ring entries, and rebuilds the ring if the set of active upstreams has changed. It
// returns how many are active, and whether no entry has changed.
func (b *Balancer) updateRing() (active int, unchanged bool) {
	unchanged = true
	sameMembers := true
	for _, upstream := range b.upstreams {
		entry := b.ringEntryOf(upstream)
		if entry.active {
			active++
		}
		if entry != upstream.ringEntry {
			sameMembers = sameMembers && entry.active == upstream.ringEntry.active
			upstream.ringEntry = entry
			unchanged = false
		}
	}
	if !sameMembers || len(b.subset.ring) != active {
		b.subset.ring = slices.DeleteFunc(slices.Clone(b.upstreams), (*upstreamState).isInactive)
		slices.SortFunc(b.subset.ring, byRingPosition)
	}
	return active, unchanged
}

func (u *upstreamState) isInactive() bool { return u.State != Active }

func byRingPosition(x, y *upstreamState) int { return cmp.Compare(x.ringPosition, y.ringPosition) }

// hash64 returns a fixed hash of x, so that the order of the ring depends neither on the numbering of upstreams nor on
// the time when they were listed.
func hash64(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// latticePoint returns the position of a rank on a circle of length 1. The positions of all count ranks are evenly
// spaced. Those of any consecutive ranks nearly are, since the step from rank to rank is close to 1/golden ratio.
func latticePoint(rank, count int) float64 {
	step := int(math.Round(float64(count) / math.Phi))
	for greatestCommonDivisor(step, count) > 1 {
		step++
	}
	return float64(rank%count*step%count) / float64(count)
}

func greatestCommonDivisor(x, y int) int {
	for y > 0 {
		x, y = y, x%y
	}
	return x
}
