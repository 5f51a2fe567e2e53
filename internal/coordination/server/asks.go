package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

type progress = tracker.Progress

var errNoLeader = errors.New("no voter leads: no quorum can be reached from here")

// ask is a caller's request.
type ask struct {
	client.Request
	answer answerTo
}

const (
	usualWithin = time.Second
	maxHops     = 1
)

func (a ask) apply(c *core) {
	if a.Within <= 0 {
		a.Within = usualWithin
	}
	answer := a.answer
	a.answer = func(x client.Response) { // every answer says who gives it
		x.Name, x.ID, x.Cluster, x.Level = c.Name, c.id(), c.identity.Cluster, state.NewestFeatureLevel
		x.Leader = c.leader()
		answer(x)
	}
	if now := c.ticksNow(); a.Tick > 0 && now > a.Tick+uint64((a.Within+client.Stale)/time.Millisecond) {
		// It has waited in this process, stopped, or on a link that was cut: whoever asked has given up, and may have said something
		// else since.
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: fmt.Sprintf("it has been on its way for up to %d ms", now-a.Tick)})
		return
	}
	switch a.Operation {
	case client.OpPropose:
		c.propose(a)
	case client.OpRead:
		c.read(a.Within, func(c *core, err error) {
			if err != nil {
				a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: err.Error()})
				return
			}
			a.answer(c.held())
		})
	case client.OpReadLocal:
		a.answer(c.held())
	case client.OpIdentify:
		a.answer(client.Response{Outcome: client.OutcomeDone})
	case client.OpBootstrap:
		c.form(a)
	case client.OpJoin:
		c.join(a)
	case client.OpDeclareLost:
		c.goneForGood(a)
	case client.OpStatus:
		text, err := json.Marshal(c.status())
		if err != nil {
			a.answer(client.Response{Outcome: client.OutcomeRejected, Message: err.Error()})
			return
		}
		a.answer(client.Response{Outcome: client.OutcomeDone, Body: text})
	default:
		a.answer(client.Response{Outcome: client.OutcomeRejected, Message: fmt.Sprintf("there is no verb %d", a.Operation)})
	}
}

// leader is the leader's name; empty: none is known.
func (c *core) leader() string {
	m, _ := c.state.Member(c.lead)
	return m.Name
}

// held is what this voter has.
func (c *core) held() client.Response {
	return client.Response{Outcome: client.OutcomeDone, Body: c.state.Encode(), Index: c.applied, Age: c.age()}
}

// age is how long ago a quorum confirmed that nothing newer was promised than what is here.
func (c *core) age() time.Duration {
	if c.fresh.IsZero() {
		return longAgo
	}
	return time.Since(c.fresh)
}

const longAgo = 1000 * time.Hour

// elsewhere passes a request on to the leader, if this voter is not it; it tells whether it did, or has answered.
func (c *core) elsewhere(a ask) bool {
	now := time.Now()
	switch {
	case c.node == nil:
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: "it belongs to no cluster yet: " + c.waits})
	case c.stalled(now):
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: fmt.Sprintf("the disk of %s has not answered for %v", c.Name, c.writer.pendingFor(now).Round(time.Millisecond))})
	case c.leading && c.ready:
		return false
	case c.leading:
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: "it has just been elected"})
	case c.lead == raft.None:
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: errNoLeader.Error()})
	case a.Hops >= maxHops:
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: "it does not lead"})
	default:
		leader := c.leader()
		go func() { // its answer, or what is known without one
			ctx, cancel := context.WithTimeout(c.ctx, a.Within)
			defer cancel()
			r := a.Request
			r.Hops, r.Within = r.Hops+1, 0
			x, err := c.caller.Call(ctx, leader, r)
			switch {
			case errors.Is(err, client.ErrNobody):
				x = client.Response{Outcome: client.OutcomeNotAttempted, Message: err.Error()}
			case err != nil:
				x = client.Response{Outcome: client.OutcomeUncertain, Message: err.Error()}
			}
			x.Number = a.Number
			c.hand(eventFunc(func(c *core) { a.answer(x) }))
		}()
	}
	return true
}

