package state

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"olivearch/internal/protomsg"
)

var outA = Subject{OutOfService, ScopeUpstream, "a"}

func TestWords(t *testing.T) {
	s := NewState()
	apply(t, s, &SetOverride{Subject: outA, By: "eva", Reason: "disk", Duration: 3 * time.Second})
	apply(t, s, &SetOverride{Subject: Subject{TrafficShare, ScopeUpstream, "a"}, By: "eva", Value: 250})
	if w, ok := s.Override(outA); !ok || w.By != "eva" || w.Until != 4000 || w.Revision != 1 || len(s.Overrides()) != 2 {
		t.Errorf("%+v %v", w, s.Overrides())
	}
	apply(t, s, &SetOverride{Subject: outA, By: "ann"}) // the later one counts, here without an end
	apply(t, s, &AdvanceClock{})
	apply(t, s, &AdvanceClock{})
	if w, ok := s.Override(outA); !ok || w.By != "ann" || w.Until != 0 {
		t.Errorf("it ended with the one before: %+v", w)
	}
	apply(t, s, &SetOverride{Subject: outA, By: "ann", Duration: 1500 * time.Millisecond})
	apply(t, s, &AdvanceClock{})
	if _, ok := s.Override(outA); !ok {
		t.Error("it ended early")
	}
	apply(t, s, &AdvanceClock{})
	if _, ok := s.Override(outA); ok {
		t.Error("it did not end")
	}
	if r := apply(t, s, &ClearOverride{Subject: outA, By: "ann"}); !r.OK() {
		t.Errorf("clearing twice: %+v", r)
	}
	apply(t, s, &ClearOverride{Subject: Subject{TrafficShare, ScopeUpstream, "a"}, By: "ann"})
	if s.UsedBytes() != 0 || s.NextExpiry() != never {
		t.Errorf("%d bytes are left, due %d", s.UsedBytes(), s.NextExpiry())
	}
}

func TestLeases(t *testing.T) {
	s := NewState()
	take := func(holder string, parts int64, fence uint64) Result {
		return apply(t, s, &AcquireLease{Resource: "b", Holder: holder, Units: parts, Duration: 10 * time.Second, FencingToken: fence})
	}
	if r := take("x", 1, 0); r.Rejection != RejectedNotFound {
		t.Errorf("no bound: %+v", r)
	}
	apply(t, s, &SetResource{Name: "b", Limit: 10})
	x := take("x", 6, 0)
	if r := take("y", 5, 0); r.Rejection != RejectedNoCapacity || r.Free != 4 {
		t.Errorf("over the limit: %+v", r)
	}
	if r := take("x", 6, 0); r.Rejection != RejectedFenced {
		t.Errorf("a new life takes over at once: %+v", r)
	}
	if r := take("x", 7, x.FencingToken); !r.OK() || r.FencingToken != x.FencingToken || r.Free != 3 {
		t.Errorf("renewing: %+v", r)
	}
	if r := apply(t, s, &ReleaseLease{Resource: "b", Holder: "x", FencingToken: x.FencingToken + 1}); r.Rejection != RejectedFenced {
		t.Errorf("given back under another fence: %+v", r)
	}
	for range 10 {
		apply(t, s, &AdvanceClock{})
	}
	if r := take("x", 7, x.FencingToken); r.Rejection != RejectedFenced {
		t.Errorf("renewed after its end: %+v", r)
	}
	if y := take("y", 10, 0); !y.OK() || y.FencingToken <= x.FencingToken {
		t.Errorf("the next lease: %+v after %+v", y, x)
	}
	if r := apply(t, s, &SetResource{Name: "b", Limit: 0}); r.Rejection != RejectedNoCapacity {
		t.Errorf("removed while held: %+v", r)
	}
	apply(t, s, &SetResource{Name: "b", Limit: 3})
	if r := take("z", 1, 0); r.Rejection != RejectedNoCapacity {
		t.Errorf("given over a limit that was lowered: %+v", r)
	}
}

