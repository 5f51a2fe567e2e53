package server

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/membership"
	"olivearch/internal/coordination/state"
)

// newcomer is a process with an empty folder that has asked to join.
type newcomer struct {
	membership.JoiningVoter
	at  time.Time
	why string // it has to wait
}

// forgetNewcomer is after how long without a word one is no longer counted with.
const forgetNewcomer = 3 * time.Second

// changeWithin is after how long a change of the voters that was proposed and not seen is taken for lost.
const changeWithin = 5 * time.Second

// beat tells followers how fresh the copy is, and asks a quorum anew.
func (c *core) beat(now time.Time) {
	up := 0
	voters := 0
	for _, m := range c.state.Members() {
		if m.Learner {
			continue
		}
		voters++
		if at, ok := c.heard[m.ID]; m.ID == c.id() || (ok && now.Sub(at) < time.Second) {
			up++
		}
	}
	if !c.leading { // one that follows hears the leader alone
		up = 0
	}
	pings := map[*follower]uint64{}
	for f := range c.followers {
		pings[f] = f.ping
	}
	// All that was promised before a follower sent its ping was promised before this reading began, and is sent to it before this word.
	c.read(time.Second, func(c *core, err error) {
		u := client.Update{Heartbeat: true, Index: c.applied, Leader: c.leader(), Cluster: c.identity.Cluster, Voters: uint32(voters), ReachableVoters: uint32(up)}
		for f, ping := range pings {
			if err == nil {
				u.Ping = ping
			}
			f.push(u.Encode())
		}
	})
}

// decide takes the next step in who the voters are, as the leader; without a cluster it looks for one.
func (c *core) decide(now time.Time) {
	if c.node == nil {
		c.seek()
		return
	}
	if len(c.state.Members()) == 0 { // it joins, and may have been started anew before it was told of the members
		c.askToJoin()
		return
	}
	if !c.leading || !c.ready {
		return
	}
	for id, n := range c.newcomers {
		if now.Sub(n.at) > forgetNewcomer {
			delete(c.newcomers, id)
		}
	}
	if c.changing && now.Sub(c.changeAt) > changeWithin && len(c.conf.GetVotersOutgoing()) == 0 {
		c.changing = false
	}
	if c.state.NextExpiry() <= c.clock(now) {
		c.ours(&state.AdvanceClock{})
	}
	v := membership.View{Self: c.id(), Admitted: c.state.AdmittedVoters(), Changing: c.changing, FeatureLevel: c.state.FeatureLevel(), Committed: c.node.BasicStatus().GetCommit()}
	match := map[uint64]uint64{}
	c.node.WithProgress(func(id uint64, _ raft.ProgressType, p progress) { match[id] = p.Match })
	for _, m := range c.state.Members() {
		if _, known := c.known[m.ID]; !known {
			c.known[m.ID] = now
		}
		p := membership.Peer{Member: m, MatchIndex: match[m.ID], Level: c.levels[m.ID], DeclaredLost: c.gone[m.Name], SinceContact: longAgo, SinceAdded: now.Sub(c.known[m.ID])}
		if m.ID == c.id() {
			p.SinceContact, p.Level = 0, state.NewestFeatureLevel
		} else if at, ok := c.heard[m.ID]; ok {
			p.SinceContact = now.Sub(at)
		}
		v.Members = append(v.Members, p)
	}
	for _, n := range c.newcomers {
		v.JoiningVoters = append(v.JoiningVoters, n.JoiningVoter)
	}
	step, why := membership.NextChange(v, membership.Timeouts{ReplaceAfter: c.ReplaceAfter, LearnerIdle: learnerIdle})
	for id, n := range c.newcomers {
		n.why = why[id]
	}
	c.take(step, now)
}

