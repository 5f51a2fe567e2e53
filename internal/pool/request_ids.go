package pool

import (
	"hash/fnv"
	"io"
	"time"
)

const (
	// unansweredPeriod is how often the older half of the unanswered ids is forgotten: an id is remembered for once to
	// twice as long.
	unansweredPeriod = 10 * time.Second
	// maxUnanswered bounds the unanswered ids of a period, which take some 30 bytes each.
	maxUnanswered = 16 << 10
)

// requestIDs holds the ids that clients gave to requests which must not be sent again under the same id: those that are
// open or have an attempt in flight, here or at the peer process of a hot restart, and non-idempotent ones that may
// have run although their client left before the response. The loop owns it.
type requestIDs struct {
	open       map[string]idReuse
	peer       map[uint64]idReuse  // hashes of the ids that are open at the peer process
	unanswered map[uint64]struct{} // hashes of the ids
	older      map[uint64]struct{} // those of the period before
	rotateAt   time.Duration

	announce func(RequestIDChanges) // tells the peer process; nil: there is none
}

// idReuse says whether a request may run again under the same id once it has ended.
type idReuse bool

const (
	runsOnce     idReuse = false
	mayRunAgain  idReuse = true
	maxAnnounced         = 4000 // ids in one message to the peer process
)

// RequestIDChanges are changes of the ids of requests, by their hashes.
type RequestIDChanges struct {
	Begun      []uint64 // of requests that may run again once they have ended
	BegunOnce  []uint64 // of requests that must never run again
	Unanswered []uint64 // of such requests that may have run and have no response
	Ended      []uint64 // of requests that are not in flight any more
}

func newRequestIDs() requestIDs { return requestIDs{open: map[string]idReuse{}} }

// hashOfID returns the hash of an id, which is the same in all processes.
func hashOfID(id string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, id) // never fails
	return hash.Sum64()
}

// reset forgets the open ids, of which there are none, to give back their memory.
func (ids *requestIDs) reset() { ids.open = map[string]idReuse{} }

// isTaken reports whether a request with this id must not be sent.
func (ids *requestIDs) isTaken(id string, now time.Duration) bool {
	if _, isOpen := ids.open[id]; isOpen {
		return true
	}
	ids.rotate(now)
	if len(ids.unanswered)+len(ids.older)+len(ids.peer) == 0 {
		return false
	}
	hash := hashOfID(id)
	_, isRecent := ids.unanswered[hash]
	_, isOlder := ids.older[hash]
	_, isPeers := ids.peer[hash]
	return isRecent || isOlder || isPeers
}

// begin adds the id of a request.
func (ids *requestIDs) begin(id string, reuse idReuse) {
	ids.open[id] = reuse
	if ids.announce != nil {
		ids.announce(begunChange(hashOfID(id), reuse))
	}
}

func begunChange(hash uint64, reuse idReuse) RequestIDChanges {
	if reuse == mayRunAgain {
		return RequestIDChanges{Begun: []uint64{hash}}
	}
	return RequestIDChanges{BegunOnce: []uint64{hash}}
}

// end removes the id of a request without an attempt in flight.
func (ids *requestIDs) end(id string) {
	delete(ids.open, id)
	if ids.announce != nil {
		ids.announce(RequestIDChanges{Ended: []uint64{hashOfID(id)}})
	}
}

// remember adds the id of a request that may have run and has no response.
func (ids *requestIDs) remember(id string, now time.Duration) {
	hash := hashOfID(id)
	ids.rememberHash(hash, now)
	if ids.announce != nil {
		ids.announce(RequestIDChanges{Unanswered: []uint64{hash}})
	}
}

func (ids *requestIDs) rememberHash(hash uint64, now time.Duration) {
	ids.rotate(now)
	if ids.unanswered == nil {
		ids.unanswered = map[uint64]struct{}{}
	}
	if len(ids.unanswered) < maxUnanswered {
		ids.unanswered[hash] = struct{}{}
	}
}

// rotate forgets the ids of the period before the last one.
func (ids *requestIDs) rotate(now time.Duration) {
	if now < ids.rotateAt {
		return
	}
	ids.older = ids.unanswered
	ids.unanswered = nil
	ids.rotateAt += unansweredPeriod
	if now >= ids.rotateAt { // nothing was asked for a whole period
		ids.older = nil
		ids.rotateAt = now + unansweredPeriod
	}
}