func TestSlots(t *testing.T) {
	s := NewState()
	apply(t, s, &SetResource{Name: "p", Slots: true, Limit: 5})
	book := func(holder string, sequence uint64, places int64) Result {
		return apply(t, s, &Reserve{Resource: "p", Holder: holder, Sequence: sequence, Places: places, After: 10, Within: 20})
	}
	first := book("x", 1, 7)
	if fmt.Sprint(first.Reserved) != "[{12 5} {13 2}]" {
		t.Errorf("%v at %d", first.Reserved, first.Clock)
	}
	if again := book("x", 1, 7); fmt.Sprint(again.Reserved) != fmt.Sprint(first.Reserved) {
		t.Errorf("asked again: %v", again.Reserved)
	}
	if r := book("x", 2, 4); fmt.Sprint(r.Reserved) != "[{14 4}]" {
		t.Errorf("%v: seconds before 10 s ahead are over for this", r.Reserved)
	}
	if r := book("x", 1, 7); r.Rejection != RejectedFenced {
		t.Errorf("an old number: %+v", r)
	}
	if r := book("y", 1, 1000); len(r.Reserved) == 0 || r.Reserved[0].Second < 16 {
		t.Errorf("%+v", r)
	}
	if r := book("z", 1, 1); r.Rejection != NotRejected {
		t.Errorf("a second further ahead has room: %+v", r)
	}
}

func TestFullRefusesTheNew(t *testing.T) {
	s := NewState()
	n := 0
	for ; ; n++ {
		if r := apply(t, s, &SetOverride{Subject: Subject{OutOfService, ScopeUpstream, fmt.Sprint("u", n)}, By: "x", Reason: string(bytes.Repeat([]byte("y"), MaxReason))}); !r.OK() {
			if r.Rejection != RejectedStateFull {
				t.Fatalf("%+v", r)
			}
			break
		}
	}
	if n < 4000 || len(s.Overrides()) != n || s.UsedBytes() > MaxBytes {
		t.Errorf("%d words of %d, %d bytes", len(s.Overrides()), n, s.UsedBytes())
	}
	if r := apply(t, s, &SetOverride{Subject: Subject{OutOfService, ScopeUpstream, "u0"}, By: "x"}); !r.OK() {
		t.Errorf("a shorter one in the place of another: %+v", r)
	}
	if r := apply(t, s, &ClearOverride{Subject: Subject{OutOfService, ScopeUpstream, "u1"}, By: "x"}); !r.OK() {
		t.Errorf("%+v", r)
	}
	if r := apply(t, s, &SetOverride{Subject: Subject{OutOfService, ScopeUpstream, "new"}, By: "x"}); !r.OK() {
		t.Errorf("there is room again: %+v", r)
	}
}

func TestWrongCommandsChangeNothing(t *testing.T) {
	s := NewState()
	apply(t, s, &SetResource{Name: "b", Limit: 10})
	apply(t, s, &SetResource{Name: "p", Slots: true, Limit: 10})
	before := s.Encode()
	for _, c := range []Command{
		&SetOverride{Subject: outA}, &SetOverride{Subject: outA, By: "x", Value: 1}, &SetOverride{Subject: Subject{ConcurrencyCap, ScopeUpstream, "a"}, By: "x"},
		&SetOverride{Subject: Subject{TrafficShare, ScopeUpstream, "a"}, By: "x", Value: 1001}, &SetOverride{Subject: Subject{TrafficShare, ScopeZone, "a"}, By: "x", Value: 100},
		&SetOverride{Subject: Subject{9, ScopeUpstream, "a"}, By: "x"}, &SetOverride{Subject: Subject{OutOfService, 9, "a"}, By: "x"}, &SetOverride{Subject: Subject{OutOfService, ScopeZone, "a b"}, By: "x"},
		&SetOverride{Subject: outA, By: "x", Duration: -1}, &AcquireLease{Resource: "b", Holder: "x", Units: 0, Duration: time.Second}, &AcquireLease{Resource: "b", Holder: "x", Units: 1},
		&AcquireLease{Resource: "p", Holder: "x", Units: 1, Duration: time.Second}, &Reserve{Resource: "b", Holder: "x", Sequence: 1, Places: 1}, &Reserve{Resource: "p", Holder: "x", Places: 1},
		&Reserve{Resource: "p", Holder: "x", Sequence: 1, Places: 1, After: 3, Within: 2}, &SetResource{Name: "b", Slots: true, Limit: 1}, &SetResource{Name: "", Limit: 1},
		&RemoveVoter{"x"}, &ReleaseLease{Resource: "b", Holder: "x"},
	} {
		r, err := s.Apply(s.Revision(), s.Clock(), c)
		if r.OK() || r.Message == "" || err != nil {
			t.Errorf("%T %+v: %+v %v", c, c, r, err)
		}
	}
	if !bytes.Equal(before, s.Encode()) {
		t.Error("something changed")
	}
}

