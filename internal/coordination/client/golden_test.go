package client

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/disk"
	"olivearch/internal/golden"
)

// goldenState returns the state of the stored copy in testdata.
func goldenState(t *testing.T) *state.State {
	t.Helper()
	s := state.NewState()
	for i, command := range []state.Command{
		&state.SetOverride{
			Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: "a"},
			By:      "eva", Reason: "disk", At: 1700000000000,
		},
		&state.SetOverride{
			Subject: state.Subject{Kind: state.TrafficShare, Scope: state.ScopeUpstream, Target: "b"},
			Value:   250, By: "ann",
		},
		&state.SetOverride{
			Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeZone, Target: "z1"},
			By:      "ann",
		},
	} {
		if result, err := s.Apply(uint64(i+1), uint64(i+1)*100, command); err != nil || !result.OK() {
			t.Fatal(result, err)
		}
	}
	return s
}

// TestGoldenMessages compares the encoded form of each message between servers, clients and followers with the golden
// file, and decodes it.
func TestGoldenMessages(t *testing.T) {
	members := []state.Member{
		{ID: 11, Name: "k1", Address: "127.0.0.1:7101"},
		{ID: 12, Name: "k2", Address: "127.0.0.1:7102", Learner: true},
	}
	hello := Hello{Role: RolePeer, Cluster: 5, From: 11, Name: "k1", Level: 1, Applied: 40}
	welcome := Welcome{Cluster: 5, ID: 12, Name: "k2", Level: 1, RejectReason: "no", Tick: 99}
	request := Request{
		Number: 3, Operation: OpJoin, Command: []byte("command"), Within: 1500 * time.Millisecond,
		Hops: 1, Cluster: 5, Members: members, Name: "k2", Level: 1, Tick: 98,
	}
	response := Response{
		Number: 3, Outcome: OutcomeRejected, Message: "full", Result: state.Result{
			Rejection: state.RejectedNoCapacity, Message: "none is left", Revision: 41,
			Clock: 4100, FencingToken: 9, Free: 4, Reserved: []state.ReservedSlot{{Second: 12, Count: 5}},
		}, Stored: 2, Voters: 3, Leader: "k1", Body: []byte("state"),
		Index: 41, Age: 250 * time.Millisecond, Cluster: 5, ID: 11, Name: "k1", Level: 1, Members: members,
		Tick: 97,
	}
	update := Update{
		State: []byte("state"), Commands: [][]byte{[]byte("one"), []byte("two")}, Index: 42, Heartbeat: true,
		Ping: 6, Leader: "k1", Cluster: 5, Voters: 3, ReachableVoters: 2,
	}

	var text strings.Builder
	for _, message := range []struct {
		name    string
		encoded []byte
		want    any
		decode  func([]byte) (any, error)
	}{
		{"hello", hello.Encode(), hello, func(b []byte) (any, error) { return DecodeHello(b) }},
		{"welcome", welcome.Encode(), welcome, func(b []byte) (any, error) { return DecodeWelcome(b) }},
		{"request", request.Encode(), request, func(b []byte) (any, error) { return DecodeRequest(b) }},
		{"answer", response.Encode(), response, func(b []byte) (any, error) { return DecodeResponse(b) }},
		{"update", update.Encode(), update, func(b []byte) (any, error) { return DecodeUpdate(b) }},
		{"ping", EncodePing(7), uint64(7), func(b []byte) (any, error) { return DecodePing(b) }},
	} {
		fmt.Fprintf(&text, "%s %x\n", message.name, message.encoded)
		got, err := message.decode(message.encoded)
		if err != nil || !reflect.DeepEqual(got, message.want) {
			t.Errorf("%s: decoded as %+v, %v", message.name, got, err)
		}
	}
	for i, operation := range []Operation{
		OpPropose, OpRead, OpReadLocal, OpIdentify, OpBootstrap, OpJoin, OpDeclareLost, OpStatus,
	} {
		fmt.Fprintln(&text, "verb", i+1, uint8(operation))
	}
	for i, outcome := range []Outcome{OutcomeDone, OutcomeRejected, OutcomeNotAttempted, OutcomeUncertain} {
		fmt.Fprintln(&text, "outcome", i+1, uint8(outcome))
	}
	golden.Compare(t, "messages.txt", text.String())
}

// TestGoldenFrame compares a frame with the golden file.
func TestGoldenFrame(t *testing.T) {
	var text strings.Builder
	if err := WriteFrame(hexWriter{&text}, []byte("body")); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "frame.txt", text.String()+"\n")
}

// hexWriter appends what is written to out, in hexadecimal.
type hexWriter struct{ out *strings.Builder }

func (w hexWriter) Write(b []byte) (int, error) {
	w.out.WriteString(hex.EncodeToString(b))
	return len(b), nil
}

// TestGoldenStatus compares the JSON keys of a server's status with the golden file.
func TestGoldenStatus(t *testing.T) {
	golden.Compare(t, "status-keys.txt", golden.Keys(reflect.TypeFor[ServerStatus](), "json"))
}

// TestGoldenCopy encodes a copy as an earlier version stored it, and starts a follower from the stored one.
func TestGoldenCopy(t *testing.T) {
	stored := filepath.Join("testdata", "copy")
	writer := &Follower{name: "n1", path: stored, state: goldenState(t), cluster: 5, index: 42, cancel: func() {}}
	if golden.Updating() {
		if err := disk.Replace(stored, writer.encodeCopy()); err != nil {
			t.Fatal(err)
		}
	}
	want, err := disk.Read(stored, MaxFrame)
	if err != nil {
		t.Fatal(err)
	}
	if got := writer.encodeCopy(); string(got) != string(want) {
		t.Errorf("encoded:\n%x\nstored:\n%x", got, want)
	}
	path := filepath.Join(t.TempDir(), "copy")
	storedFile, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, storedFile, 0o600); err != nil {
		t.Fatal(err)
	}
	var notified []state.Override
	follower := StartFollower("n1", map[string]string{}, path, func(overrides []state.Override) {
		notified = overrides
	})
	defer follower.Close()
	view := follower.View()
	if !view.Known || view.Cluster != 5 || view.Index != 42 || len(view.Overrides) != 3 || len(notified) != 3 ||
		view.Overrides[0].Target != "a" || view.Overrides[0].Reason != "disk" {
		t.Errorf("%+v, notified of %v", view, notified)
	}
}
