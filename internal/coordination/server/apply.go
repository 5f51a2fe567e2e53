package server

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// applyEntries applies committed entries. After an error the server has to stop.
func (c *core) applyEntries(entries []*raftpb.Entry) error {
	for _, entry := range entries {
		if entry.GetIndex() <= c.applied { // contained in a snapshot that was received
			continue
		}
		if err := c.applyEntry(entry); err != nil {
			return fmt.Errorf("apply log entry %d: %w", entry.GetIndex(), err)
		}
	}
	c.reads.finishApplied(c.applied)
	return nil
}

// applyEntry applies one entry and sends its commands to the followers. The first entry of its own term makes a new
// leader ready.
func (c *core) applyEntry(entry *raftpb.Entry) error {
	commands, err := c.entryCommands(entry)
	if err != nil {
		return err
	}
	for _, command := range commands {
		if err := c.applyCommand(entry.GetIndex(), command); err != nil {
			return err
		}
	}
	c.applied = entry.GetIndex()
	c.snapshots.entryApplied(len(entry.GetData()))
	if len(commands) > 0 {
		c.followers.broadcast(client.Update{
			Commands: commands,
			Index:    entry.GetIndex(),
			Cluster:  c.identity.Cluster,
		})
	}
	newLeader := c.leadership.leading && !c.leadership.ready
	if newLeader && entry.GetTerm() == c.node.BasicStatus().GetTerm() {
		c.leadership.becomeReady(time.Now(), c.state.Clock())
	}
	return nil
}

// entryCommands returns the encoded commands of an entry. If the entry is a membership change, it also applies the
// change to the Raft node.
func (c *core) entryCommands(entry *raftpb.Entry) ([][]byte, error) {
	if entry.GetType() != raftpb.EntryNormal {
		return c.applyMembershipChange(entry)
	}
	if len(entry.GetData()) == 0 {
		return nil, nil
	}
	return [][]byte{entry.GetData()}, nil
}

// applyCommand applies an encoded command, and responds to the client that waits for it if enough voters have it.
func (c *core) applyCommand(index uint64, encoded []byte) error {
	envelope, err := state.DecodeEnvelope(encoded)
	if err != nil {
		return err
	}
	result, err := c.state.Apply(index, envelope.Clock, envelope.Command)
	if err != nil {
		return err
	}
	if c.proposals.applied(envelope.ID, index, result) {
		c.answerReplicated(time.Now())
	}
	return nil
}

// applyMembershipChange applies a configuration change to the Raft node. It returns the encoded commands in the entry,
// which register the changed members in the state.
func (c *core) applyMembershipChange(entry *raftpb.Entry) ([][]byte, error) {
	change, encoded, err := decodeMembershipChange(entry)
	if err != nil {
		return nil, err
	}
	c.confState = c.node.ApplyConfChange(change)
	c.members.changePending = len(c.confState.GetVotersOutgoing()) > 0
	commands, err := decodeChangeCommands(encoded)
	c.updateLinksLater() // once the commands are applied
	return commands, err
}

// decodeMembershipChange decodes a configuration change, and returns the encoded commands in its context.
func decodeMembershipChange(entry *raftpb.Entry) (change raftpb.ConfChangeI, commands []byte, err error) {
	if entry.GetType() == raftpb.EntryConfChange {
		var single raftpb.ConfChange
		err = proto.Unmarshal(entry.GetData(), &single)
		return &single, single.GetContext(), err
	}
	var joint raftpb.ConfChangeV2
	err = proto.Unmarshal(entry.GetData(), &joint)
	return &joint, joint.GetContext(), err
}

// changeCommandField is the field number of a command in the context of a membership change.
const changeCommandField = 1

// encodeChangeCommands encodes the commands for the context of a membership change. clock is the cluster's clock in
// milliseconds.
func encodeChangeCommands(clock uint64, commands []state.Command) []byte {
	var w protomsg.Writer
	for _, command := range commands {
		w.Raw(changeCommandField, state.Envelope{Clock: clock, Command: command}.Encode())
	}
	return w.Bytes()
}

// decodeChangeCommands returns the encoded envelopes in the context of a membership change.
func decodeChangeCommands(encoded []byte) ([][]byte, error) {
	var commands [][]byte
	err := protomsg.EachField(encoded, func(f protomsg.Field) error {
		if f.Number == changeCommandField {
			commands = append(commands, f.Raw)
		}
		return nil
	})
	return commands, err
}
