package server

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/membership"
	"olivearch/internal/coordination/state"
)

// core owns a voter's state. All of it belongs to the goroutine of run; the others hand it events.
type core struct {
	Config
	ctx      context.Context
	fail     context.CancelCauseFunc
	store    *store
	identity identity // the folder's, as this goroutine knows it
	writer   *diskWriter
	began    time.Time
	events   chan event
	written  chan writeResult
	caller   *client.Client // to the other voters, for what is passed on

	memory  *raft.MemoryStorage
	node    *raft.RawNode // nil: it belongs to no cluster yet
	conf    *raftpb.ConfState
	state   *state.State
	applied uint64
	since   int    // bytes of log since the last snapshot
	snapped uint64 // index of the last snapshot
	saving  bool   // a snapshot is being written

	lead     uint64
	leading  bool
	ready    bool      // as the leader: all of earlier terms is applied, and the clock is known
	clockAt  time.Time // when, as the leader, the ledger's clock stood at clockOf
	clockOf  uint64
	pending  map[uint64]*proposal
	settling []*proposal // applied, and waiting for further copies
	reads    map[uint64]*reading
	awaiting []*reading // of an index that is not applied yet
	number   uint64     // of the last reading
	fresh    time.Time  // a quorum confirmed that nothing newer was promised than what is applied here
	ticks    int
	disk     time.Duration // the last write's

	links     map[uint64]*link   // from which other members are heard
	outboxes  map[uint64]*outbox // towards members that listen
	followers map[*follower]bool
	heard     map[uint64]time.Time
	known     map[uint64]time.Time // since when, as the leader, members are known
	levels    map[uint64]uint32
	gone      map[string]bool // names of which staff say that the machine has gone
	newcomers map[uint64]*newcomer
	reports   map[string]membership.VoterReport // of the configured voters, while it belongs to no cluster
	changing  bool                              // a change of the voters is proposed or under way
	changeAt  time.Time
	beginning bool
	waits     string // why it does not take part yet
	refused   uint64
	lastNo    string
}

// event is what other goroutines hand to the core.
type event interface{ apply(c *core) }

type eventFunc func(c *core)

func (f eventFunc) apply(c *core) { f(c) }

// proposal is a command that waits for its answer.
type proposal struct {
	answer answerTo
	until  time.Time
	index  uint64
	result state.Result
}

// reading waits for a quorum's word on how far the log had come when it was asked.
type reading struct {
	answer func(c *core, err error)
	from   time.Time
	asked  time.Time // last
	until  time.Time
	index  uint64
}

// askAgain is after how long without an answer a quorum is asked again.
const askAgain = 4 * tick

func newCore(cfg Config, s *store, held *content) (*core, error) {
	others := map[string]string{}
	for name, address := range cfg.Voters {
		if name != cfg.Name {
			others[name] = address
		}
	}
	c := &core{
		Config: cfg, began: time.Now(), store: s, identity: s.identity, writer: newDiskWriter(s), events: make(chan event, 4096), written: make(chan writeResult), caller: client.New(cfg.Name, others),
		memory: raft.NewMemoryStorage(), state: state.NewState(), pending: map[uint64]*proposal{}, reads: map[uint64]*reading{},
		links: map[uint64]*link{}, outboxes: map[uint64]*outbox{}, followers: map[*follower]bool{}, heard: map[uint64]time.Time{}, known: map[uint64]time.Time{}, levels: map[uint64]uint32{},
		number: rand.Uint64(), gone: map[string]bool{}, newcomers: map[uint64]*newcomer{}, reports: map[string]membership.VoterReport{}, waits: "it has just started",
	}
	if s.identity.Cluster == 0 {
		return c, nil
	}
	if !raft.IsEmptySnap(held.snapshot) {
		if err := c.memory.ApplySnapshot(held.snapshot); err != nil {
			return nil, err
		}
		if err := c.restore(held.snapshot); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	if err := c.memory.Append(held.entries); err != nil {
		return nil, err
	}
	if !raft.IsEmptyHardState(held.hardState) {
		if err := c.memory.SetHardState(held.hardState); err != nil {
			return nil, err
		}
	}
	return c, c.startNode()
}

// startNode begins to take part in the cluster of the folder.
func (c *core) startNode() (err error) {
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: c.identity.ID, ElectionTick: electionTicks, HeartbeatTick: beatTicks, Storage: logStorage{c.memory, c},
		Applied: c.applied, AsyncStorageWrites: true, MaxSizePerMsg: maxMessage, MaxCommittedSizePerReady: maxMessage, MaxUncommittedEntriesSize: maxUnsettled,
		MaxInflightMsgs: maxInflight, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quietLogger{slog.Default()},
	})
	c.waits = ""
	return err
}

