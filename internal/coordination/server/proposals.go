package server

import (
	"fmt"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// maxUncommittedProposals bounds the proposals that have not been applied yet.
const maxUncommittedProposals = 8192

// responder sends the response to a request. It does not block.
type responder func(client.Response)

// proposal is a command whose client waits for a response.
type proposal struct {
	respond  responder
	deadline time.Time
	// index is the command's log index. It and the result are set when the command is applied.
	index  uint64
	result state.Result
}

// proposals are the commands that this server has proposed as the leader and not responded to yet. A proposal is in
// uncommitted until it is applied, and then in replicating until enough voters have stored it on disk. Each proposal
// gets exactly one response.
type proposals struct {
	uncommitted map[uint64]*proposal // by the id of the command's envelope in the log
	replicating []*proposal
}

func newProposals() proposals { return proposals{uncommitted: map[uint64]*proposal{}} }

// full reports whether the limit on uncommitted proposals is reached.
func (p *proposals) full() bool { return len(p.uncommitted) >= maxUncommittedProposals }

func (p *proposals) add(id uint64, added *proposal) { p.uncommitted[id] = added }

// applied records a command's result. It reports whether the command is a proposal of this server that still waits for
// its response.
func (p *proposals) applied(id, index uint64, result state.Result) bool {
	pending := p.uncommitted[id]
	if pending == nil {
		return false
	}
	delete(p.uncommitted, id)
	pending.index, pending.result = index, result
	p.replicating = append(p.replicating, pending)
	return true
}

// expire responds to the proposals that were not committed before their deadline.
func (p *proposals) expire(now time.Time) {
	for id, pending := range p.uncommitted {
		if now.After(pending.deadline) {
			delete(p.uncommitted, id)
			pending.respond(client.Response{
				Outcome: client.OutcomeUncertain,
				Message: "no quorum has confirmed it in time",
			})
		}
	}
}

// respondToReplicated responds to the applied proposals that enough voters have stored, that were rejected, or whose
// deadline has passed. matchIndexes are the voters' match indexes. It returns the reasons of rejections, in the order
// of the proposals.
func (p *proposals) respondToReplicated(now time.Time, matchIndexes []uint64, writeQuorum int) (rejections []string) {
	waiting := p.replicating[:0]
	for _, pending := range p.replicating {
		response, done := pending.outcome(now, matchIndexes, writeQuorum)
		if !done {
			waiting = append(waiting, pending)
			continue
		}
		if response.Outcome == client.OutcomeRejected {
			rejections = append(rejections, response.Message)
		}
		pending.respond(response)
	}
	p.replicating = waiting
	return rejections
}

// outcome returns the response to an applied proposal, or false if the proposal has to wait for more voters.
func (p *proposal) outcome(now time.Time, matchIndexes []uint64, writeQuorum int) (client.Response, bool) {
	stored := 0
	for _, match := range matchIndexes {
		if match >= p.index {
			stored++
		}
	}
	response := client.Response{Stored: stored, Voters: len(matchIndexes)}
	switch {
	case !p.result.OK():
		response.Outcome = client.OutcomeRejected
		response.Message = p.result.Message
		response.Result = p.result
	case stored >= min(writeQuorum, len(matchIndexes)):
		response.Outcome = client.OutcomeDone
		response.Result = p.result
	case now.After(p.deadline):
		response.Outcome = client.OutcomeUncertain
		response.Message = fmt.Sprintf("%d voters have it, and %d are wanted", stored, writeQuorum)
	default:
		return client.Response{}, false
	}
	return response, true
}

// abandonAll responds to all proposals that their outcome is uncertain.
func (p *proposals) abandonAll(reason string) {
	response := client.Response{Outcome: client.OutcomeUncertain, Message: reason}
	for id, pending := range p.uncommitted {
		delete(p.uncommitted, id)
		pending.respond(response)
	}
	for _, pending := range p.replicating {
		pending.respond(response)
	}
	p.replicating = nil
}

// answerReplicated responds to the applied proposals whose outcome is known by now.
func (c *core) answerReplicated(now time.Time) {
	if len(c.proposals.replicating) == 0 {
		return
	}
	for _, reason := range c.proposals.respondToReplicated(now, c.voterMatchIndexes(), c.WriteQuorum) {
		c.rejections++
		c.lastRejection = reason
	}
}
