package server

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// applyAll applies entries that a quorum has; false: the voter can't go on.
func (c *core) applyAll(entries []*raftpb.Entry) bool {
	for _, e := range entries {
		if e.GetIndex() <= c.applied { // a snapshot has come before
			continue
		}
		var commands [][]byte
		var err error
		switch e.GetType() {
		case raftpb.EntryNormal:
			if len(e.GetData()) > 0 {
				commands = [][]byte{e.GetData()}
			}
		default:
			commands, err = c.reconfigure(e)
		}
		for _, b := range commands {
			if err == nil {
				err = c.applyOne(e.GetIndex(), b)
			}
		}
		if err != nil {
			c.broken(fmt.Errorf("entry %d of the log: %w", e.GetIndex(), err))
			return false
		}
		c.applied = e.GetIndex()
		c.since += len(e.GetData())
		if len(commands) > 0 {
			c.tell(client.Update{Commands: commands, Index: e.GetIndex()})
		}
		if c.leading && !c.ready && e.GetTerm() == c.node.BasicStatus().GetTerm() {
			c.ready, c.clockAt, c.clockOf = true, time.Now(), c.state.Clock()
		}
	}
	c.answerReads()
	return true
}

// applyOne applies a command and answers whoever waits for it.
func (c *core) applyOne(index uint64, b []byte) error {
	e, err := state.DecodeEnvelope(b)
	if err != nil {
		return err
	}
	r, err := c.state.Apply(index, e.Clock, e.Command)
	if err != nil {
		return err
	}
	if p := c.pending[e.ID]; p != nil {
		delete(c.pending, e.ID)
		p.index, p.result = index, r
		c.settling = append(c.settling, p)
		c.settle(time.Now())
	}
	return nil
}

// settle answers what has been applied and stands on as many disks as are wanted.
func (c *core) settle(now time.Time) {
	if len(c.settling) == 0 {
		return
	}
	var matches []uint64
	c.node.WithProgress(func(_ uint64, kind raft.ProgressType, p progress) {
		if kind == raft.ProgressTypePeer {
			matches = append(matches, p.Match)
		}
	})
	rest := c.settling[:0]
	for _, p := range c.settling {
		held := 0
		for _, m := range matches {
			if m >= p.index {
				held++
			}
		}
		switch {
		case !p.result.OK():
			c.no(p.result.Message)
			p.answer(client.Response{Outcome: client.OutcomeRejected, Message: p.result.Message, Result: p.result, Stored: held, Voters: len(matches)})
		case held >= min(c.WriteQuorum, len(matches)):
			p.answer(client.Response{Outcome: client.OutcomeDone, Result: p.result, Stored: held, Voters: len(matches)})
		case now.After(p.until):
			p.answer(client.Response{Outcome: client.OutcomeUncertain, Message: fmt.Sprintf("%d voters have it, and %d are wanted", held, c.WriteQuorum), Stored: held, Voters: len(matches)})
		default:
			rest = append(rest, p)
		}
	}
	c.settling = rest
}

// no notes a refusal, for the view.
func (c *core) no(why string) { c.refused, c.lastNo = c.refused+1, why }

// reconfigure carries out a change of the voters. It returns the commands that it brings: who the members are.
func (c *core) reconfigure(e *raftpb.Entry) ([][]byte, error) {
	var change raftpb.ConfChangeI
	var text []byte
	if e.GetType() == raftpb.EntryConfChange {
		var x raftpb.ConfChange
		if err := proto.Unmarshal(e.GetData(), &x); err != nil {
			return nil, err
		}
		change, text = &x, x.GetContext()
	} else {
		var x raftpb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &x); err != nil {
			return nil, err
		}
		change, text = &x, x.GetContext()
	}
	c.conf = c.node.ApplyConfChange(change)
	c.changing = len(c.conf.GetVotersOutgoing()) > 0
	var commands [][]byte
	err := protomsg.Each(text, func(f protomsg.Field) error {
		if f.Number == 1 {
			commands = append(commands, f.Raw)
		}
		return nil
	})
	// The links follow once the commands are applied.
	c.relinkSoon()
	return commands, err
}

// bringing is what a change of the voters brings: commands that say who the members are.
func bringing(clock uint64, all ...state.Command) []byte {
	var w protomsg.Writer
	for _, x := range all {
		w.Raw(1, state.Envelope{Clock: clock, Command: x}.Encode())
	}
	return w.Bytes()
}

// confirmed goes on with a reading for which a quorum has said how far the log had come.
func (c *core) confirmed(s raft.ReadState) {
	if len(s.RequestCtx) != 16 {
		return
	}
	number := binary.BigEndian.Uint64(s.RequestCtx[8:])
	r := c.reads[number]
	if r == nil {
		return
	}
	delete(c.reads, number)
	r.index = s.Index
	c.awaiting = append(c.awaiting, r)
	c.answerReads()
}

// answerReads answers readings of what is applied by now.
func (c *core) answerReads() {
	rest := c.awaiting[:0]
	var due []*reading
	for _, r := range c.awaiting {
		if r.index <= c.applied {
			due = append(due, r)
		} else {
			rest = append(rest, r)
		}
	}
	c.awaiting = rest
	for _, r := range due {
		if r.from.After(c.fresh) {
			c.fresh = r.from
		}
		r.answer(c, nil)
	}
}

// read asks a quorum how far the log has come, and answers once all of that is applied here.
func (c *core) read(within time.Duration, answer func(c *core, err error)) {
	now := time.Now()
	if c.node == nil || c.lead == raft.None || c.stalled(now) {
		answer(c, errNoLeader)
		return
	}
	c.number++
	c.reads[c.number] = &reading{answer: answer, from: now, asked: now, until: now.Add(within)}
	c.node.ReadIndex(readingContext(c.id(), c.number))
}