func TestALevelThatIsNotKnown(t *testing.T) {
	s := NewState()
	if _, err := s.Apply(1, 1, &RaiseFeatureLevel{To: NewestFeatureLevel + 1}); err == nil {
		t.Error("it goes on with a ledger that it does not know")
	}
	if _, err := Decode([]byte{8, 0xe8, 7 + 1, 18, 0}); !errors.Is(err, ErrUnknownKind) {
		t.Errorf("%v", err)
	}
}

// command draws one, often about the same few things.
func command() *rapid.Generator[Command] {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	target := rapid.Custom(func(t *rapid.T) Subject {
		return Subject{OutOfService, Scope(rapid.IntRange(0, 3).Draw(t, "scope")), name.Draw(t, "target")}
	})
	span := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
	})
	fence := rapid.Uint64Range(0, 40)
	return rapid.Custom(func(t *rapid.T) Command {
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			return &SetOverride{Subject: target.Draw(t, "of"), By: "x", Reason: name.Draw(t, "why"), Duration: span.Draw(t, "for")}
		case 1:
			return &ClearOverride{Subject: target.Draw(t, "of"), By: "x"}
		case 2:
			return &SetResource{Name: name.Draw(t, "bound"), Slots: rapid.Bool().Draw(t, "slots"), Limit: rapid.Int64Range(0, 9).Draw(t, "limit")}
		case 3:
			return &ReleaseLease{Resource: name.Draw(t, "bound"), Holder: name.Draw(t, "holder"), FencingToken: fence.Draw(t, "fence")}
		case 4:
			return &Reserve{
				Resource: name.Draw(t, "bound"), Holder: name.Draw(t, "holder"), Sequence: fence.Draw(t, "sequence"), Places: rapid.Int64Range(0, 9).Draw(t, "places"),
				After: uint32(rapid.IntRange(0, 3).Draw(t, "after")), Within: uint32(rapid.IntRange(0, 6).Draw(t, "within")),
			}
		default:
			return &AcquireLease{
				Resource: name.Draw(t, "bound"), Holder: name.Draw(t, "holder"), Units: rapid.Int64Range(0, 9).Draw(t, "parts"), Duration: span.Draw(t, "for"),
				FencingToken: fence.Draw(t, "fence"),
			}
		}
	})
}

