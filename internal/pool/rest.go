package pool

import (
	"fmt"
	"iter"
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
)

// This file is about pools to which no request comes. Such a pool has no goroutine and no timer that has nothing to do: it is
// parked, and its mailbox starts the goroutine again. One that no request has come to, or none for a while, is not even made: it
// holds its list as it was told, and what must not be forgotten. One with so many nodes that its first request would wait for
// it to be made is made when its list is told, and stays.

const (
	// madeFor is how long a pool stays made with no request and no connection. To make one takes about a microsecond a node: for one
	// that is asked more often than this the time to answer would show it, and what is held longer is held for less.
	madeFor = time.Minute
	// firstMost is how many nodes a pool may have that is made for its first request, which may wait 1.1 ms in all: half of it.
	firstMost = 512
	// parkLeast is the time to the next alarm from which it is worth to end the goroutine until then.
	parkLeast = 10 * time.Millisecond
)

// unmade is what a pool holds that is not made: the list as it was told, less what is gone, and what was learnt of it.
type unmade struct {
	members []discovery.Member // never changed in place: the keeper may have them too
	memory  balancer.Snapshot  // only of upstreams that have answered or are silent
	marks   map[string]mark    // by name, where there is one
}

// mark is what a pool notes of an upstream beside the module.
type mark struct {
	strays, spoilt uint64
	why            string
}

// mayRest tells whether the pool may be parked and given back. Where the module asks discovery or probes its upstreams, it has to
// go on.
func (l *loop) mayRest() bool {
	return l.settings.SuspendWhenIdle && !l.settings.PollDiscovery && l.settings.Reports != balancer.ReportHealthChecks
}

// made tells whether the pool has a module, with its upstreams.
func (l *loop) made() bool { return l.balancer != nil }

// make makes the module and the peers, of what the pool holds without them.
func (l *loop) make() error {
	if l.made() {
		return nil
	}
	l.makes++
	b, err := balancer.New(l.settings, l.seed+l.makes-1, l.now(), l)
	if err != nil {
		return err
	}
	held := l.unmade
	n := len(held.members)
	l.peers, l.names, l.room = make(map[balancer.UpstreamID]*peer, n), discovery.NewNamesFor(n), make([]peer, n)
	l.balancer, l.unmade, l.emptyAt = b, unmade{}, 0
	if l.listed {
		l.members(balancer.ListCached, discovery.Listing{Revision: l.revision, Members: held.members})
	}
	l.room = nil
	for name, m := range held.marks {
		if p := l.named(name); p != nil {
			p.strays, p.spoilt, p.why = m.strays, m.spoilt, m.why
		}
	}
	if len(held.memory.Figures) > 0 {
		l.balancer.Restore(l.now(), held.memory)
	}
	return nil
}

// giveBack lets go of the module and the peers, where nothing is open and nothing must be kept as it is.
func (l *loop) giveBack(now time.Duration) {
	held := unmade{members: make([]discovery.Member, 0, len(l.peers))}
	views, _ := l.balancer.View(now)
	for _, v := range views { // in the order in which they came
		p := l.peers[v.ID]
		if p == nil || p.listed == balancer.Removed {
			continue
		}
		held.members = append(held.members, p.member)
		if p.strays > 0 || p.spoilt > 0 {
			if held.marks == nil {
				held.marks = map[string]mark{}
			}
			held.marks[p.name] = mark{p.strays, p.spoilt, p.why}
		}
	}
	held.memory = l.learnt(now)
	held.memory.Upstreams = slices.Clip(slices.DeleteFunc(held.memory.Upstreams, func(u balancer.UpstreamSnapshot) bool {
		return u.Answers == 0 && u.Readings == 0 && !u.Unresponsive
	}))
	l.balancer, l.unmade = nil, held
	l.peers, l.names = map[balancer.UpstreamID]*peer{}, discovery.NewNames()
	l.requests, l.open, l.tunnels = map[balancer.RequestID]*Request{}, map[string]bool{}, map[*attempt]struct{}{}
}

