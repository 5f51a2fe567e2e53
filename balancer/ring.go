// The ring of active upstreams, which all balancers see alike, and the places of balancers on it.

package balancer

import (
	"cmp"
	"math"
	"slices"
)

// ringEntry is what the choice of the subset goes by, of one upstream.
type ringEntry struct {
	active, warming, unresponsive bool
	length                        float64
}

// ringEntryOf is the entry of an upstream by now.
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

// ringLength is the length of an upstream's place on the ring: its size, as listed. Sizes that are told anew all the
// time are none, or the places of all others would move with them.
func (b *Balancer) ringLength(upstream *upstreamState) float64 {
	if b.settings.Weights == WeightLive {
		return 1
	}
	return upstream.share.weight
}

// updateRing takes the upstreams' entries anew, and the ring itself where an upstream came or went. It returns how many
// are active, and whether no entry has changed.
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

// hash64 is a fixed hash of x, so that neither numbering nor time of listing orders the ring.
func hash64(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// latticePoint is a place in [0, 1) for each rank: ranks up to count have places that are evenly spaced, and those of
// any run of ranks are nearly so, by steps near the golden ratio.
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