// propose lets the log have a command.
func (c *core) propose(a ask) {
	if c.elsewhere(a) {
		return
	}
	command, err := state.Decode(a.Command)
	if err == nil && state.IsInternal(command) {
		err = errors.New("such a command is not taken from outside")
	}
	if err == nil {
		err = command.Check()
	}
	if err != nil {
		a.answer(client.Response{Outcome: client.OutcomeRejected, Message: err.Error(), Result: state.Result{Rejection: state.RejectedInvalid, Message: err.Error()}})
		return
	}
	forgeFencingToken(command, c.state)
	if len(c.pending) >= maxPending {
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: fmt.Sprintf("%d promises wait for a quorum already", maxPending)})
		return
	}
	e := state.Envelope{ID: rand.Uint64(), Clock: c.clock(time.Now()), Command: command}
	if err := c.node.Propose(e.Encode()); err != nil {
		a.answer(client.Response{Outcome: client.OutcomeNotAttempted, Message: err.Error()})
		return
	}
	p := &proposal{answer: a.answer, until: time.Now().Add(a.Within)}
	if answerBeforeQuorum(p, c) {
		return
	}
	c.pending[e.ID] = p
}

// ours lets the log have a command of the cluster's own.
func (c *core) ours(command state.Command) {
	e := state.Envelope{ID: rand.Uint64(), Clock: c.clock(time.Now()), Command: command}
	c.node.Propose(e.Encode()) // dropped: the next turn tries again
}

// status is what the view shows.
func (c *core) status() client.VoterStatus {
	now := time.Now()
	hex := func(id uint64) string { return fmt.Sprintf("%x", id) }
	s := client.VoterStatus{
		Name: c.Name, ID: hex(c.id()), Role: "waiting", Leader: c.leader(), Applied: c.applied, AgeMS: c.age().Milliseconds(), ClockMS: c.state.Clock(),
		Level: state.NewestFeatureLevel, FeatureLevel: c.state.FeatureLevel(), UsedBytes: c.state.UsedBytes(), MaxBytes: state.MaxBytes, Grants: map[string]int{}, Followers: len(c.followers),
		Rejected: c.refused, LastRejected: c.lastNo, DiskMS: float64(c.disk.Microseconds()) / 1000, Fault: c.waits,
	}
	if c.stalled(now) {
		s.Fault = fmt.Sprintf("the disk has not answered for %v", c.writer.pendingFor(now).Round(time.Millisecond))
	}
	match := map[uint64]uint64{}
	if c.node != nil {
		b := c.node.BasicStatus()
		s.Cluster, s.Term, s.Committed = hex(c.identity.Cluster), b.GetTerm(), b.GetCommit()
		s.Role = map[raft.StateType]string{raft.StateFollower: "follower", raft.StateCandidate: "candidate", raft.StatePreCandidate: "candidate", raft.StateLeader: "leader"}[b.RaftState]
		c.node.WithProgress(func(id uint64, _ raft.ProgressType, p progress) { match[id] = p.Match })
	}
	for _, m := range c.state.Members() {
		x := client.MemberStatus{Name: m.Name, ID: hex(m.ID), Address: m.Address, Learner: m.Learner, LastContactMS: -1}
		if m.ID == c.id() {
			if x.LastContactMS = 0; m.Learner {
				s.Role = "learner"
			}
		} else if at, ok := c.heard[m.ID]; ok {
			x.LastContactMS = now.Sub(at).Milliseconds()
		}
		if c.leading && s.Committed > match[m.ID] {
			x.EntriesBehind = s.Committed - match[m.ID]
		}
		s.Members = append(s.Members, x)
	}
	for id, n := range c.newcomers {
		s.JoiningVoters = append(s.JoiningVoters, client.JoiningVoter{Name: n.Name, ID: hex(id), Reason: n.why})
	}
	for _, w := range c.state.Overrides() {
		s.Grants[w.Kind.String()]++
	}
	for _, b := range c.state.Resources() {
		s.Grants["bound"]++
		s.Grants["lease"] += len(b.Leases())
		for _, x := range b.Reserved() {
			s.Grants["slot"] += int(x.Places)
		}
	}
	return s
}
