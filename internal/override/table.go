// Package override holds the overrides that operators have set on the upstreams of one pool: local ones, set at this
// balancer alone, and shared ones, which the coordination cluster distributes to all balancers. A pool's event loop
// owns a Table and applies its overrides.
//
// The package has no I/O, clock or goroutine. Callers pass the current time as Unix time (a time.Duration since the
// epoch).
package override

import (
	"time"

	"olivearch/internal/coordination/state"
)

// putBackRetention is how long a Table remembers when an upstream was put back. The upstream counts as started at that
// time, and has long finished warming up when the time is forgotten.
const putBackRetention = 2 * time.Minute

// Table holds the overrides in force for the upstreams of one pool, by their ids in the endpoint list. The zero value
// holds none. It is not safe for concurrent use.
type Table struct {
	local         map[string]Entry // the last local override of each upstream
	shared        Shared
	sharedPutBack map[scopedTarget]time.Duration // when a shared out-of-service override was cleared, as Unix time
}

// scopedTarget is the upstream, zone or pool of a shared override. The target of the pool is empty.
type scopedTarget struct {
	scope  state.Scope
	target string
}

// OutOfService reports whether a local or a shared override takes an upstream of a zone out of service.
func (t *Table) OutOfService(id, zone string) bool {
	return t.OutOfServiceLocally(id) || t.shared.WholePool || t.shared.Upstreams[id] || t.shared.Zones[zone]
}

// PutBackAt returns when an upstream of a zone was last put back, by the clearing of a local or a shared override, as
// Unix time. It returns 0 if no such time is remembered (see putBackRetention).
func (t *Table) PutBackAt(id, zone string) time.Duration {
	if len(t.sharedPutBack) == 0 { // the usual case, without the look-ups below
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

// WeightFactor returns the fraction of its weight with which an upstream counts: above 0, and 1 without an override.
func (t *Table) WeightFactor(id string) float64 {
	if factor, ok := t.shared.WeightFactors[id]; ok && factor > 0 {
		return factor
	}
	return 1
}

// ReleaseLocal ends the local override that takes an upstream out of service. It is called once the coordination
// cluster has stored the same override, so that only the shared one counts from then on. If the shared one has been
// cleared in the meantime, the upstream is put back now.
func (t *Table) ReleaseLocal(id string, now time.Duration) {
	switch {
	case !t.OutOfServiceLocally(id):
	case t.shared.Upstreams[id]:
		delete(t.local, id)
	default:
		t.PutBack(id, now)
	}
}
