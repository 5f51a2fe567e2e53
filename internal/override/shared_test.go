package override

import (
	"reflect"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
)

func upstreamOverride(kind state.OverrideKind, id string, value int64) state.Override {
	return state.Override{Subject: state.Subject{Kind: kind, Scope: state.ScopeUpstream, Target: id}, Value: value}
}

func outOfService(scope state.Scope, target string) state.Override {
	return state.Override{Subject: state.Subject{Kind: state.OutOfService, Scope: scope, Target: target}}
}

// TestSharedOverrides combines shared overrides with a local one: an upstream is out of service as long as either takes
// it out, and PutBackAt returns when that ended.
func TestSharedOverrides(t *testing.T) {
	var table Table
	wantOut := func(id, zone string, out bool) {
		t.Helper()
		if table.OutOfService(id, zone) != out {
			t.Errorf("%s in zone %s: out of service %v, want %v: %+v", id, zone, !out, out, table)
		}
	}
	wantPutBack := func(id, zone string, at time.Duration) {
		t.Helper()
		if got := table.PutBackAt(id, zone); got != at {
			t.Errorf("%s in zone %s: put back at %v, want %v: %+v", id, zone, got, at, table)
		}
	}
	wantLimits := func(id string, weight float64, limit int) {
		t.Helper()
		if table.WeightFactor(id) != weight || table.ConcurrencyCap(id) != limit {
			t.Errorf("%s: weight factor %v, cap %d, want %v, %d: %+v",
				id, table.WeightFactor(id), table.ConcurrencyCap(id), weight, limit, table)
		}
	}

	// No override.
	wantOut("a", "z", false)
	wantLimits("a", 1, 0)

	// A local override of a, and shared ones.
	table.TakeOut("a", 1)
	table.ApplyShared(SharedForPool([]state.Override{
		outOfService(state.ScopeUpstream, "a"),
		outOfService(state.ScopeZone, "z"),
		outOfService(state.ScopePool, "other"),
		upstreamOverride(state.ConcurrencyCap, "b", 4),
		upstreamOverride(state.TrafficShare, "b", 250),
	}, "this"), 2)
	wantOut("a", "y", true)
	wantOut("b", "z", true)
	wantOut("b", "y", false)
	wantLimits("b", 0.25, 4)

	// After its local override is released, a stays out by the shared one.
	table.ReleaseLocal("a", 3)
	if table.OutOfServiceLocally("a") {
		t.Error("a is still out locally")
	}
	wantOut("a", "y", true)

	// The upstream and the zone are put back while the whole pool goes out of service.
	table.ApplyShared(SharedForPool([]state.Override{outOfService(state.ScopePool, "this")}, "this"), 5)
	wantOut("c", "y", true)
	wantPutBack("a", "y", 5)
	wantPutBack("b", "z", 5)
	wantPutBack("b", "y", 0)

	// The pool is put back.
	table.ApplyShared(Shared{}, time.Hour)
	wantOut("c", "y", false)
	wantPutBack("c", "y", time.Hour)
	wantPutBack("a", "", time.Hour)

	// The override was stored in the cluster, and cleared there before this balancer received it.
	table.TakeOut("d", 1)
	table.ReleaseLocal("d", 2*time.Hour)
	wantOut("d", "", false)
	wantPutBack("d", "", 2*time.Hour)
}

func TestSharedForPool(t *testing.T) {
	for _, test := range []struct {
		name      string
		overrides []state.Override
		want      Shared
	}{
		{"none", nil, Shared{}},
		{
			"upstream",
			[]state.Override{outOfService(state.ScopeUpstream, "a")},
			Shared{Upstreams: map[string]bool{"a": true}},
		},
		{
			"zone",
			[]state.Override{outOfService(state.ScopeZone, "z")},
			Shared{Zones: map[string]bool{"z": true}},
		},
		{"another pool", []state.Override{outOfService(state.ScopePool, "other")}, Shared{}},
		{
			"this pool, before another",
			[]state.Override{outOfService(state.ScopePool, "this"), outOfService(state.ScopePool, "other")},
			Shared{WholePool: true},
		},
		{
			"cap",
			[]state.Override{upstreamOverride(state.ConcurrencyCap, "a", 4)},
			Shared{ConcurrencyCaps: map[string]int{"a": 4}},
		},
		{
			"traffic share",
			[]state.Override{upstreamOverride(state.TrafficShare, "a", 1)},
			Shared{WeightFactors: map[string]float64{"a": 0.001}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, want := SharedForPool(test.overrides, "this"),
				withMaps(test.want); !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// withMaps returns shared with empty maps for nil ones, as SharedForPool returns it.
func withMaps(shared Shared) Shared {
	if shared.Upstreams == nil {
		shared.Upstreams = map[string]bool{}
	}
	if shared.Zones == nil {
		shared.Zones = map[string]bool{}
	}
	if shared.ConcurrencyCaps == nil {
		shared.ConcurrencyCaps = map[string]int{}
	}
	if shared.WeightFactors == nil {
		shared.WeightFactors = map[string]float64{}
	}
	return shared
}
