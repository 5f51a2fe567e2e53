package server

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/state"
)

// A peer speaks for itself alone, but for a ReadIndex that it forwards.
func TestPeerMessageCheck(t *testing.T) {
	const self, peer, other = 1, 2, 3
	receiver := &peerReceiver{self: self, member: state.Member{ID: peer, Name: "k2"}}
	cases := []struct {
		name     string
		kind     raftpb.MessageType
		from, to uint64
		accepted bool
	}{
		{"its own", raftpb.MsgApp, peer, self, true},
		{"another's", raftpb.MsgApp, other, self, false},
		{"to another", raftpb.MsgApp, peer, other, false},
		{"a read that it forwards", raftpb.MsgReadIndex, other, self, true},
		{"a read to another", raftpb.MsgReadIndex, other, other, false},
		{"one that never leaves a process", raftpb.MsgHup, peer, self, false},
	}
	for _, c := range cases {
		message := &raftpb.Message{Type: c.kind.Enum(), From: new(c.from), To: new(c.to)}
		if err := receiver.checkMessage(message); (err == nil) != c.accepted {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestOutboxIsBounded(t *testing.T) {
	box := newOutbox(7)
	huge := &raftpb.Message{Context: make([]byte, maxOutboxBytes+1)}
	if !box.enqueue(huge) {
		t.Error("a single message that exceeds the bytes is dropped")
	}
	if box.enqueue(&raftpb.Message{}) {
		t.Error("a message that exceeds the bytes together with another is queued")
	}
	if n := len(box.takeAll()); n != 1 {
		t.Errorf("%d messages were queued", n)
	}
	for range maxOutboxMessages {
		if !box.enqueue(&raftpb.Message{}) {
			t.Fatal("full too early")
		}
	}
	if box.enqueue(&raftpb.Message{}) {
		t.Error("more messages are queued than fit")
	}
	if n := len(box.takeAll()); n != maxOutboxMessages {
		t.Errorf("%d messages were queued", n)
	}
}

// A broken connection does not take away the outbox of the one that has replaced it.
func TestOutboxOfNewestConnectionStays(t *testing.T) {
	links := newPeerLinks()
	first := links.replaceOutbox(7)
	second := links.replaceOutbox(7)
	select {
	case <-first.closed:
	default:
		t.Error("the earlier outbox is open")
	}
	links.removeOutbox(first)
	if links.outgoing[7] != second {
		t.Error("the newest outbox is forgotten")
	}
	links.removeOutbox(second)
	if len(links.outgoing) != 0 {
		t.Error("a broken outbox is still used")
	}
}
