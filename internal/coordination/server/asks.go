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
	a.answer = func(x client.Answer) { // every answer says who gives it
		x.Name, x.ID, x.Cluster, x.Level = c.Name, c.id(), c.identity.Cluster, state.Newest
		x.Leader = c.leader()
		answer(x)
	}
	if now := c.ticksNow(); a.Tick > 0 && now > a.Tick+uint64((a.Within+client.Stale)/time.Millisecond) {
		// It has waited in this process, stopped, or on a link that was cut: whoever asked has given up, and may have said something
		// else since.
		a.answer(client.Answer{Outcome: client.Nowhere, Text: fmt.Sprintf("it has been on its way for up to %d ms", now-a.Tick)})
		return
	}
	switch a.Verb {
	case client.Propose:
		c.propose(a)
	case client.Read:
		c.read(a.Within, func(c *core, err error) {
			if err != nil {
				a.answer(client.Answer{Outcome: client.Nowhere, Text: err.Error()})
				return
			}
			a.answer(c.held())
		})
	case client.Local:
		a.answer(c.held())
	case client.Who:
		a.answer(client.Answer{Outcome: client.Yes})
	case client.Form:
		c.form(a)
	case client.Join:
		c.join(a)
	case client.Gone:
		c.goneForGood(a)
	case client.Status:
		text, err := json.Marshal(c.status())
		if err != nil {
			a.answer(client.Answer{Outcome: client.No, Text: err.Error()})
			return
		}
		a.answer(client.Answer{Outcome: client.Yes, Body: text})
	default:
		a.answer(client.Answer{Outcome: client.No, Text: fmt.Sprintf("there is no verb %d", a.Verb)})
	}
}

// leader is the leader's name; empty: none is known.
func (c *core) leader() string {
	m, _ := c.state.Member(c.lead)
	return m.Name
}

// held is what this voter has.
func (c *core) held() client.Answer {
	return client.Answer{Outcome: client.Yes, Body: c.state.Encode(), Index: c.applied, Age: c.age()}
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
		a.answer(client.Answer{Outcome: client.Nowhere, Text: "it belongs to no cluster yet: " + c.waits})
	case c.stalled(now):
		a.answer(client.Answer{Outcome: client.Nowhere, Text: fmt.Sprintf("the disk of %s has not answered for %v", c.Name, c.writer.owes(now).Round(time.Millisecond))})
	case c.leading && c.ready:
		return false
	case c.leading:
		a.answer(client.Answer{Outcome: client.Nowhere, Text: "it has just been elected"})
	case c.lead == raft.None:
		a.answer(client.Answer{Outcome: client.Nowhere, Text: errNoLeader.Error()})
	case a.Hops >= maxHops:
		a.answer(client.Answer{Outcome: client.Nowhere, Text: "it does not lead"})
	default:
		leader := c.leader()
		go func() { // its answer, or what is known without one
			ctx, cancel := context.WithTimeout(c.ctx, a.Within)
			defer cancel()
			r := a.Request
			r.Hops, r.Within = r.Hops+1, 0
			x, err := c.caller.Ask(ctx, leader, r)
			switch {
			case errors.Is(err, client.ErrNobody):
				x = client.Answer{Outcome: client.Nowhere, Text: err.Error()}
			case err != nil:
				x = client.Answer{Outcome: client.Unsure, Text: err.Error()}
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
	if err == nil && state.Ours(command) {
		err = errors.New("such a command is not taken from outside")
	}
	if err == nil {
		err = command.Check()
	}
	if err != nil {
		a.answer(client.Answer{Outcome: client.No, Text: err.Error(), Result: state.Result{Reason: state.Invalid, Text: err.Error()}})
		return
	}
	twist(command, c.state)
	if len(c.pending) >= maxPending {
		a.answer(client.Answer{Outcome: client.Nowhere, Text: fmt.Sprintf("%d promises wait for a quorum already", maxPending)})
		return
	}
	e := state.Envelope{ID: rand.Uint64(), Clock: c.clock(time.Now()), Command: command}
	if err := c.node.Propose(e.Encode()); err != nil {
		a.answer(client.Answer{Outcome: client.Nowhere, Text: err.Error()})
		return
	}
	p := &proposal{answer: a.answer, until: time.Now().Add(a.Within)}
	if early(p, c) {
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
		Level: state.Newest, Raised: c.state.Raised(), UsedBytes: c.state.Used(), MaxBytes: state.MaxBytes, Promises: map[string]int{}, Followers: len(c.followers),
		Refused: c.refused, LastRefused: c.lastNo, DiskMS: float64(c.disk.Microseconds()) / 1000, Trouble: c.waits,
	}
	if c.stalled(now) {
		s.Trouble = fmt.Sprintf("the disk has not answered for %v", c.writer.owes(now).Round(time.Millisecond))
	}
	match := map[uint64]uint64{}
	if c.node != nil {
		b := c.node.BasicStatus()
		s.Cluster, s.Term, s.Committed = hex(c.identity.Cluster), b.GetTerm(), b.GetCommit()
		s.Role = map[raft.StateType]string{raft.StateFollower: "follower", raft.StateCandidate: "candidate", raft.StatePreCandidate: "candidate", raft.StateLeader: "leader"}[b.RaftState]
		c.node.WithProgress(func(id uint64, _ raft.ProgressType, p progress) { match[id] = p.Match })
	}
	for _, m := range c.state.Members() {
		x := client.MemberStatus{Name: m.Name, ID: hex(m.ID), Address: m.Address, Learner: m.Learner, HeardMS: -1}
		if m.ID == c.id() {
			if x.HeardMS = 0; m.Learner {
				s.Role = "learner"
			}
		} else if at, ok := c.heard[m.ID]; ok {
			x.HeardMS = now.Sub(at).Milliseconds()
		}
		if c.leading && s.Committed > match[m.ID] {
			x.Behind = s.Committed - match[m.ID]
		}
		s.Members = append(s.Members, x)
	}
	for id, n := range c.newcomers {
		s.Newcomers = append(s.Newcomers, client.Newcomer{Name: n.Name, ID: hex(id), Why: n.why})
	}
	for _, w := range c.state.Words() {
		s.Promises[w.Kind.String()]++
	}
	for _, b := range c.state.Bounds() {
		s.Promises["bound"]++
		s.Promises["lease"] += len(b.Leases())
		for _, x := range b.Booked() {
			s.Promises["slot"] += int(x.Places)
		}
	}
	return s
}
