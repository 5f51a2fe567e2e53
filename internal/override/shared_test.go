package override

import (
	"testing"
	"time"

	"olivearch/internal/coordination/state"
)

// What the ledger says lies over what this balancer was told: out by either is out, and what comes back counts as just started.
func TestShared(t *testing.T) {
	word := func(k state.OverrideKind, s state.Scope, target string, value int64) state.Override {
		return state.Override{Subject: state.Subject{Kind: k, Scope: s, Target: target}, Value: value}
	}
	var l Table
	if l.OutOfService("a", "z") || l.WeightFactor("a") != 1 || l.ConcurrencyCap("a") != 0 {
		t.Error("nothing was said")
	}
	l.TakeOut("a", 1)
	l.ApplyShared(ForPool([]state.Override{
		word(state.OutOfService, state.ScopeUpstream, "a", 0), word(state.OutOfService, state.ScopeZone, "z", 0), word(state.OutOfService, state.ScopePool, "other", 0),
		word(state.ConcurrencyCap, state.ScopeUpstream, "b", 4), word(state.TrafficShare, state.ScopeUpstream, "b", 250),
	}, "mine"), 2)
	if !l.OutOfService("a", "y") || !l.OutOfService("b", "z") || l.OutOfService("b", "y") || l.ConcurrencyCap("b") != 4 || l.WeightFactor("b") != 0.25 {
		t.Errorf("%+v", l)
	}
	l.ReleaseLocal("a", 3) // by its own word alone no longer
	if l.OutLocally("a") || !l.OutOfService("a", "y") {
		t.Error("it is out by the ledger's word")
	}
	l.ApplyShared(ForPool([]state.Override{word(state.OutOfService, state.ScopePool, "mine", 0)}, "mine"), 5)
	if !l.OutOfService("c", "y") || l.ReturnedAt("a", "y") != 5 || l.ReturnedAt("b", "z") != 5 || l.ReturnedAt("b", "y") != 0 {
		t.Errorf("%+v", l)
	}
	l.ApplyShared(Shared{}, time.Hour)
	if l.OutOfService("c", "y") || l.ReturnedAt("c", "y") != time.Hour || l.ReturnedAt("a", "") != time.Hour {
		t.Errorf("%+v", l)
	}
	l.TakeOut("d", 1)
	l.ReleaseLocal("d", 2*time.Hour) // the ledger had it, and somebody has taken it back before this balancer heard of it
	if l.OutOfService("d", "") || l.ReturnedAt("d", "") != 2*time.Hour {
		t.Error("this balancer's own word outlives the ledger's")
	}
}