// learnt is what the module has learnt, or had when there was one.
func (l *loop) learnt(now time.Duration) balancer.Snapshot {
	if !l.made() {
		return l.unmade.memory
	}
	l.balancer.NextDue(now) // makes up for a rest
	return l.balancer.Snapshot()
}

// relist applies a list to what is held of it.
func (l *loop) relist(mode balancer.ListMode, x discovery.Listing) {
	l.revision = x.Revision
	gone := func(m discovery.Member) bool { return m.Upstream(0).State == balancer.Removed }
	var list []discovery.Member
	if mode == balancer.ListDelta {
		list = slices.Clone(l.unmade.members)
		for _, m := range x.Members {
			at := slices.IndexFunc(list, func(o discovery.Member) bool { return o.ID == m.ID })
			switch {
			case at >= 0 && gone(m):
				list = slices.Delete(list, at, at+1)
			case at >= 0:
				list[at] = m
			case !gone(m):
				list = append(list, m)
			}
		}
	} else {
		list = slices.DeleteFunc(slices.Clone(x.Members), gone)
	}
	l.unmade.members, l.counts.recount = slices.Clip(list), true
	l.claim()
	if len(list) > l.firstMost {
		if err := l.make(); err != nil {
			l.Log(fmt.Sprintf("pool can't be made: %v", err))
		}
	}
}

// nodes are the addresses that are listed, and whether they drain by this pool's list.
func (l *loop) nodes() iter.Seq2[string, bool] {
	return func(yield func(string, bool) bool) {
		for i := range l.unmade.members {
			m := &l.unmade.members[i]
			if !yield(m.HostPort, m.Upstream(0).State == balancer.Draining) {
				return
			}
		}
		for _, p := range l.peers {
			if p.listed != balancer.Removed && !yield(p.address, p.listed == balancer.Draining) {
				return
			}
		}
	}
}

// lists tells whether an upstream is listed.
func (l *loop) lists(name string) bool {
	if l.made() {
		return l.named(name) != nil
	}
	return slices.ContainsFunc(l.unmade.members, func(m discovery.Member) bool { return m.ID == name })
}

// stillAt is when the loop has to have its next turn, if no event comes: 0: never, or by an alarm. false: it has to go on until then.
func (l *loop) stillAt(now time.Duration) (at time.Duration, still bool) {
	if !l.mayRest() || len(l.due) > 0 || (l.made() && !l.balancer.Suspended()) {
		return 0, false
	}
	at, _ = l.alarms.next()
	sooner := func(x time.Duration) {
		if at == 0 || x < at {
			at = x
		}
	}
	switch {
	case l.conns > 0:
		for _, p := range l.peers {
			if len(p.idle) > 0 {
				sooner(max(p.idle[0].idleAt+l.idleFor, l.sweepAt))
			}
		}
	case l.made() && len(l.requests) == 0 && len(l.alarms.heap) == 0 && len(l.peers) <= l.firstMost:
		if l.emptyAt == 0 {
			l.emptyAt = now
		}
		until := l.emptyAt + l.madeFor
		if now >= until {
			until = l.balancer.NextDue(now)
		}
		if now >= until {
			l.giveBack(now)
			return 0, true
		}
		sooner(until)
	}
	return at, at == 0 || at-now >= parkLeast
}

// park ends the goroutine's turn until an event comes or an alarm goes off; false: something has come meanwhile.
func (l *loop) park() bool {
	now := l.now()
	at, still := l.stillAt(now)
	if l.lookAt = 0; !still {
		l.lookAt = at
		return false
	}
	l.publish()
	if at > 0 {
		if l.waker == nil {
			l.waker = time.AfterFunc(at-now, l.mail.rouse)
		} else {
			l.waker.Reset(at - now)
		}
	}
	if l.parking != nil {
		l.parking()
	}
	return l.mail.leave()
}

// unpark is the begin of a goroutine's turn.
func (l *loop) unpark() {
	if l.waker != nil {
		l.waker.Stop()
	}
}

// refuseUnmade answers a request for which the module can't be made, which its settings' check rules out.
func (l *loop) refuseUnmade(r *Request, err error) {
	l.Log(fmt.Sprintf("pool can't be made: %v", err))
	l.answer(r, Response{Status: 503})
}
