package state

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"olivearch/internal/golden"
)

// everyCommand returns one command of each kind, in the order of their numbers, with all fields set.
func everyCommand() []Command {
	subject := Subject{ConcurrencyCap, ScopeUpstream, "s-1"}
	return []Command{
		&SetOverride{Subject: subject, Value: 7, By: "eva", Reason: "disk", At: 1700000000000, Duration: 90 * time.Second},
		&ClearOverride{Subject: subject, By: "ann"},
		&SetResource{Name: "connections", PerSecond: true, Limit: 300},
		&AcquireLease{Resource: "connections", Holder: "n1", Units: 5, Duration: 10 * time.Second, FencingToken: 9},
		&ReleaseLease{Resource: "connections", Holder: "n1", FencingToken: 9},
		&Reserve{Resource: "places", Holder: "n2", Sequence: 4, Slots: 6, After: 10, Within: 20},
		&RaiseFeatureLevel{To: 2},
		&AddVoter{Name: "k4", Address: "127.0.0.1:7104"},
		&RemoveVoter{Name: "k3"},
		&AdvanceClock{},
		&RegisterMember{Member{ID: 11, Name: "k1", Address: "127.0.0.1:7101", Learner: true}},
		&UnregisterMember{ID: 12},
	}
}

// sampleState returns a state with entries of each kind.
func sampleState(t *testing.T) *State {
	t.Helper()
	s := NewState()
	for i, c := range []Command{
		&SetOverride{Subject: Subject{OutOfService, ScopeUpstream, "a"}, By: "eva", Reason: "disk", At: 1700000000000},
		&SetOverride{Subject: Subject{TrafficShare, ScopeUpstream, "b"}, Value: 250, By: "ann", Duration: time.Hour},
		&SetOverride{Subject: Subject{OutOfService, ScopeZone, "z1"}, By: "ann", Duration: time.Hour},
		&SetResource{Name: "connections", Limit: 10},
		&AcquireLease{Resource: "connections", Holder: "n1", Units: 6, Duration: 30 * time.Second},
		&SetResource{Name: "places", PerSecond: true, Limit: 5},
		&Reserve{Resource: "places", Holder: "n2", Sequence: 1, Slots: 7, After: 10, Within: 20},
		&AddVoter{Name: "k4", Address: "127.0.0.1:7104"},
		&RegisterMember{Member{ID: 11, Name: "k1", Address: "127.0.0.1:7101"}},
		&RegisterMember{Member{ID: 12, Name: "k2", Address: "127.0.0.1:7102", Learner: true}},
	} {
		result, err := s.Apply(uint64(i+1), uint64(i+1)*100, c)
		if err != nil || !result.OK() {
			t.Fatalf("command %d: %+v, %v", i, result, err)
		}
	}
	return s
}

// TestGoldenCommands pins the encoding of each kind of command in log entries, which other versions read from disks.
func TestGoldenCommands(t *testing.T) {
	var text strings.Builder
	for _, c := range everyCommand() {
		encoded := Envelope{ID: 77, Clock: 1234, Command: c}.Encode()
		fmt.Fprintf(&text, "%d %x\n", c.number(), encoded)
		decoded, err := DecodeEnvelope(encoded)
		if err != nil || decoded.ID != 77 || decoded.Clock != 1234 || !reflect.DeepEqual(decoded.Command, c) {
			t.Errorf("command %d: decoded as %+v, %v", c.number(), decoded.Command, err)
		}
	}
	stored := 0
	for _, construct := range commandKinds {
		if construct().level() == 1 { // leaves out the additional kind of builds with the tag nextlevel
			stored++
		}
	}
	if count := len(everyCommand()); count != stored {
		t.Errorf("%d of %d kinds of commands are pinned", count, stored)
	}
	golden.Compare(t, "commands.txt", text.String())
}

// TestGoldenState pins the encoding of a snapshot, and checks that the decoded snapshot is the same state.
func TestGoldenState(t *testing.T) {
	s := sampleState(t)
	encoded := s.Encode()
	golden.Compare(t, "state.txt", hex.EncodeToString(encoded)+"\n")
	again, err := DecodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(again.Encode()); got != hex.EncodeToString(encoded) {
		t.Errorf("decoded and encoded again: %s", got)
	}
	overrides, resources, members := len(again.Overrides()), len(again.Resources()), len(again.Members())
	if overrides != 3 || resources != 2 || members != 2 || again.Clock() != s.Clock() {
		t.Errorf("%d overrides, %d resources, %d members, clock %d", overrides, resources, members, again.Clock())
	}
}

// TestGoldenNames pins the names and numbers of kinds and scopes, and the numbers of rejections.
func TestGoldenNames(t *testing.T) {
	var text strings.Builder
	for _, kind := range []OverrideKind{OutOfService, ConcurrencyCap, TrafficShare} {
		fmt.Fprintln(&text, "kind", uint8(kind), kind)
	}
	for _, scope := range []Scope{ScopeUpstream, ScopeZone, ScopePool} {
		fmt.Fprintln(&text, "scope", uint8(scope), scope)
	}
	for i, reason := range []Rejection{
		NotRejected, RejectedInvalid, RejectedNotFound, RejectedNoCapacity,
		RejectedFenced, RejectedStateFull, RejectedFeatureLevel,
	} {
		if int(reason) != i {
			t.Errorf("reason %d has number %d on the wire", i, reason)
		}
	}
	golden.Compare(t, "names.txt", text.String())
}
