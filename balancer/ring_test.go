package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestLatticePoint(t *testing.T) {
	for _, c := range []struct {
		count  int
		points []float64 // by rank
	}{
		{1, []float64{0}},
		{2, []float64{0, 0.5}},
		{3, []float64{0, 2.0 / 3, 1.0 / 3}},
		{5, []float64{0, 0.6, 0.2, 0.8, 0.4}},
		{8, []float64{0, 0.625, 0.25, 0.875, 0.5, 0.125, 0.75, 0.375}},
	} {
		for rank, want := range c.points {
			if got := latticePoint(rank, c.count); !near(got, want) {
				t.Errorf("rank %d of %d: %v, want %v", rank, c.count, got, want)
			}
		}
		if got := latticePoint(c.count, c.count); got != 0 {
			t.Errorf("rank %d of %d: %v, want 0 as for rank 0", c.count, c.count, got)
		}
	}
}

func TestGreatestCommonDivisor(t *testing.T) {
	for _, c := range []struct{ x, y, want int }{{12, 18, 6}, {7, 5, 1}, {0, 4, 4}, {4, 0, 4}, {9, 9, 9}} {
		if got := greatestCommonDivisor(c.x, c.y); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
}

// Hashes must stay the same in all versions: balancers of different versions share one ring.
func TestHash64(t *testing.T) {
	for x, want := range map[uint64]uint64{
		0: 0xca009717f87d8879, 1: 0x6c3247d3eded6346, 1 << 40: 0x287ce7552544503b,
	} {
		if got := hash64(x); got != want {
			t.Errorf("%d: %#x, want %#x", x, got, want)
		}
	}
}

func TestUpdateRing(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	for _, c := range []struct {
		name      string
		change    func(u *upstreamState)
		active    int
		unchanged bool
	}{
		{"no change", func(*upstreamState) {}, 4, true},
		{"share cut", func(u *upstreamState) { u.share.factor = 0.5 }, 4, true},
		{"unresponsive", func(u *upstreamState) { u.outlier.unresponsive = true }, 4, false},
		{"weight changed", func(u *upstreamState) { u.share.weight = 2 }, 4, false},
		{"draining", func(u *upstreamState) { u.State = Draining }, 3, false},
		{"weight changed while draining", func(u *upstreamState) { u.share.weight = 3 }, 3, true},
		{"active again", func(u *upstreamState) { u.State = Active }, 4, false},
		{"warming up", func(u *upstreamState) { u.slowStart.begin(time.Hour) }, 4, false},
	} {
		c.change(b.upstreams[2])
		active, unchanged := b.updateRing()
		if active != c.active || unchanged != c.unchanged {
			t.Errorf("%s: %d active, unchanged %v", c.name, active, unchanged)
		}
		inOrder := slices.IsSortedFunc(b.subset.ring, byRingPosition)
		if len(b.subset.ring) != c.active || !inOrder {
			t.Errorf("%s: ring of %d upstreams, in order: %v", c.name, len(b.subset.ring), inOrder)
		}
	}
}

// Live weights are not used: each change of one would shift the arcs of all other upstreams.
func TestRingLength(t *testing.T) {
	for kind, want := range map[WeightKind]float64{WeightNone: 3, WeightNominal: 3, WeightRough: 3, WeightLive: 1} {
		b := &Balancer{settings: Settings{Weights: kind}}
		if got := b.ringLength(&upstreamState{share: share{weight: 3}}); got != want {
			t.Errorf("weights of kind %d: length %v, want %v", kind, got, want)
		}
	}
}
