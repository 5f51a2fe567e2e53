package server

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/state"
)

// A peer may send only its own messages, except for a MsgReadIndex that it forwards.
func TestPeerMessageCheck(t *testing.T) {
	const self, peer, other = 1, 2, 3
	receiver := &peerReceiver{self: self, member: state.Member{ID: peer, Name: "k2"}}
	cases := []struct {
		name     string
		kind     raftpb.MessageType
		from, to uint64
		accepted bool
	}{
		{"its own message", raftpb.MsgApp, peer, self, true},
		{"a message from another member", raftpb.MsgApp, other, self, false},
		{"a message to another member", raftpb.MsgApp, peer, other, false},
		{"a forwarded read", raftpb.MsgReadIndex, other, self, true},
		{"a forwarded read to another member", raftpb.MsgReadIndex, other, other, false},
		{"a message type that is local to a process", raftpb.MsgHup, peer, self, false},
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
		t.Error("a single message larger than maxOutboxBytes was dropped")
	}
	if box.enqueue(&raftpb.Message{}) {
		t.Error("a second message was queued beyond maxOutboxBytes")
	}
	if n := len(box.takeAll()); n != 1 {
		t.Errorf("%d messages were queued", n)
	}
	for range maxOutboxMessages {
		if !box.enqueue(&raftpb.Message{}) {
			t.Fatal("the outbox was full below maxOutboxMessages")
		}
	}
	if box.enqueue(&raftpb.Message{}) {
		t.Error("a message was queued beyond maxOutboxMessages")
	}
	if n := len(box.takeAll()); n != maxOutboxMessages {
		t.Errorf("%d messages were queued", n)
	}
}

// When an old connection breaks, the outbox of the connection that has replaced it stays.
func TestOutboxOfNewestConnectionStays(t *testing.T) {
	links := newPeerLinks()
	first := links.replaceOutbox(7)
	second := links.replaceOutbox(7)
	select {
	case <-first.closed:
	default:
		t.Error("the first outbox was not closed")
	}
	links.removeOutbox(first)
	if links.outgoing[7] != second {
		t.Error("the newest outbox was removed")
	}
	links.removeOutbox(second)
	if len(links.outgoing) != 0 {
		t.Error("the outbox of a broken connection was not removed")
	}
}
