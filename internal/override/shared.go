package override

import (
	"maps"
	"time"

	"olivearch/internal/coordination/state"
)

// thousandths is the unit of the value of a state.TrafficShare override.
const thousandths = 1000

// Shared is what the overrides in the coordination cluster say of the upstreams of one pool. The zero value says
// nothing.
type Shared struct {
	WholePool       bool               // the whole pool is out of service
	Upstreams       map[string]bool    // upstreams out of service, by id
	Zones           map[string]bool    // zones out of service
	ConcurrencyCaps map[string]int     // by upstream: attempts in flight from this balancer at once
	WeightFactors   map[string]float64 // by upstream: fraction of its weight
}

// SharedForPool selects what overrides mean for a pool. Those of upstreams and zones name no pool, so they apply to
// every pool that has such an upstream or zone.
func SharedForPool(overrides []state.Override, pool string) Shared {
	shared := Shared{
		Upstreams:       map[string]bool{},
		Zones:           map[string]bool{},
		ConcurrencyCaps: map[string]int{},
		WeightFactors:   map[string]float64{},
	}
	for _, override := range overrides {
		switch override.Kind {
		case state.OutOfService:
			shared.addOutOfService(override.Subject, pool)
		case state.ConcurrencyCap:
			shared.ConcurrencyCaps[override.Target] = int(override.Value)
		case state.TrafficShare:
			shared.WeightFactors[override.Target] = float64(override.Value) / thousandths
		}
	}
	return shared
}

func (s *Shared) addOutOfService(subject state.Subject, pool string) {
	switch subject.Scope {
	case state.ScopeUpstream:
		s.Upstreams[subject.Target] = true
	case state.ScopeZone:
		s.Zones[subject.Target] = true
	case state.ScopePool:
		s.WholePool = s.WholePool || subject.Target == pool
	}
}

// ApplyShared replaces the shared overrides. What they no longer keep out of service counts as put back now.
func (t *Table) ApplyShared(shared Shared, now time.Duration) {
	maps.DeleteFunc(t.sharedPutBack, func(_ scopedTarget, at time.Duration) bool { return at < now-putBackMemory })
	for _, cleared := range t.shared.clearedBy(shared) {
		if t.sharedPutBack == nil {
			t.sharedPutBack = map[scopedTarget]time.Duration{}
		}
		t.sharedPutBack[cleared] = now
	}
	t.shared = shared
}

// clearedBy lists what s keeps out of service and next does not.
func (s *Shared) clearedBy(next Shared) []scopedTarget {
	var cleared []scopedTarget
	for id := range s.Upstreams {
		if !next.Upstreams[id] {
			cleared = append(cleared, scopedTarget{state.ScopeUpstream, id})
		}
	}
	for zone := range s.Zones {
		if !next.Zones[zone] {
			cleared = append(cleared, scopedTarget{state.ScopeZone, zone})
		}
	}
	if s.WholePool && !next.WholePool {
		cleared = append(cleared, scopedTarget{scope: state.ScopePool})
	}
	return cleared
}
