// Package override keeps the overrides that operators have set on the upstreams of one pool: local ones, set at this
// balancer alone, and shared ones, which the coordination cluster gives to all balancers.
//
// The package only decides. It has no I/O, clock or goroutine: the current time comes in as Unix time (a time.Duration
// since the epoch), and the owner of a Table acts on what the Table says.
package override

import (
	"time"

	"olivearch/internal/coordination/state"
)

// putBackMemory is for how long a Table remembers that an upstream was put back. The upstream counts as started at
// that time, and has long finished warming up when it is forgotten.
const putBackMemory = 2 * time.Minute

// Table holds the overrides in force for the upstreams of one pool, by the upstreams' ids in the endpoint list. The
// zero value holds none. All calls come from the goroutine that owns it.
type Table struct {
	local         map[string]Entry // the last local override of each upstream
	shared        Shared
	sharedPutBack map[scopedTarget]time.Duration // when a shared override was cleared
}

// scopedTarget names what a shared override applies to. The target is empty for the whole pool.
type scopedTarget struct {
	scope  state.Scope
	target string
}

// OutOfService reports whether an upstream of a zone is out of service by a local or a shared override.
func (t *Table) OutOfService(id, zone string) bool {
	return t.OutLocally(id) || t.shared.WholePool || t.shared.Upstreams[id] || t.shared.Zones[zone]
}

// PutBackAt returns when an upstream of a zone was last put back, by clearing either kind of override, as Unix time.
// It returns 0 if that was not lately.
func (t *Table) PutBackAt(id, zone string) time.Duration {
	if len(t.sharedPutBack) == 0 { // nearly always: spares the look-ups below
		return t.putBackLocallyAt(id)
	}
	return max(
		t.putBackLocallyAt(id),
		t.sharedPutBack[scopedTarget{state.ScopeUpstream, id}],
		t.sharedPutBack[scopedTarget{state.ScopeZone, zone}],
		t.sharedPutBack[scopedTarget{scope: state.ScopePool}],
	)
}

// ConcurrencyCap returns how many attempts this balancer may have in flight at an upstream; 0 means no cap.
func (t *Table) ConcurrencyCap(id string) int { return t.shared.ConcurrencyCaps[id] }

// WeightFactor returns the fraction of its weight that an upstream has: above 0, and 1 without an override.
func (t *Table) WeightFactor(id string) float64 {
	if factor, ok := t.shared.WeightFactors[id]; ok && factor > 0 {
		return factor
	}
	return 1
}

// ReleaseLocal ends the local override that takes an upstream out of service, once the coordination cluster has taken
// it over: from then on only the shared override counts. If that has been cleared in the meantime, the upstream is put
// back now.
func (t *Table) ReleaseLocal(id string, now time.Duration) {
	switch {
	case !t.OutLocally(id):
	case t.shared.Upstreams[id]:
		delete(t.local, id)
	default:
		t.PutBack(id, now)
	}
}
