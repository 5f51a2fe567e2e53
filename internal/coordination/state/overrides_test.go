package state

import (
	"testing"
	"time"
)

var (
	upstreamA       = Subject{OutOfService, ScopeUpstream, "a"}
	trafficShareOfA = Subject{TrafficShare, ScopeUpstream, "a"}
)

func TestOverrides(t *testing.T) {
	s := NewState()
	mustApply(t, s, &SetOverride{Subject: upstreamA, By: "eva", Reason: "disk", Duration: 3 * time.Second})
	mustApply(t, s, &SetOverride{Subject: trafficShareOfA, By: "eva", Value: 250})
	want := Override{Subject: upstreamA, By: "eva", Reason: "disk", Until: 4000, Revision: 1}
	if got, ok := s.Override(upstreamA); !ok || got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if all := s.Overrides(); len(all) != 2 {
		t.Errorf("got %+v, want two overrides", all)
	}

	// A later override takes the place of the earlier one, here without an end.
	mustApply(t, s, &SetOverride{Subject: upstreamA, By: "ann"})
	mustApply(t, s, &AdvanceClock{})
	mustApply(t, s, &AdvanceClock{})
	if got, ok := s.Override(upstreamA); !ok || got.By != "ann" || got.Until != 0 {
		t.Errorf("it ended with the one before: %+v", got)
	}

	mustApply(t, s, &SetOverride{Subject: upstreamA, By: "ann", Duration: 1500 * time.Millisecond})
	mustApply(t, s, &AdvanceClock{})
	if _, ok := s.Override(upstreamA); !ok {
		t.Error("it ended early")
	}
	mustApply(t, s, &AdvanceClock{})
	if _, ok := s.Override(upstreamA); ok {
		t.Error("it did not end")
	}

	if result := apply(t, s, &ClearOverride{Subject: upstreamA, By: "ann"}); !result.OK() {
		t.Errorf("clearing one that has ended: %+v", result)
	}
	mustApply(t, s, &ClearOverride{Subject: trafficShareOfA, By: "ann"})
	if s.UsedBytes() != 0 || s.NextExpiry() != never {
		t.Errorf("%d bytes are left, next expiry %d", s.UsedBytes(), s.NextExpiry())
	}
}
