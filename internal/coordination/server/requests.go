package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// defaultRequestTimeout applies to requests without a timeout.
const defaultRequestTimeout = time.Second

// maxForwardHops bounds how many times a request may be forwarded.
const maxForwardHops = 1

// request is the event that a request from a client was received.
type request struct {
	client.Request
	respond responder
}

// reject responds that the request is rejected; a retry would be rejected too.
func (r request) reject(reason string) {
	r.respond(client.Response{Outcome: client.OutcomeRejected, Message: reason})
}

// respondNotAttempted responds that the request had no effect, and may succeed at another server or later.
func (r request) respondNotAttempted(reason string) {
	r.respond(client.Response{Outcome: client.OutcomeNotAttempted, Message: reason})
}

// respondDone responds that the request succeeded.
func (r request) respondDone() { r.respond(client.Response{Outcome: client.OutcomeDone}) }

// apply implements event.
func (r request) apply(c *core) {
	if r.Within <= 0 {
		r.Within = defaultRequestTimeout
	}
	r.respond = c.withServerIdentity(r.respond)
	if delay, stale := r.stale(c.uptime.now()); stale {
		r.respondNotAttempted(fmt.Sprintf("it has been on its way for up to %d ms", delay))
		return
	}
	c.dispatch(r)
}

// dispatch serves a request by its operation.
func (c *core) dispatch(req request) {
	switch req.Operation {
	case client.OpPropose:
		c.propose(req)
	case client.OpRead:
		c.readState(req)
	case client.OpReadLocal:
		req.respond(c.localState())
	case client.OpIdentify:
		req.respondDone()
	case client.OpBootstrap:
		c.handleBootstrap(req)
	case client.OpJoin:
		c.handleJoin(req)
	case client.OpDeclareLost:
		c.handleDeclareLost(req)
	case client.OpStatus:
		c.reportStatus(req)
	default:
		req.reject(fmt.Sprintf("there is no operation %d", req.Operation))
	}
}

// stale reports whether a request was delayed for longer than its client waits, for example by a suspended process or a
// broken link. The client has given up such a request and may have sent a different one since. delay and now are in
// milliseconds; now is the server's uptime.
func (r request) stale(now uint64) (delay uint64, stale bool) {
	if r.Tick == 0 || now <= r.Tick+uint64((r.Within+client.StaleAfter)/time.Millisecond) {
		return 0, false
	}
	return now - r.Tick, true
}

// withServerIdentity returns a responder that adds this server's identity and its known leader to the response.
func (c *core) withServerIdentity(respond responder) responder {
	return func(response client.Response) {
		response.Name, response.ID = c.Name, c.id()
		response.Cluster, response.Leader = c.identity.Cluster, c.leaderName()
		response.Level = state.NewestFeatureLevel
		respond(response)
	}
}

// readState responds with the state after a linearizable read.
func (c *core) readState(req request) {
	c.read(req.Within, func(err error) {
		if err != nil {
			req.respondNotAttempted(err.Error())
			return
		}
		req.respond(c.localState())
	})
}

// localState returns a response with this server's copy of the state, which may be out of date, and its age.
func (c *core) localState() client.Response {
	return client.Response{
		Outcome: client.OutcomeDone,
		Body:    c.state.Encode(),
		Index:   c.applied,
		Age:     c.reads.age(),
	}
}

// reportStatus responds with the server's status as JSON.
func (c *core) reportStatus(req request) {
	encoded, err := json.Marshal(c.status(time.Now()))
	if err != nil {
		req.reject(err.Error())
		return
	}
	req.respond(client.Response{Outcome: client.OutcomeDone, Body: encoded})
}

// redirect forwards a request to the leader, or responds that it was not attempted if that is impossible. It returns
// false, and does neither, if this server is a ready leader and has to serve the request itself.
func (c *core) redirect(req request) bool {
	now := time.Now()
	switch {
	case c.node == nil:
		req.respondNotAttempted(noClusterReason + ": " + c.bootstrap.waitReason)
	case c.diskStalled(now):
		req.respondNotAttempted(fmt.Sprintf("the disk of %s has not answered for %v", c.Name, c.diskStall(now)))
	case c.leadership.canPropose():
		return false
	case c.leadership.leading:
		req.respondNotAttempted("it has just been elected")
	case !c.leaderKnown():
		req.respondNotAttempted(errNoLeader.Error())
	case req.Hops >= maxForwardHops:
		req.respondNotAttempted("it does not lead")
	default:
		go c.forward(req, c.leaderName())
	}
	return true
}

// diskStall returns how long the disk has not confirmed a write, rounded for messages.
func (c *core) diskStall(now time.Time) time.Duration {
	return c.writer.pendingFor(now).Round(time.Millisecond)
}

// forward sends a request to the leader and responds with the leader's response. Without one, it responds that the
// request was not attempted or that its outcome is uncertain. It runs in its own goroutine.
func (c *core) forward(req request, leader string) {
	ctx, cancel := context.WithTimeout(c.ctx, req.Within)
	defer cancel()
	forwarded := req.Request
	forwarded.Hops++
	forwarded.Within = 0
	response, err := c.caller.Call(ctx, leader, forwarded)
	switch {
	case errors.Is(err, client.ErrNotAttempted):
		response = client.Response{Outcome: client.OutcomeNotAttempted, Message: err.Error()}
	case err != nil:
		response = client.Response{Outcome: client.OutcomeUncertain, Message: err.Error()}
	}
	response.Number = req.Number
	c.submit(eventFunc(func(*core) { req.respond(response) }))
}

// propose proposes a client's command, as the leader.
func (c *core) propose(req request) {
	if c.redirect(req) {
		return
	}
	command, err := decodeProposable(req.Command)
	if err != nil {
		req.respond(client.Response{
			Outcome: client.OutcomeRejected,
			Message: err.Error(),
			Result:  state.Result{Rejection: state.RejectedInvalid, Message: err.Error()},
		})
		return
	}
	forgeFencingToken(command, c.state)
	if c.proposals.full() {
		req.respondNotAttempted(fmt.Sprintf("%d promises wait for a quorum already", maxUncommittedProposals))
		return
	}
	envelope := c.envelope(command)
	if err := c.node.Propose(envelope.Encode()); err != nil {
		req.respondNotAttempted(err.Error())
		return
	}
	added := &proposal{respond: req.respond, deadline: time.Now().Add(req.Within)}
	if answerBeforeQuorum(added, c) {
		return
	}
	c.proposals.add(envelope.ID, added)
}

// decodeProposable decodes and checks a command. It returns an error for commands that only servers may propose.
func decodeProposable(encoded []byte) (state.Command, error) {
	command, err := state.Decode(encoded)
	if err != nil {
		return nil, err
	}
	if state.IsServerOnly(command) {
		return nil, errors.New("such a command is not taken from outside")
	}
	if err := command.Check(); err != nil {
		return nil, err
	}
	return command, nil
}

// proposeInternal proposes a command of the server itself, without waiting for the result.
func (c *core) proposeInternal(command state.Command) {
	_ = c.node.Propose(c.envelope(command).Encode()) // if it is dropped, the next review proposes it again
}

// envelope returns a command with a random id and the current value of the cluster's clock.
func (c *core) envelope(command state.Command) state.Envelope {
	return state.Envelope{ID: rand.Uint64(), Clock: c.leadership.clock.at(time.Now()), Command: command}
}
