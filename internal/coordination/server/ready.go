package server

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// processReady does what the Raft node asks for, until it asks for nothing more: writes go to the disk writer, messages
// to the peers, and committed entries are applied. Messages to the two local threads carry the responses that are owed
// once their work is done (raft.Config.AsyncStorageWrites).
func (c *core) processReady() {
	for c.node != nil && c.node.HasReady() {
		ready := c.node.Ready()
		if ready.SoftState != nil {
			c.leadershipChanged(ready.SoftState)
		}
		for _, read := range ready.ReadStates {
			c.readConfirmed(read)
		}
		for _, message := range ready.Messages {
			if err := c.processMessage(message); err != nil {
				c.fail(err)
				return
			}
		}
		c.writeSnapshotIfDue()
	}
}

// processMessage does what one message of the Raft node asks for. After an error the server can't go on.
func (c *core) processMessage(message *raftpb.Message) error {
	switch message.GetTo() {
	case raft.LocalAppendThread:
		c.writer.enqueue(writeJob{message: message})
	case raft.LocalApplyThread:
		if err := c.applyEntries(message.GetEntries()); err != nil {
			return err
		}
		c.deliver(message.GetResponses())
	default:
		c.send(message)
	}
	return nil
}

// deliver hands messages to their receivers: to the Raft node here, or to peers.
func (c *core) deliver(messages []*raftpb.Message) {
	for _, message := range messages {
		if message.GetTo() == c.id() {
			c.step(message)
		} else {
			c.send(message)
		}
	}
}

// step hands the Raft node a message. What it refuses is out of date.
func (c *core) step(message *raftpb.Message) {
	if err := c.node.Step(message); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		slog.Debug("message ignored", "type", message.GetType(), "err", err)
	}
	if message.GetType() == raftpb.MsgAppResp {
		c.answerReplicated(time.Now())
	}
}

// messageWritten goes on with a MsgStorageAppend that the disk has. After an error the server can't go on.
func (c *core) messageWritten(message *raftpb.Message) error {
	if snapshot := message.GetSnapshot(); !raft.IsEmptySnap(snapshot) {
		if err := c.snapshotReceived(snapshot); err != nil {
			return err
		}
	}
	if err := c.log.Append(message.GetEntries()); err != nil {
		return err
	}
	c.deliver(message.GetResponses())
	return nil
}

// snapshotReceived replaces the state by a snapshot of the leader's, unless the log has come further.
func (c *core) snapshotReceived(snapshot *raftpb.Snapshot) error {
	outOfDate := c.log.ApplySnapshot(snapshot) != nil // raft.ErrSnapOutOfDate
	if outOfDate {
		return nil
	}
	if err := c.restore(snapshot); err != nil {
		return fmt.Errorf("a snapshot: %w", err)
	}
	c.stateReplaced()
	return nil
}

// writeSnapshotIfDue hands the state to the disk once enough was applied since the last time.
func (c *core) writeSnapshotIfDue() {
	if c.confState == nil || !c.snapshots.due(c.applied) {
		return
	}
	snapshot, err := c.currentSnapshot()
	if err != nil { // it is tried again with the next entries
		return
	}
	keepFrom := c.snapshots.begin(c.applied)
	c.writer.enqueue(writeJob{snapshot: snapshot, keepFrom: keepFrom})
}
