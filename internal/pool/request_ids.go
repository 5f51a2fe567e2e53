package pool

import (
	"hash/maphash"
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
// open or have an attempt in flight, and non-idempotent ones that may have run although their client left before the
// response. The loop owns it.
type requestIDs struct {
	open       map[string]bool
	seed       maphash.Seed
	unanswered map[uint64]struct{} // hashes of the ids
	older      map[uint64]struct{} // those of the period before
	rotateAt   time.Duration
}

func newRequestIDs() requestIDs {
	return requestIDs{open: map[string]bool{}, seed: maphash.MakeSeed()}
}

// reset forgets the open ids, of which there are none, to give back their memory.
func (ids *requestIDs) reset() { ids.open = map[string]bool{} }

// isTaken reports whether a request with this id must not be sent.
func (ids *requestIDs) isTaken(id string, now time.Duration) bool {
	if ids.open[id] {
		return true
	}
	ids.rotate(now)
	if len(ids.unanswered) == 0 && len(ids.older) == 0 {
		return false
	}
	hash := maphash.String(ids.seed, id)
	_, isRecent := ids.unanswered[hash]
	_, isOlder := ids.older[hash]
	return isRecent || isOlder
}

// begin adds the id of a request.
func (ids *requestIDs) begin(id string) { ids.open[id] = true }

// end removes the id of a request without an attempt in flight.
func (ids *requestIDs) end(id string) { delete(ids.open, id) }

// remember adds the id of a request that may have run and has no response.
func (ids *requestIDs) remember(id string, now time.Duration) {
	ids.rotate(now)
	if ids.unanswered == nil {
		ids.unanswered = map[uint64]struct{}{}
	}
	if len(ids.unanswered) < maxUnanswered {
		ids.unanswered[maphash.String(ids.seed, id)] = struct{}{}
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
