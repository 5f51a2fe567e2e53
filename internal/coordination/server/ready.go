package server

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// processReady processes the Raft node's output until there is none left: it hands writes to the disk writer, sends
// messages to the peers and applies committed entries. Writes and entries to apply come as messages to two local
// threads; each carries the responses to deliver after the write or the application (raft.Config.AsyncStorageWrites).
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

// processMessage handles one message of the Raft node's output. After an error the server has to stop.
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

// deliver passes messages to their receivers: this server's Raft node or peers.
func (c *core) deliver(messages []*raftpb.Message) {
	for _, message := range messages {
		if message.GetTo() == c.id() {
			c.step(message)
		} else {
			c.send(message)
		}
	}
}

// step passes a message to the Raft node. A message that the node rejects is out of date and is ignored.
func (c *core) step(message *raftpb.Message) {
	if err := c.node.Step(message); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		slog.Debug("message ignored", "type", message.GetType(), "err", err)
	}
	if message.GetType() == raftpb.MsgAppResp {
		c.answerReplicated(time.Now())
	}
}

// messageWritten completes a MsgStorageAppend that is on disk. After an error the server has to stop.
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

// snapshotReceived replaces the state with the leader's snapshot, unless the log already has a newer one.
func (c *core) snapshotReceived(snapshot *raftpb.Snapshot) error {
	outOfDate := c.log.ApplySnapshot(snapshot) != nil // raft.ErrSnapOutOfDate
	if outOfDate {
		return nil
	}
	if err := c.restore(snapshot); err != nil {
		return fmt.Errorf("snapshot from the leader: %w", err)
	}
	c.stateReplaced()
	return nil
}

// writeSnapshotIfDue queues a snapshot of the state for writing if enough entries were applied since the last one.
func (c *core) writeSnapshotIfDue() {
	if c.confState == nil || !c.snapshots.due(c.applied) {
		return
	}
	snapshot, err := c.currentSnapshot()
	if err != nil { // retried with the next entries
		return
	}
	keepFrom := c.snapshots.begin(c.applied)
	c.writer.enqueue(writeJob{snapshot: snapshot, keepFrom: keepFrom})
}