// restore takes a snapshot's state.
func (c *core) restore(x *raftpb.Snapshot) error {
	s, err := state.DecodeState(x.GetData())
	if err != nil {
		return err
	}
	if s.FeatureLevel() > state.NewestFeatureLevel {
		return fmt.Errorf("the ledger is at level %d, and this version knows %d: a newer one is wanted", s.FeatureLevel(), state.NewestFeatureLevel)
	}
	c.state, c.applied, c.snapped = s, x.GetMetadata().GetIndex(), x.GetMetadata().GetIndex()
	c.conf, c.since = x.GetMetadata().GetConfState(), 0
	return nil
}

func (c *core) id() uint64 { return c.identity.ID }

// run is the goroutine.
func (c *core) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer c.end()
	defer func() { // the library panics where what it is told can't be, as when another process uses this member's id
		if wrong := recover(); wrong != nil {
			slog.Error("what the consensus has come to can't be", "why", wrong, "stack", string(debug.Stack()))
			c.broken(fmt.Errorf("%w, or another process is this member: %v", ErrDamaged, wrong))
		}
	}()
	c.relink()
	for c.ctx.Err() == nil {
		select {
		case e := <-c.events:
			e.apply(c)
			for range min(len(c.events), 256) { // what has come together is answered together
				(<-c.events).apply(c)
			}
		case w := <-c.written:
			c.onDisk(w)
		case <-ticker.C:
			c.tick()
		case <-c.ctx.Done():
			return
		}
		c.advance()
	}
}

// end lets go of all that waits.
func (c *core) end() {
	c.abandon(client.OutcomeUncertain, "the voter ends")
	for _, l := range c.links {
		l.stop()
	}
	for f := range c.followers {
		f.close()
	}
	for _, o := range c.outboxes {
		o.close()
	}
	c.caller.Close()
}

// hand gives the core an event; false: it has ended.
func (c *core) hand(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// broken ends the voter: it can't go on without breaking what it has promised.
func (c *core) broken(err error) { c.fail(err) }

// stalled tells whether the disk has not answered for too long: the voter is silent then, so that another leads.
func (c *core) stalled(now time.Time) bool { return c.writer.pendingFor(now) > stalledAfter }

func (c *core) tick() {
	c.ticks++
	now := time.Now()
	if c.node != nil && !c.stalled(now) {
		c.node.Tick()
	}
	for id, p := range c.pending {
		if now.After(p.until) {
			delete(c.pending, id)
			p.answer(client.Response{Outcome: client.OutcomeUncertain, Message: "no quorum has confirmed it in time"})
		}
	}
	c.settle(now)
	for number, r := range c.reads {
		switch {
		case now.After(r.until):
			delete(c.reads, number)
			r.answer(c, errNoQuorum)
		case now.Sub(r.asked) > askAgain && c.node != nil && c.lead != raft.None: // a leader that changes, or a link that breaks, may drop it
			r.asked = now
			c.node.ReadIndex(readingContext(c.id(), number))
		}
	}
	for i := 0; i < len(c.awaiting); i++ {
		if r := c.awaiting[i]; now.After(r.until) {
			c.awaiting = append(c.awaiting[:i], c.awaiting[i+1:]...)
			i--
			r.answer(c, errNoQuorum)
		}
	}
	if c.ticks%decideEvery == 0 {
		c.decide(now)
	}
	if c.ticks%beatEvery == 0 {
		c.beat(now)
	}
}

var errNoQuorum = errors.New("no quorum has answered in time")

// advance does what the consensus asks for.
func (c *core) advance() {
	for c.node != nil && c.node.HasReady() {
		rd := c.node.Ready()
		if rd.SoftState != nil {
			c.ledBy(rd.SoftState.Lead, rd.SoftState.RaftState == raft.StateLeader)
		}
		for _, r := range rd.ReadStates {
			c.confirmed(r)
		}
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				c.writer.enqueue(writeJob{message: m})
			case raft.LocalApplyThread:
				if !c.applyAll(m.GetEntries()) {
					return
				}
				c.deliver(m.GetResponses())
			default:
				c.send(m)
			}
		}
		c.snapshot()
	}
}

// deliver brings messages to where they go: to the consensus here, or to other voters.
func (c *core) deliver(all []*raftpb.Message) {
	for _, m := range all {
		if m.GetTo() != c.id() {
			c.send(m)
			continue
		}
		c.step(m)
	}
}

