package state

import (
	"fmt"
	"strings"
	"testing"
)

// TestFullStateRejectsNewEntries checks that a full state rejects new entries, keeps all stored ones, and accepts new
// entries once there is room.
func TestFullStateRejectsNewEntries(t *testing.T) {
	s := NewState()
	outOfService := func(target, reason string) *SetOverride {
		subject := Subject{OutOfService, ScopeUpstream, target}
		return &SetOverride{Subject: subject, By: "x", Reason: reason}
	}
	longest := strings.Repeat("y", MaxReason)
	stored := 0
	result := apply(t, s, outOfService("u0", longest))
	for result.OK() {
		stored++
		result = apply(t, s, outOfService(fmt.Sprint("u", stored), longest))
	}
	wantRejection(t, "override that does not fit", result, ErrStateFull)
	if stored < 4000 || len(s.Overrides()) != stored || s.UsedBytes() > MaxBytes {
		t.Errorf("%d overrides are stored, %d were accepted, %d bytes are used", len(s.Overrides()), stored, s.UsedBytes())
	}

	if result := apply(t, s, outOfService("u0", "")); !result.OK() {
		t.Errorf("replacing an override by a shorter one: %+v", result)
	}
	clearOverride := &ClearOverride{Subject: Subject{OutOfService, ScopeUpstream, "u1"}, By: "x"}
	if result := apply(t, s, clearOverride); !result.OK() {
		t.Errorf("clearing an override: %+v", result)
	}
	if result := apply(t, s, outOfService("new", "")); !result.OK() {
		t.Errorf("new override once there is room: %+v", result)
	}
}