// take carries out a step.
func (c *core) take(s membership.Change, now time.Time) {
	change := func(changes []*raftpb.ConfChangeSingle, commands ...state.Command) {
		err := c.node.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes, Context: bringing(c.clock(now), commands...)})
		if err == nil {
			c.changing, c.changeAt = true, now
		}
		slog.Info("a change of the voters", "name", s.Member.Name, "id", fmt.Sprintf("%x", s.Member.ID), "instead_of", fmt.Sprintf("%x", s.Replaced), "kind", s.Kind, "err", err)
	}
	single := func(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
		return &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
	}
	voter := s.Member
	voter.Learner = false
	switch s.Kind {
	case membership.AddLearner:
		change([]*raftpb.ConfChangeSingle{single(raftpb.ConfChangeAddLearnerNode, s.Member.ID)}, &state.RegisterMember{Member: s.Member})
	case membership.ReplaceVoter:
		delete(c.gone, s.Member.Name)
		change([]*raftpb.ConfChangeSingle{single(raftpb.ConfChangeAddNode, s.Member.ID), single(raftpb.ConfChangeRemoveNode, s.Replaced)},
			&state.RegisterMember{Member: voter}, &state.UnregisterMember{ID: s.Replaced})
	case membership.PromoteLearner:
		change([]*raftpb.ConfChangeSingle{single(raftpb.ConfChangeAddNode, s.Member.ID)}, &state.RegisterMember{Member: voter})
	case membership.RemoveMember:
		change([]*raftpb.ConfChangeSingle{single(raftpb.ConfChangeRemoveNode, s.Replaced)}, &state.UnregisterMember{ID: s.Replaced})
	case membership.TransferLeadership:
		c.node.TransferLeader(s.Member.ID)
	case membership.RaiseFeatureLevel:
		c.ours(&state.RaiseFeatureLevel{To: s.Level})
	}
}

// seek asks the configured voters who they are, and begins a cluster or asks to join theirs.
func (c *core) seek() {
	if c.beginning {
		return
	}
	for name := range c.Voters {
		switch {
		case name == c.Name:
			c.reports[name] = membership.VoterReport{Name: name, ID: c.id(), Level: state.NewestFeatureLevel}
		case c.reports[name].Cluster != 0: // there is one: it wants to join
			c.inquire(name, c.wish())
		default:
			c.inquire(name, client.Request{Operation: client.OpIdentify})
		}
	}
	members, why := membership.Bootstrap(c.Name, c.Voters, c.reports)
	if members == nil {
		if !c.joining() {
			c.waits = why
		}
		return
	}
	id := generateClusterID()
	slog.Info("beginning a cluster", "cluster", fmt.Sprintf("%x", id), "voters", len(members))
	for _, m := range members {
		if m.ID == c.id() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, usualWithin)
			defer cancel()
			if _, err := c.caller.Call(ctx, m.Name, client.Request{Operation: client.OpBootstrap, Cluster: id, Members: members}); err != nil {
				slog.Warn("telling a voter of the new cluster", "name", m.Name, "err", err) // it will ask to join
			}
		}()
	}
	c.begin(id, members)
}

// wish is the request to join.
func (c *core) wish() client.Request {
	return client.Request{Operation: client.OpJoin, Level: state.NewestFeatureLevel, Members: []state.Member{{ID: c.id(), Name: c.Name, Address: c.Address}}}
}

// inquire asks a voter who it is, or to be let in.
func (c *core) inquire(name string, r client.Request) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, usualWithin/2)
		defer cancel()
		a, err := c.caller.Call(ctx, name, r)
		c.hand(eventFunc(func(c *core) { c.reported(name, a, err) }))
	}()
}

// askToJoin asks the configured voters who the members are, until a snapshot has told.
func (c *core) askToJoin() {
	for name := range c.Voters {
		if name != c.Name {
			c.inquire(name, c.wish())
		}
	}
}

// hearAll begins to hear members that another voter has told of, until a snapshot says who they are.
func (c *core) hearAll(members []state.Member) {
	for _, m := range members {
		if m.ID != c.id() {
			c.connect(m)
		}
	}
}

// joining tells whether some voter belongs to a cluster already.
func (c *core) joining() bool {
	for _, r := range c.reports {
		if r.Cluster != 0 {
			return true
		}
	}
	return false
}

// reported takes what a voter has said of itself, or of the wish to join.
func (c *core) reported(name string, a client.Response, err error) {
	if c.node != nil && err == nil && a.Cluster == c.identity.Cluster && len(c.state.Members()) == 0 {
		c.waits = a.Message
		c.hearAll(a.Members)
	}
	if c.node != nil || c.beginning {
		return
	}
	if err != nil {
		delete(c.reports, name)
		return
	}
	c.reports[name] = membership.VoterReport{Name: a.Name, ID: a.ID, Cluster: a.Cluster, Level: a.Level}
	if a.Cluster == 0 || len(a.Members) == 0 {
		if a.Message != "" {
			c.waits = a.Message
		}
		return
	}
	slog.Info("joining", "cluster", fmt.Sprintf("%x", a.Cluster))
	c.adopt(a.Cluster, a.Members)
}

