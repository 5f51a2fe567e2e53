package override

import (
	"maps"
	"time"

	"olivearch/internal/coordination/state"
)

// Shared is what the ledger of promises says of a pool's upstreams: staff's word, given to all balancers. The zero value says nothing.
type Shared struct {
	All    bool // the whole pool is out
	Out    map[string]bool
	Zones  map[string]bool    // these are out
	Caps   map[string]int     // attempts out at once of this balancer
	Shares map[string]float64 // part of its weight
}

// ForPool picks what words say of a pool.
func ForPool(words []state.Override, pool string) Shared {
	s := Shared{Out: map[string]bool{}, Zones: map[string]bool{}, Caps: map[string]int{}, Shares: map[string]float64{}}
	for _, w := range words {
		switch {
		case w.Kind == state.OutOfService && w.Scope == state.ScopeUpstream:
			s.Out[w.Target] = true
		case w.Kind == state.OutOfService && w.Scope == state.ScopeZone:
			s.Zones[w.Target] = true
		case w.Kind == state.OutOfService && w.Scope == state.ScopePool:
			s.All = s.All || w.Target == pool
		case w.Kind == state.ConcurrencyCap:
			s.Caps[w.Target] = int(w.Value)
		case w.Kind == state.TrafficShare:
			s.Shares[w.Target] = float64(w.Value) / 1000
		}
	}
	return s
}

// ApplyShared takes what the ledger says from now on, in the place of what it said before. What is no longer out counts as called back now.
func (l *Table) ApplyShared(s Shared, now time.Duration) {
	maps.DeleteFunc(l.returned, func(_ string, at time.Duration) bool { return at < now-keepBack })
	came := func(key string) {
		if l.returned == nil {
			l.returned = map[string]time.Duration{}
		}
		l.returned[key] = now
	}
	for id := range l.shared.Out {
		if !s.Out[id] {
			came(upstreamKey + id)
		}
	}
	for zone := range l.shared.Zones {
		if !s.Zones[zone] {
			came(zoneKey + zone)
		}
	}
	if l.shared.All && !s.All {
		came(allKey)
	}
	l.shared = s
}

// The keys of what has come back, by what was out.
const upstreamKey, zoneKey, allKey = "upstream ", "zone ", "all"

// ReleaseLocal ends this balancer's own word that an upstream is out, now that the ledger has had it: what the ledger says of it counts alone.
// Where that has been taken back since, the upstream is called back now.
func (l *Table) ReleaseLocal(id string, now time.Duration) {
	switch {
	case !l.entries[id].Out:
	case l.shared.Out[id]:
		delete(l.entries, id)
	default:
		l.PutBack(id, now)
	}
}

// OutOfService tells whether an upstream of a zone is out, by whose word ever.
func (l *Table) OutOfService(id, zone string) bool {
	return l.OutLocally(id) || l.shared.All || l.shared.Out[id] || l.shared.Zones[zone]
}

// ReturnedAt is when an upstream of a zone was called back by whatever word kept it out; 0: not lately.
func (l *Table) ReturnedAt(id, zone string) time.Duration {
	if len(l.returned) == 0 { // as nearly always: no keys are made for it
		return l.PutBackAt(id)
	}
	return max(l.PutBackAt(id), l.returned[upstreamKey+id], l.returned[zoneKey+zone], l.returned[allKey])
}

// ConcurrencyCap is how many attempts may be out at an upstream; 0: any number.
func (l *Table) ConcurrencyCap(id string) int { return l.shared.Caps[id] }

// WeightFactor is what an upstream has of its weight: over 0, and 1 where nothing is said.
func (l *Table) WeightFactor(id string) float64 {
	if x, ok := l.shared.Shares[id]; ok && x > 0 {
		return x
	}
	return 1
}
