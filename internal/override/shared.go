package override

import (
	"maps"
	"time"

	"olivearch/internal/coordination/state"
)

// fullTrafficShare is the value of a state.TrafficShare override that stands for an upstream's whole weight.
const fullTrafficShare = 1000

// Shared holds the shared overrides that apply to the upstreams of one pool. The zero value holds none.
type Shared struct {
	WholePool       bool               // the whole pool is out of service
	Upstreams       map[string]bool    // upstreams out of service, by id
	Zones           map[string]bool    // zones out of service
	ConcurrencyCaps map[string]int     // by upstream id: maximum attempts in flight from this balancer
	WeightFactors   map[string]float64 // by upstream id: fraction of its weight
}

// SharedForPool returns the overrides that apply to a pool. An override of an upstream or a zone names no pool, so it
// applies to every pool that has the upstream or zone.
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
			shared.WeightFactors[override.Target] = float64(override.Value) / fullTrafficShare
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

// ApplyShared replaces the shared overrides. Upstreams, zones and the pool count as put back now if the old overrides
// took them out of service and the new ones do not.
func (t *Table) ApplyShared(shared Shared, now time.Duration) {
	maps.DeleteFunc(t.sharedPutBack, func(_ scopedTarget, at time.Duration) bool {
		return at < now-putBackRetention
	})
	for _, cleared := range t.shared.clearedBy(shared) {
		if t.sharedPutBack == nil {
			t.sharedPutBack = map[scopedTarget]time.Duration{}
		}
		t.sharedPutBack[cleared] = now
	}
	t.shared = shared
}

// clearedBy returns the upstreams, zones and pool that s takes out of service and next does not.
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
