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

// everyCommand is one command of each kind, in the order of their numbers, with all fields set.
func everyCommand() []Command {
	subject := Subject{Cap, Upstream, "s-1"}
	return []Command{
		&SetWord{Subject: subject, Value: 7, By: "eva", Why: "disk", At: 1700000000000, For: 90 * time.Second},
		&ClearWord{Subject: subject, By: "ann"},
		&SetBound{Name: "connections", Slots: true, Limit: 300},
		&Take{Bound: "connections", Holder: "n1", Parts: 5, For: 10 * time.Second, Fence: 9},
		&Release{Bound: "connections", Holder: "n1", Fence: 9},
		&Book{Bound: "places", Holder: "n2", Sequence: 4, Places: 6, After: 10, Within: 20},
		&Raise{To: 2},
		&Admit{Name: "k4", Address: "127.0.0.1:7104"},
		&Dismiss{Name: "k3"},
		&Pass{},
		&Enrol{Member{ID: 11, Name: "k1", Address: "127.0.0.1:7101", Learner: true}},
		&Strike{ID: 12},
	}
}

// sampleState is a state with an entry of each kind.
func sampleState(t *testing.T) *State {
	t.Helper()
	s := NewState()
	for i, c := range []Command{
		&SetWord{Subject: Subject{Out, Upstream, "a"}, By: "eva", Why: "disk", At: 1700000000000},
		&SetWord{Subject: Subject{Share, Upstream, "b"}, Value: 250, By: "ann", For: time.Hour},
		&SetWord{Subject: Subject{Out, Zone, "z1"}, By: "ann", For: time.Hour},
		&SetBound{Name: "connections", Limit: 10},
		&Take{Bound: "connections", Holder: "n1", Parts: 6, For: 30 * time.Second},
		&SetBound{Name: "places", Slots: true, Limit: 5},
		&Book{Bound: "places", Holder: "n2", Sequence: 1, Places: 7, After: 10, Within: 20},
		&Admit{Name: "k4", Address: "127.0.0.1:7104"},
		&Enrol{Member{ID: 11, Name: "k1", Address: "127.0.0.1:7101"}},
		&Enrol{Member{ID: 12, Name: "k2", Address: "127.0.0.1:7102", Learner: true}},
	} {
		result, err := s.Apply(uint64(i+1), uint64(i+1)*100, c)
		if err != nil || !result.OK() {
			t.Fatalf("command %d: %+v, %v", i, result, err)
		}
	}
	return s
}

// TestGoldenCommands pins the bytes of each kind of command, as they stand in logs on disks.
func TestGoldenCommands(t *testing.T) {
	var text strings.Builder
	for _, c := range everyCommand() {
		encoded := Envelope{ID: 77, Clock: 1234, Command: c}.Encode()
		fmt.Fprintf(&text, "%d %x\n", c.number(), encoded)
		decoded, err := DecodeEnvelope(encoded)
		if err != nil || decoded.ID != 77 || decoded.Clock != 1234 || !reflect.DeepEqual(decoded.Command, c) {
			t.Errorf("command %d: read again as %+v, %v", c.number(), decoded.Command, err)
		}
	}
	if count := len(everyCommand()); count != len(known) {
		t.Errorf("%d kinds are pinned of %d", count, len(known))
	}
	golden.Compare(t, "commands.txt", text.String())
}

// TestGoldenState pins the bytes of a snapshot and that one written by an earlier version is read to the same state.
func TestGoldenState(t *testing.T) {
	s := sampleState(t)
	encoded := s.Encode()
	golden.Compare(t, "state.txt", hex.EncodeToString(encoded)+"\n")
	again, err := DecodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	if got := hex.EncodeToString(again.Encode()); got != hex.EncodeToString(encoded) {
		t.Errorf("read and written again: %s", got)
	}
	if len(again.Words()) != 3 || len(again.Bounds()) != 2 || len(again.Members()) != 2 || again.Clock() != s.Clock() {
		t.Errorf("%d overrides, %d bounds, %d members, clock %d", len(again.Words()), len(again.Bounds()), len(again.Members()), again.Clock())
	}
}

// TestGoldenNames pins the names of kinds and scopes in commands and views.
func TestGoldenNames(t *testing.T) {
	var text strings.Builder
	for _, kind := range []Kind{Out, Cap, Share} {
		fmt.Fprintln(&text, "kind", uint8(kind), kind)
	}
	for _, scope := range []Scope{Upstream, Zone, Pool} {
		fmt.Fprintln(&text, "scope", uint8(scope), scope)
	}
	for i, reason := range []Reason{None, Invalid, Unknown, NoRoom, Fenced, Full, Level} {
		if int(reason) != i {
			t.Errorf("reason %d has number %d on the wire", i, reason)
		}
	}
	golden.Compare(t, "names.txt", text.String())
}
