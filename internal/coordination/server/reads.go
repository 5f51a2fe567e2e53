package server

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
)

// readRetryInterval is after how long without an answer a quorum is asked again.
const readRetryInterval = 4 * tickInterval

// readContextSize is the size in bytes of the context by which the Raft library names a read.
const readContextSize = 16

// The reasons for which a request can't be confirmed by a quorum. Clients and operators see these texts.
var (
	errNoLeader = errors.New("no voter leads: no quorum can be reached from here")
	errNoQuorum = errors.New("no quorum has answered in time")
)

// linearizableRead waits until a quorum has confirmed how far the log had come at its start, and until all of that is
// applied here (ReadIndex; Ongaro's thesis, 6.4).
type linearizableRead struct {
	done       func(err error) // called once; it does not block
	start      time.Time
	lastSent   time.Time // when a quorum was last asked
	deadline   time.Time
	startIndex uint64 // of the log at the start, once confirmed
}

// reads are the linearizable reads under way. One is first unconfirmed, then unapplied; each ends exactly once.
type reads struct {
	voter       uint64 // this server's member id
	lastNumber  uint64
	unconfirmed map[uint64]*linearizableRead // by number
	unapplied   []*linearizableRead
	// confirmedAt is the start of the newest read that has finished: all that was committed by then is applied here.
	// Zero: no read has finished.
	confirmedAt time.Time
}

// newReads begins to count reads at a random number: an answer to one of an earlier process of this member must not
// pass for one to a read of this process.
func newReads(voter uint64) reads {
	return reads{voter: voter, lastNumber: rand.Uint64(), unconfirmed: map[uint64]*linearizableRead{}}
}

// begin adds a read. It returns the context by which the Raft library is to be asked.
func (r *reads) begin(now time.Time, timeout time.Duration, done func(error)) []byte {
	r.lastNumber++
	r.unconfirmed[r.lastNumber] = &linearizableRead{done: done, start: now, lastSent: now, deadline: now.Add(timeout)}
	return r.encodeContext(r.lastNumber)
}

// encodeContext names a read. It holds the voter too, since a leader takes two of one context for one read.
func (r *reads) encodeContext(number uint64) []byte {
	encoded := make([]byte, 0, readContextSize)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(encoded, r.voter), number)
}

// confirmed notes the index that a quorum has confirmed for a read; it reports whether the context names one under way.
func (r *reads) confirmed(context []byte, index uint64) bool {
	if len(context) != readContextSize {
		return false
	}
	number := binary.BigEndian.Uint64(context[8:])
	read := r.unconfirmed[number]
	if read == nil {
		return false
	}
	delete(r.unconfirmed, number)
	read.startIndex = index
	r.unapplied = append(r.unapplied, read)
	return true
}

// finishApplied ends the reads whose index is applied by now.
func (r *reads) finishApplied(applied uint64) {
	waiting := r.unapplied[:0]
	var finished []*linearizableRead
	for _, read := range r.unapplied {
		if read.startIndex <= applied {
			finished = append(finished, read)
		} else {
			waiting = append(waiting, read)
		}
	}
	r.unapplied = waiting
	for _, read := range finished {
		if read.start.After(r.confirmedAt) {
			r.confirmedAt = read.start
		}
		read.done(nil)
	}
}

// expire ends the reads whose time is over with errNoQuorum.
func (r *reads) expire(now time.Time) {
	for number, read := range r.unconfirmed {
		if now.After(read.deadline) {
			delete(r.unconfirmed, number)
			read.done(errNoQuorum)
		}
	}
	waiting := r.unapplied[:0]
	var expired []*linearizableRead
	for _, read := range r.unapplied {
		if now.After(read.deadline) {
			expired = append(expired, read)
		} else {
			waiting = append(waiting, read)
		}
	}
	r.unapplied = waiting
	for _, read := range expired {
		read.done(errNoQuorum)
	}
}

// retries returns the contexts of reads to ask for again: a change of the leader, or a link that breaks, may have lost
// the question or its answer.
func (r *reads) retries(now time.Time) [][]byte {
	var contexts [][]byte
	for number, read := range r.unconfirmed {
		if now.Sub(read.lastSent) > readRetryInterval {
			read.lastSent = now
			contexts = append(contexts, r.encodeContext(number))
		}
	}
	return contexts
}

// age returns the time since confirmedAt; longAgo where that is zero.
func (r *reads) age() time.Duration {
	if r.confirmedAt.IsZero() {
		return longAgo
	}
	return time.Since(r.confirmedAt)
}

// longAgo stands for a moment that never was.
const longAgo = 1000 * time.Hour

// read calls done once all that was committed before is applied here, or with errNoLeader or errNoQuorum.
func (c *core) read(timeout time.Duration, done func(err error)) {
	now := time.Now()
	if c.node == nil || !c.leaderKnown() || c.diskStalled(now) {
		done(errNoLeader)
		return
	}
	c.node.ReadIndex(c.reads.begin(now, timeout, done))
}

// readConfirmed goes on with a read that a quorum has answered.
func (c *core) readConfirmed(confirmed raft.ReadState) {
	if c.reads.confirmed(confirmed.RequestCtx, confirmed.Index) {
		c.reads.finishApplied(c.applied)
	}
}

// retryReads ends reads whose time is over and asks a quorum again for those without an answer.
func (c *core) retryReads(now time.Time) {
	c.reads.expire(now)
	if c.node == nil || !c.leaderKnown() {
		return
	}
	for _, context := range c.reads.retries(now) {
		c.node.ReadIndex(context)
	}
}
