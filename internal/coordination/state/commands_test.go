package state

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"olivearch/internal/protomsg"
)

func TestInvalidCommandsChangeNothing(t *testing.T) {
	var (
		capOfA      = Subject{ConcurrencyCap, ScopeUpstream, "a"}
		shareOfZone = Subject{TrafficShare, ScopeZone, "a"}
	)
	cases := []struct {
		name    string
		command Command
	}{
		{"override without the name of an operator", &SetOverride{Subject: upstreamA}},
		{"out of service with a value", &SetOverride{Subject: upstreamA, By: "x", Value: 1}},
		{"cap of 0", &SetOverride{Subject: capOfA, By: "x"}},
		{"share over 1,000", &SetOverride{Subject: trafficShareOfA, By: "x", Value: 1001}},
		{"share of a zone", &SetOverride{Subject: shareOfZone, By: "x", Value: 100}},
		{"unknown kind", &SetOverride{Subject: Subject{9, ScopeUpstream, "a"}, By: "x"}},
		{"unknown scope", &SetOverride{Subject: Subject{OutOfService, 9, "a"}, By: "x"}},
		{"target with a space", &SetOverride{Subject: Subject{OutOfService, ScopeZone, "a b"}, By: "x"}},
		{"negative duration", &SetOverride{Subject: upstreamA, By: "x", Duration: -1}},
		{"lease of no units", &AcquireLease{Resource: "b", Holder: "x", Units: 0, Duration: time.Second}},
		{"lease without a duration", &AcquireLease{Resource: "b", Holder: "x", Units: 1}},
		{"lease of a resource for slots", &AcquireLease{Resource: "p", Holder: "x", Units: 1, Duration: time.Second}},
		{"reservation of a resource for leases", &Reserve{Resource: "b", Holder: "x", Sequence: 1, Slots: 1}},
		{"reservation without a sequence number", &Reserve{Resource: "p", Holder: "x", Slots: 1}},
		{
			"reservation whose end is before its start",
			&Reserve{Resource: "p", Holder: "x", Sequence: 1, Slots: 1, After: 3, Within: 2},
		},
		{"resource for leases changed to one for slots", &SetResource{Name: "b", PerSecond: true, Limit: 1}},
		{"resource without a name", &SetResource{Name: "", Limit: 1}},
		{"voter that is not admitted", &RemoveVoter{"x"}},
		{"release without a fencing token", &ReleaseLease{Resource: "b", Holder: "x"}},
	}
	s := NewState()
	mustApply(t, s, &SetResource{Name: "b", Limit: 10})
	mustApply(t, s, &SetResource{Name: "p", PerSecond: true, Limit: 10})
	before := s.Encode()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			result, err := s.Apply(s.Revision(), s.Clock(), test.command)
			if result.OK() || result.Message == "" || err != nil {
				t.Errorf("%T %+v: %+v, %v", test.command, test.command, result, err)
			}
			if !bytes.Equal(before, s.Encode()) {
				t.Error("the state changed")
			}
		})
	}
}

func TestUnknownFeatureLevel(t *testing.T) {
	s := NewState()
	if _, err := s.Apply(1, 1, &RaiseFeatureLevel{To: NewestFeatureLevel + 1}); err == nil {
		t.Error("no error for a feature level that this version does not know")
	}
}

func TestDecodeUnknownKind(t *testing.T) {
	var w protomsg.Writer
	w.Uint(fieldCommandNumber, 1128)
	w.Message(fieldCommandBody, func(*protomsg.Writer) {})
	if _, err := Decode(w.Bytes()); !errors.Is(err, ErrUnknownKind) {
		t.Errorf("got %v, want %v", err, ErrUnknownKind)
	}
}
