package server

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
)

// readRetryInterval is how long a read waits for a quorum before the request to the quorum is repeated.
const readRetryInterval = 4 * tickInterval

// readContextSize is the size in bytes of the context that identifies a read in the Raft library.
const readContextSize = 16

// The reasons why a quorum could not confirm a read. Clients and operators see these texts.
var (
	errNoLeader = errors.New("no voter leads: no quorum can be reached from here")
	errNoQuorum = errors.New("no quorum has answered in time")
)

// linearizableRead waits until a quorum has confirmed the commit index at its start, and until the log is applied here
// up to that index (ReadIndex; Ongaro, "Consensus: Bridging Theory and Practice", section 6.4).
type linearizableRead struct {
	done       func(err error) // called exactly once; must not block
	start      time.Time
	lastSent   time.Time // when a quorum was last asked
	deadline   time.Time
	startIndex uint64 // commit index at the start; set when a quorum has confirmed it
}

// reads are the linearizable reads in progress. A read is in unconfirmed until a quorum has confirmed its index, and
// then in unapplied until that index is applied. Each read ends exactly once.
type reads struct {
	voter       uint64 // this server's member id
	lastNumber  uint64
	unconfirmed map[uint64]*linearizableRead // by number
	unapplied   []*linearizableRead
	// confirmedAt is the latest start of a finished read: everything committed before that time is applied here. It
	// is zero if no read has finished.
	confirmedAt time.Time
}

// newReads returns an empty set of reads. Their numbers start at a random one, so that a late confirmation of a read by
// an earlier process of this member is not taken for one of this process.
func newReads(voter uint64) reads {
	return reads{voter: voter, lastNumber: rand.Uint64(), unconfirmed: map[uint64]*linearizableRead{}}
}

// begin adds a read. It returns the context to pass to the Raft library.
func (r *reads) begin(now time.Time, timeout time.Duration, done func(error)) []byte {
	r.lastNumber++
	r.unconfirmed[r.lastNumber] = &linearizableRead{done: done, start: now, lastSent: now, deadline: now.Add(timeout)}
	return r.encodeContext(r.lastNumber)
}

// encodeContext returns the context of a read. It includes the voter's id, since the leader treats reads with equal
// contexts as one read.
func (r *reads) encodeContext(number uint64) []byte {
	encoded := make([]byte, 0, readContextSize)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(encoded, r.voter), number)
}

// confirmed records the index that a quorum has confirmed for a read. It reports whether the context is that of an
// unconfirmed read.
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

// finishApplied ends the reads whose index is applied, given the index of the last applied entry.
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

// expire ends, with errNoQuorum, the reads whose deadline has passed.
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

// retries returns the contexts of reads to request again: a change of the leader or a broken link may have lost the
// request or the confirmation.
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

// age returns the time since confirmedAt, or unknownAge if no read has finished.
func (r *reads) age() time.Duration {
	if r.confirmedAt.IsZero() {
		return unknownAge
	}
	return time.Since(r.confirmedAt)
}

// unknownAge is the time since an event that has not happened yet: longer than any timeout.
const unknownAge = 1000 * time.Hour

// read starts a linearizable read. It calls done with nil when everything committed before the call is applied here,
// and otherwise with errNoLeader or errNoQuorum.
func (c *core) read(timeout time.Duration, done func(err error)) {
	now := time.Now()
	if c.node == nil || !c.leaderKnown() || c.diskStalled(now) {
		done(errNoLeader)
		return
	}
	c.node.ReadIndex(c.reads.begin(now, timeout, done))
}

// readConfirmed handles the confirmation of a read by a quorum.
func (c *core) readConfirmed(confirmed raft.ReadState) {
	if c.reads.confirmed(confirmed.RequestCtx, confirmed.Index) {
		c.reads.finishApplied(c.applied)
	}
}

// retryReads ends expired reads and repeats the requests of unconfirmed ones.
func (c *core) retryReads(now time.Time) {
	c.reads.expire(now)
	if c.node == nil || !c.leaderKnown() {
		return
	}
	for _, context := range c.reads.retries(now) {
		c.node.ReadIndex(context)
	}
}