// step hands a message to the consensus. What it refuses is out of date.
func (c *core) step(m *raftpb.Message) {
	if err := c.node.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		slog.Debug("a message is passed over", "type", m.GetType(), "err", err)
	}
	if m.GetType() == raftpb.MsgAppResp {
		c.settle(time.Now())
	}
}

// onDisk goes on with what the disk has.
func (c *core) onDisk(w writeResult) {
	if w.err != nil {
		c.broken(fmt.Errorf("%w: %w: what it has is not known, so this process ends", ErrDisk, w.err))
		return
	}
	c.disk = w.duration
	for _, j := range w.jobs {
		switch {
		case j.bootstrap != nil:
			c.begun(j.bootstrap)
		case j.snapshot != nil:
			c.saving = false
			meta := j.snapshot.GetMetadata()
			if _, err := c.memory.CreateSnapshot(meta.GetIndex(), meta.GetConfState(), j.snapshot.GetData()); err == nil { // else a newer one has come
				c.memory.Compact(j.keepFrom) // fails only if it has been done
			}
		default:
			m := j.message
			if x := m.GetSnapshot(); !raft.IsEmptySnap(x) {
				if err := c.memory.ApplySnapshot(x); err == nil {
					if err := c.restore(x); err != nil {
						c.broken(fmt.Errorf("a snapshot: %w", err))
						return
					}
					c.rebase()
				}
			}
			if err := c.memory.Append(m.GetEntries()); err != nil {
				c.broken(err)
				return
			}
			c.deliver(m.GetResponses())
		}
	}
}

// rebase tells all that depend on the state that it is another.
func (c *core) rebase() {
	c.waits = ""
	c.relink()
	for f := range c.followers {
		f.push(c.whole())
	}
}

// ledBy notes who leads.
func (c *core) ledBy(lead uint64, leading bool) {
	if lead != c.lead {
		name := ""
		if m, ok := c.state.Member(lead); ok {
			name = m.Name
		}
		slog.Info("leader", "name", name, "term", c.node.BasicStatus().GetTerm())
	}
	if !c.leading && leading {
		c.known = map[uint64]time.Time{}
	}
	if c.leading && !leading {
		c.abandon(client.OutcomeUncertain, "another voter leads now, and may have it or not")
		c.ready, c.changing = false, false
	}
	c.lead, c.leading = lead, leading
}

// abandon answers all that waits for a commitment of this leader's.
func (c *core) abandon(o client.Outcome, why string) {
	for id, p := range c.pending {
		delete(c.pending, id)
		p.answer(client.Response{Outcome: o, Message: why})
	}
	for _, p := range c.settling {
		p.answer(client.Response{Outcome: o, Message: why})
	}
	c.settling = nil
}

// clock is the ledger's now, as the leader counts it.
func (c *core) clock(now time.Time) uint64 {
	return c.clockOf + uint64(now.Sub(c.clockAt)/time.Millisecond)
}

// logStorage is the log as the library reads it. The snapshot that it sends to those who lag is of now: it has to name them as
// members, and one that was made before they were would be refused by them for ever.
type logStorage struct {
	*raft.MemoryStorage
	core *core
}

// Snapshot implements raft.Storage.
func (l logStorage) Snapshot() (*raftpb.Snapshot, error) {
	c := l.core
	if c.conf == nil {
		return l.MemoryStorage.Snapshot()
	}
	return c.now()
}

// now is a snapshot of what is applied.
func (c *core) now() (*raftpb.Snapshot, error) {
	term, err := c.memory.Term(c.applied)
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &raftpb.Snapshot{Data: c.state.Encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(c.applied), Term: new(term), ConfState: c.conf}}, nil
}

// snapshot hands the state to the disk once enough has been applied since the last one.
func (c *core) snapshot() {
	if c.saving || c.conf == nil || c.applied <= c.snapped || (c.applied-c.snapped < snapshotAfter && c.since < snapshotBytes) {
		return
	}
	x, err := c.now()
	if err != nil {
		return
	}
	c.saving, c.snapped, c.since = true, c.applied, 0
	keep := uint64(1)
	if c.applied > keepEntries {
		keep = c.applied - keepEntries
	}
	c.writer.enqueue(writeJob{snapshot: x, keepFrom: keep})
}

// readingContext is a reading's number as the library carries it: the leader takes two of one context for one reading, so it
// names the voter too, and numbers begin anywhere: an answer to the process before must not pass for one to this.
func readingContext(voter, n uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, voter), n)
}
