package pool

import (
	"slices"
	"time"
)

// ShareRequestIDs calls announce with all ids that must not be sent again, and from then on with each change, for the
// peer process of a hot restart. announce must not block; nil: the sharing ends.
func (p *Pool) ShareRequestIDs(announce func(RequestIDChanges)) {
	p.loop.enqueueUrgent(requestIDsShared{announce})
}

// AdoptRequestIDs applies changes at the peer process.
func (p *Pool) AdoptRequestIDs(changes RequestIDChanges) {
	p.loop.enqueueUrgent(requestIDsChanged{changes})
}

// PeerProcessEnded is called once the peer process has ended: what it had in flight may have run.
func (p *Pool) PeerProcessEnded() { p.loop.enqueueUrgent(peerProcessEnded{}) }

// requestIDsShared is a call of ShareRequestIDs.
type requestIDsShared struct{ announce func(RequestIDChanges) }

func (e requestIDsShared) apply(l *loop) {
	ids := &l.clientRequestIDs
	ids.announce = e.announce
	if e.announce == nil {
		return
	}
	for id, reuse := range ids.open {
		e.announce(begunChange(hashOfID(id), reuse))
	}
	ids.rotate(l.now())
	for _, unanswered := range []map[uint64]struct{}{ids.older, ids.unanswered} {
		for part := range slices.Chunk(hashes(unanswered), maxAnnounced) {
			e.announce(RequestIDChanges{Unanswered: part})
		}
	}
}

func hashes(set map[uint64]struct{}) []uint64 {
	all := make([]uint64, 0, len(set))
	for hash := range set {
		all = append(all, hash)
	}
	return all
}

// requestIDsChanged is a call of AdoptRequestIDs.
type requestIDsChanged struct{ changes RequestIDChanges }

func (e requestIDsChanged) apply(l *loop) { l.clientRequestIDs.adopt(e.changes, l.now()) }

// adopt applies changes at the peer process.
func (ids *requestIDs) adopt(changes RequestIDChanges, now time.Duration) {
	if ids.peer == nil {
		ids.peer = map[uint64]idReuse{}
	}
	for _, hash := range changes.Begun {
		ids.peer[hash] = mayRunAgain
	}
	for _, hash := range changes.BegunOnce {
		ids.peer[hash] = runsOnce
	}
	for _, hash := range changes.Unanswered {
		ids.rememberHash(hash, now)
	}
	for _, hash := range changes.Ended {
		delete(ids.peer, hash)
	}
}

// peerProcessEnded is a call of PeerProcessEnded.
type peerProcessEnded struct{}

func (peerProcessEnded) apply(l *loop) { l.clientRequestIDs.forgetPeer(l.now()) }

// forgetPeer forgets what is in flight at the peer process, which has ended. What must not run again may have run.
func (ids *requestIDs) forgetPeer(now time.Duration) {
	for hash, reuse := range ids.peer {
		if reuse == runsOnce {
			ids.rememberHash(hash, now)
		}
	}
	ids.peer = nil
}
