package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// FuzzDecode: what can be read as an envelope or a snapshot is the same after it was written and read again, and the
// next command can be applied.
func FuzzDecode(f *testing.F) {
	s := NewState()
	for i, command := range []Command{
		&SetOverride{Subject: upstreamA, By: "x", Reason: "y", Duration: time.Hour},
		&SetResource{Name: "b", Limit: 9},
		&AcquireLease{Resource: "b", Holder: "x", Units: 1, Duration: time.Second},
		&RegisterMember{Member{7, "v", "127.0.0.1:1", true}},
	} {
		if result, err := s.Apply(uint64(i+1), 5, command); err != nil || !result.OK() {
			f.Fatalf("%+v: %+v, %v", command, result, err)
		}
	}
	f.Add(s.Encode())
	f.Add(Envelope{1, 2, &Reserve{"b", "x", 1, 2, 3, 4}}.Encode())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		checkEnvelopeRoundTrip(t, encoded)
		checkStateRoundTrip(t, encoded)
	})
}

func checkEnvelopeRoundTrip(t *testing.T, encoded []byte) {
	envelope, err := DecodeEnvelope(encoded)
	if err != nil {
		return
	}
	again, err := DecodeEnvelope(envelope.Encode())
	if err != nil || fmt.Sprintf("%+v", again.Command) != fmt.Sprintf("%+v", envelope.Command) {
		t.Fatalf("%+v came back as %+v: %v", envelope.Command, again.Command, err)
	}
	s := NewState()
	_, err = s.Apply(1, envelope.Clock, envelope.Command)
	if err != nil && s.FeatureLevel() <= NewestFeatureLevel {
		t.Fatalf("%+v is not applied: %v", envelope.Command, err)
	}
}

func checkStateRoundTrip(t *testing.T, encoded []byte) {
	s, err := DecodeState(encoded)
	if err != nil {
		if err.Error() == "" {
			t.Fatal("an error without a text")
		}
		return
	}
	again, err := DecodeState(s.Encode())
	if err != nil || !bytes.Equal(again.Encode(), s.Encode()) || again.UsedBytes() != s.UsedBytes() {
		t.Fatalf("it does not come back: %v", err)
	}
	_, err = s.Apply(s.Revision()+1, s.Clock()+1, &AdvanceClock{})
	if err != nil && s.FeatureLevel() <= NewestFeatureLevel {
		t.Fatalf("the clock does not advance: %v", err)
	}
}
