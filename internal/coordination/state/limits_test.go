package state

import (
	"fmt"
	"strings"
	"testing"
)

// TestFullStateRejectsNewEntries: what does not fit is rejected, and what is stored stays.
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
	wantRejection(t, "one too many", result, ErrStateFull)
	if stored < 4000 || len(s.Overrides()) != stored || s.UsedBytes() > MaxBytes {
		t.Errorf("%d overrides of %d, %d bytes", len(s.Overrides()), stored, s.UsedBytes())
	}

	if result := apply(t, s, outOfService("u0", "")); !result.OK() {
		t.Errorf("a shorter one in the place of another: %+v", result)
	}
	clearOverride := &ClearOverride{Subject: Subject{OutOfService, ScopeUpstream, "u1"}, By: "x"}
	if result := apply(t, s, clearOverride); !result.OK() {
		t.Errorf("clearing one: %+v", result)
	}
	if result := apply(t, s, outOfService("new", "")); !result.OK() {
		t.Errorf("there is room again: %+v", result)
	}
}
