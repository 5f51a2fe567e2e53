package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// FuzzDecode checks that a decoded envelope or snapshot is unchanged after it is encoded and decoded again. It also
// checks that the command of the envelope, or a command after the snapshot, can be applied.
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
	f.Add([]byte("\b\x01\x100\"\x12000000000000000000 \x00")) // feature level 0
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
		t.Fatalf("%+v was decoded as %+v: %v", envelope.Command, again.Command, err)
	}
	s := NewState()
	_, err = s.Apply(1, envelope.Clock, envelope.Command)
	if err != nil && s.FeatureLevel() <= NewestFeatureLevel {
		t.Fatalf("apply %+v: %v", envelope.Command, err)
	}
}

func checkStateRoundTrip(t *testing.T, encoded []byte) {
	s, err := DecodeState(encoded)
	if err != nil {
		if err.Error() == "" {
			t.Fatal("the error has no text")
		}
		return
	}
	again, err := DecodeState(s.Encode())
	if err != nil || !bytes.Equal(again.Encode(), s.Encode()) || again.UsedBytes() != s.UsedBytes() {
		t.Fatalf("the snapshot changed when it was decoded and encoded again: %v", err)
	}
	_, err = s.Apply(s.Revision()+1, s.Clock()+1, &AdvanceClock{})
	if err != nil && s.FeatureLevel() <= NewestFeatureLevel {
		t.Fatalf("apply a command after the snapshot: %v", err)
	}
}