// TestModel: whatever is asked in whatever order, no bound is overdrawn while its limit stands, what was granted is not taken away
// before its time, fences only grow, the estimate of memory is right, and a copy by snapshot comes to the same from there on.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		lowered := map[string]bool{}                                 // a limit below what is held
		granted := map[string]Lease{}                                // by bound and holder
		lastFence, copyOf, clock := uint64(0), NewState(), uint64(0) // the copy is made anew at times
		n := rapid.IntRange(1, 60).Draw(t, "commands")
		for revision := uint64(1); revision <= uint64(n); revision++ {
			clock += uint64(rapid.IntRange(0, 2500).Draw(t, "passes"))
			c := command().Draw(t, "command")
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				var err error
				if copyOf, err = DecodeState(s.Encode()); err != nil {
					t.Fatal(err)
				}
			}
			again, err := Decode(Encode(c))
			if err != nil || fmt.Sprintf("%+v", again) != fmt.Sprintf("%+v", c) {
				t.Fatalf("%+v came back as %+v: %v", c, again, err)
			}
			r, err := s.Apply(revision, clock, c)
			other, err2 := copyOf.Apply(revision, clock, again)
			if err != nil || err2 != nil || fmt.Sprint(r) != fmt.Sprint(other) || !bytes.Equal(s.Encode(), copyOf.Encode()) {
				t.Fatalf("the copy differs after %+v: %+v, %+v", c, r, other)
			}
			switch c := c.(type) {
			case *AcquireLease:
				if r.OK() {
					key := c.Resource + " " + c.Holder
					if before, held := granted[key]; held && before.Until > clock && before.FencingToken != r.FencingToken {
						t.Fatalf("%s has a new fence while its lease lasts", key)
					} else if !held || before.Until <= clock {
						if r.FencingToken <= lastFence {
							t.Fatalf("fence %d after %d", r.FencingToken, lastFence)
						}
						lastFence = r.FencingToken
					}
					granted[key] = Lease{c.Holder, c.Units, clock + uint64(c.Duration.Milliseconds()), r.FencingToken}
				}
			case *ReleaseLease:
				if r.OK() {
					delete(granted, c.Resource+" "+c.Holder)
				}
			case *SetResource:
				lowered[c.Name] = true // what is held over it stays
			}
			for _, b := range s.Resources() {
				if b.leasedUnits() > b.Limit && !lowered[b.Name] {
					t.Fatalf("%s is overdrawn: %d of %d", b.Name, b.leasedUnits(), b.Limit)
				}
				for _, x := range b.Reserved() {
					if x.Places > b.Limit && !lowered[b.Name] {
						t.Fatalf("second %d of %s is overdrawn", x.Second, b.Name)
					}
				}
			}
			for key, l := range granted {
				if l.Until <= clock {
					continue
				}
				found := false
				for _, b := range s.Resources() {
					if x, ok := b.leases[l.Holder]; ok && b.Name+" "+l.Holder == key && x.FencingToken == l.FencingToken && x.Units == l.Units {
						found = true
					}
				}
				if !found {
					t.Fatalf("the lease %s of %+v is gone at %d", key, l, clock)
				}
			}
			if fresh, err := DecodeState(s.Encode()); err != nil || fresh.UsedBytes() != s.UsedBytes() || s.UsedBytes() < 0 {
				t.Fatalf("%d bytes are counted, %d are held: %v", s.UsedBytes(), fresh.UsedBytes(), err)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	s := NewState()
	s.Apply(1, 5, &SetOverride{Subject: outA, By: "x", Reason: "y", Duration: time.Hour})
	s.Apply(2, 5, &SetResource{Name: "b", Limit: 9})
	s.Apply(3, 5, &AcquireLease{Resource: "b", Holder: "x", Units: 1, Duration: time.Second})
	s.Apply(4, 5, &RegisterMember{Member{7, "v", "127.0.0.1:1", true}})
	f.Add(s.Encode())
	f.Add(Envelope{1, 2, &Reserve{"b", "x", 1, 2, 3, 4}}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := DecodeEnvelope(b); err == nil {
			again, err := DecodeEnvelope(e.Encode())
			if err != nil || fmt.Sprintf("%+v", again.Command) != fmt.Sprintf("%+v", e.Command) {
				t.Fatalf("%+v came back as %+v: %v", e.Command, again.Command, err)
			}
			NewState().Apply(1, e.Clock, e.Command)
		}
		x, err := DecodeState(b)
		if err != nil {
			if !errors.Is(err, protomsg.ErrMalformed) && len(err.Error()) == 0 {
				t.Fatal(err)
			}
			return
		}
		if again, err := DecodeState(x.Encode()); err != nil || !bytes.Equal(again.Encode(), x.Encode()) || again.UsedBytes() != x.UsedBytes() {
			t.Fatalf("it does not come back: %v", err)
		}
		x.Apply(x.Revision()+1, x.Clock()+1, &AdvanceClock{})
	})
}