// adopt makes the folder one of a cluster that is there already; what it holds comes from the others.
func (c *core) adopt(id uint64, members []state.Member) {
	c.beginning = true
	c.writer.enqueue(writeJob{bootstrap: &clusterBootstrap{cluster: id, onDone: func() { c.hearAll(members) }}})
}

// begin makes the folder one of a new cluster.
func (c *core) begin(id uint64, members []state.Member) {
	c.beginning = true
	x, err := founding(members)
	if err != nil {
		c.broken(err)
		return
	}
	c.writer.enqueue(writeJob{bootstrap: &clusterBootstrap{cluster: id, snapshot: x}})
}

// founding is the state that all voters of a new cluster begin with.
func founding(members []state.Member) (*raftpb.Snapshot, error) {
	s := state.NewState()
	conf := &raftpb.ConfState{}
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b state.Member) int { return int(min(1, max(-1, int64(a.ID)-int64(b.ID)))) })
	for _, m := range members {
		conf.Voters = append(conf.Voters, m.ID)
		for _, command := range []state.Command{&state.AddVoter{Name: m.Name, Address: m.Address}, &state.RegisterMember{Member: m}} {
			if r, err := s.Apply(1, 0, command); err != nil || !r.OK() {
				return nil, fmt.Errorf("the first voters: %w %s", err, r.Message)
			}
		}
	}
	return &raftpb.Snapshot{Data: s.Encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: conf}}, nil
}

// begun starts to take part, now that the disk knows of the cluster.
func (c *core) begun(b *clusterBootstrap) {
	c.beginning, c.identity.Cluster = false, b.cluster
	if b.snapshot != nil {
		if err := c.memory.ApplySnapshot(b.snapshot); err != nil {
			c.broken(err)
			return
		}
		if err := c.memory.SetHardState(initialHardState()); err != nil {
			c.broken(err)
			return
		}
		if err := c.restore(b.snapshot); err != nil {
			c.broken(err)
			return
		}
	}
	if err := c.startNode(); err != nil {
		c.broken(err)
		return
	}
	c.rebase()
	if b.onDone != nil {
		b.onDone()
	}
}

// form begins a cluster as the first voter by name has decided.
func (c *core) form(a ask) {
	i := slices.IndexFunc(a.Members, func(m state.Member) bool { return m.ID == c.id() && m.Name == c.Name })
	switch {
	case c.node != nil && c.identity.Cluster == a.Cluster:
		a.answer(client.Response{Outcome: client.OutcomeDone})
	case c.node != nil || c.beginning:
		a.answer(client.Response{Outcome: client.OutcomeRejected, Message: "it belongs to a cluster already"})
	case i < 0 || a.Cluster == 0:
		a.answer(client.Response{Outcome: client.OutcomeRejected, Message: "it is not among the members of that cluster"})
	default:
		c.begin(a.Cluster, a.Members)
		a.answer(client.Response{Outcome: client.OutcomeDone})
	}
}

// join lets a process with an empty folder in, once it is a member.
func (c *core) join(a ask) {
	if len(a.Members) != 1 || a.Members[0].ID == 0 || a.Members[0].Name == "" {
		a.answer(client.Response{Outcome: client.OutcomeRejected, Message: "one member with a name and an id is wanted"})
		return
	}
	m := a.Members[0]
	if _, member := c.state.Member(m.ID); member && c.node != nil {
		a.answer(client.Response{Outcome: client.OutcomeDone, Members: c.state.Members()})
		return
	}
	if c.elsewhere(a) {
		return
	}
	n := c.newcomers[m.ID]
	if n == nil {
		n = &newcomer{why: "its wish has just come"}
		c.newcomers[m.ID] = n
		slog.Info("a voter with an empty folder wants to join", "name", m.Name, "id", fmt.Sprintf("%x", m.ID))
	}
	n.JoiningVoter, n.at = membership.JoiningVoter{VoterReport: membership.VoterReport{Name: m.Name, ID: m.ID, Level: a.Level}, Address: m.Address}, time.Now()
	a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: n.why})
}

// goneForGood notes that staff know of a voter whose machine will not come back: it need not be waited for.
func (c *core) goneForGood(a ask) {
	if c.elsewhere(a) {
		return
	}
	for _, m := range c.state.Members() {
		if m.Name == a.Name && !m.Learner {
			c.gone[a.Name] = true
			a.answer(client.Response{Outcome: client.OutcomeDone})
			return
		}
	}
	a.answer(client.Response{Outcome: client.OutcomeRejected, Message: fmt.Sprintf("there is no voter %s", a.Name)})
}
