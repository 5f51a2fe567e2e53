package server

import (
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/state"
)

// The commands of a membership change are decoded unchanged, with the clock value at their proposal.
func TestChangeCommands(t *testing.T) {
	commands := []state.Command{
		&state.RegisterMember{Member: state.Member{ID: 9, Name: "k2", Address: "127.0.0.1:2"}},
		&state.UnregisterMember{ID: 8},
	}
	encoded, err := decodeChangeCommands(encodeChangeCommands(42, commands))
	if err != nil || len(encoded) != len(commands) {
		t.Fatalf("decoded %d commands: %v", len(encoded), err)
	}
	for i, command := range encoded {
		envelope, err := state.DecodeEnvelope(command)
		if err != nil || envelope.Clock != 42 || string(state.Encode(envelope.Command)) != string(state.Encode(commands[i])) {
			t.Errorf("command %d: %+v %v", i, envelope, err)
		}
	}
	if none, err := decodeChangeCommands(nil); err != nil || len(none) != 0 {
		t.Errorf("no commands: %d %v", len(none), err)
	}
	if _, err := decodeChangeCommands([]byte{0xff}); err == nil {
		t.Error("malformed commands were decoded")
	}
}

// Entries that a snapshot already contains are skipped; an entry that can't be decoded is an error, which ends the
// server.
func TestApplyEntries(t *testing.T) {
	c := restoredCore(t)
	entry := func(index uint64, data []byte) *raftpb.Entry {
		return &raftpb.Entry{Index: new(index), Term: new(uint64(1)), Data: data}
	}
	override := state.Envelope{ID: 1, Clock: 1000, Command: outOfService("a")}.Encode()
	if err := c.applyEntries([]*raftpb.Entry{entry(1, []byte("garbage")), entry(2, nil), entry(3, override)}); err != nil {
		t.Fatal(err)
	}
	if c.applied != 3 || len(c.state.Overrides()) != 1 || c.state.Clock() != 1000 {
		t.Errorf("applied up to %d, at %d ms: %v", c.applied, c.state.Clock(), c.state.Overrides())
	}
	if err := c.applyEntries([]*raftpb.Entry{entry(4, []byte("garbage"))}); err == nil || c.applied != 3 {
		t.Errorf("an entry that can't be decoded: %v, applied up to %d", err, c.applied)
	}
}

// A leader is ready once it has applied the first entry of its own term, and its clock continues from the last clock
// value in the log.
func TestLeaderBecomesReady(t *testing.T) {
	c := restoredCore(t)
	term := c.node.BasicStatus().GetTerm()
	c.leadership = leadership{leader: testSelf, leading: true}
	override := state.Envelope{ID: 1, Clock: 1000, Command: outOfService("a")}.Encode()
	earlier := &raftpb.Entry{Index: new(uint64(2)), Term: new(term - 1), Data: override}
	own := &raftpb.Entry{Index: new(uint64(3)), Term: new(term)}
	if err := c.applyEntries([]*raftpb.Entry{earlier}); err != nil || c.leadership.canPropose() {
		t.Fatalf("ready with an entry of an earlier term: %v", err)
	}
	if err := c.applyEntries([]*raftpb.Entry{own}); err != nil || !c.leadership.canPropose() {
		t.Fatalf("not ready with an entry of its own term: %v", err)
	}
	clock := c.leadership.clock
	if got := clock.at(clock.startedAt.Add(250 * time.Millisecond)); got != 1250 {
		t.Errorf("the clock is at %d ms, want 1250", got)
	}
}
