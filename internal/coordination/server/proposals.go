package server

import (
	"fmt"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// maxUncommittedProposals bounds the proposals that no quorum has confirmed yet.
const maxUncommittedProposals = 8192

// responder takes the response to a request. It does not block.
type responder func(client.Response)

// proposal is a command whose client waits for an answer.
type proposal struct {
	respond  responder
	deadline time.Time
	// index and result are those of the command, once it is applied.
	index  uint64
	result state.Result
}

// proposals are the commands that this server has proposed as the leader and not answered yet. A proposal is first in
// uncommitted, then, once applied, in replicating, until enough voters have it on their disks; it gets exactly one
// response.
type proposals struct {
	uncommitted map[uint64]*proposal // by the id of the envelope in the log
	replicating []*proposal
}

func newProposals() proposals { return proposals{uncommitted: map[uint64]*proposal{}} }

// full reports whether no further proposal is taken.
func (p *proposals) full() bool { return len(p.uncommitted) >= maxUncommittedProposals }

func (p *proposals) add(id uint64, added *proposal) { p.uncommitted[id] = added }

// applied notes a command's result; it reports whether this server has proposed the command and owes an answer.
func (p *proposals) applied(id, index uint64, result state.Result) bool {
	found := p.uncommitted[id]
	if found == nil {
		return false
	}
	delete(p.uncommitted, id)
	found.index, found.result = index, result
	p.replicating = append(p.replicating, found)
	return true
}

// expire answers the proposals that were not committed in time.
func (p *proposals) expire(now time.Time) {
	for id, one := range p.uncommitted {
		if now.After(one.deadline) {
			delete(p.uncommitted, id)
			one.respond(client.Response{
				Outcome: client.OutcomeUncertain,
				Message: "no quorum has confirmed it in time",
			})
		}
	}
}

// respondToReplicated answers the applied proposals that enough voters have, that were rejected, or whose time is over.
// matchIndexes are those of the voters. It returns why proposals were rejected, in their order.
func (p *proposals) respondToReplicated(now time.Time, matchIndexes []uint64, writeQuorum int) (rejections []string) {
	waiting := p.replicating[:0]
	for _, one := range p.replicating {
		response, done := one.outcome(now, matchIndexes, writeQuorum)
		if !done {
			waiting = append(waiting, one)
			continue
		}
		if response.Outcome == client.OutcomeRejected {
			rejections = append(rejections, response.Message)
		}
		one.respond(response)
	}
	p.replicating = waiting
	return rejections
}

// outcome returns the response to an applied proposal; false: it has to wait for further voters.
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

// abandon answers all proposals that their outcome is not known.
func (p *proposals) abandon(reason string) {
	response := client.Response{Outcome: client.OutcomeUncertain, Message: reason}
	for id, one := range p.uncommitted {
		delete(p.uncommitted, id)
		one.respond(response)
	}
	for _, one := range p.replicating {
		one.respond(response)
	}
	p.replicating = nil
}

// answerReplicated answers the proposals that enough voters have by now.
func (c *core) answerReplicated(now time.Time) {
	if len(c.proposals.replicating) == 0 {
		return
	}
	for _, reason := range c.proposals.respondToReplicated(now, c.voterMatchIndexes(), c.WriteQuorum) {
		c.rejections++
		c.lastRejection = reason
	}
}
