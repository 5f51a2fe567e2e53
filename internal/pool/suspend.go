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
	// defaultBalancerIdleTimeout is how long a pool stays made with no request and no connection. To make one takes about a microsecond a node: for one
	// that is asked more often than this the time to answer would show it, and what is held longer is held for less.
	defaultBalancerIdleTimeout = time.Minute
	// defaultMaxLazyEndpoints is how many nodes a pool may have that is made for its first request, which may wait 1.1 ms in all: half of it.
	defaultMaxLazyEndpoints = 512
	// minParkTime is the time to the next alarm from which it is worth to end the goroutine until then.
	minParkTime = 10 * time.Millisecond
)

// dormantState is what a pool holds that is not made: the list as it was told, less what is gone, and what was learnt of it.
type dormantState struct {
	members    []discovery.Member       // never changed in place: the keeper may have them too
	snapshot   balancer.Snapshot        // only of upstreams that have answered or are silent
	unexpected map[string]endpointNotes // by name, where there is one
}

// endpointNotes is what a pool notes of an upstream beside the module.
type endpointNotes struct {
	unsolicited, unreadableReports uint64
	unreadableReason               string
}

// canSuspend tells whether the pool may be parked and given back. Where the module asks discovery or probes its upstreams, it has to
// go on.
func (l *loop) canSuspend() bool {
	return l.settings.SuspendWhenIdle && !l.settings.PollDiscovery && l.settings.Reports != balancer.ReportHealthChecks
}

// hasBalancer tells whether the pool has a module, with its upstreams.
func (l *loop) hasBalancer() bool { return l.balancer != nil }

// createBalancer makes the module and the peers, of what the pool holds without them.
func (l *loop) createBalancer() error {
	if l.hasBalancer() {
		return nil
	}
	l.creations++
	b, err := balancer.New(l.settings, l.seed+l.creations-1, l.now(), l)
	if err != nil {
		return err
	}
	held := l.dormant
	n := len(held.members)
	l.endpoints, l.names, l.preallocated = make(map[balancer.UpstreamID]*endpoint, n), discovery.NewNamesFor(n), make([]endpoint, n)
	l.balancer, l.dormant, l.emptySince = b, dormantState{}, 0
	if l.hasList {
		l.applyListing(balancer.ListCached, discovery.Listing{Revision: l.revision, Members: held.members})
	}
	l.preallocated = nil
	for name, m := range held.unexpected {
		if p := l.endpointByName(name); p != nil {
			p.unsolicited, p.unreadableReports, p.unreadableReason = m.unsolicited, m.unreadableReports, m.unreadableReason
		}
	}
	if len(held.snapshot.Figures) > 0 {
		l.balancer.Restore(l.now(), held.snapshot)
	}
	return nil
}

// releaseBalancer lets go of the module and the peers, where nothing is open and nothing must be kept as it is.
func (l *loop) releaseBalancer(now time.Duration) {
	held := dormantState{members: make([]discovery.Member, 0, len(l.endpoints))}
	views, _ := l.balancer.View(now)
	for _, v := range views { // in the order in which they came
		p := l.endpoints[v.ID]
		if p == nil || p.listedState == balancer.Removed {
			continue
		}
		held.members = append(held.members, p.member)
		if p.unsolicited > 0 || p.unreadableReports > 0 {
			if held.unexpected == nil {
				held.unexpected = map[string]endpointNotes{}
			}
			held.unexpected[p.name] = endpointNotes{p.unsolicited, p.unreadableReports, p.unreadableReason}
		}
	}
	held.snapshot = l.snapshot(now)
	held.snapshot.Upstreams = slices.Clip(slices.DeleteFunc(held.snapshot.Upstreams, func(u balancer.UpstreamSnapshot) bool {
		return u.Answers == 0 && u.Readings == 0 && !u.Unresponsive
	}))
	l.balancer, l.dormant = nil, held
	l.endpoints, l.names = map[balancer.UpstreamID]*endpoint{}, discovery.NewNames()
	l.requests, l.clientRequestIDs, l.tunnels = map[balancer.RequestID]*Request{}, map[string]bool{}, map[*attempt]struct{}{}
}

// snapshot is what the module has learnt, or had when there was one.
func (l *loop) snapshot(now time.Duration) balancer.Snapshot {
	if !l.hasBalancer() {
		return l.dormant.snapshot
	}
	l.balancer.NextDue(now) // makes up for a rest
	return l.balancer.Snapshot()
}

// updateDormantList applies a list to what is held of it.
func (l *loop) updateDormantList(mode balancer.ListMode, x discovery.Listing) {
	l.revision = x.Revision
	gone := func(m discovery.Member) bool { return m.Upstream(0).State == balancer.Removed }
	var list []discovery.Member
	if mode == balancer.ListDelta {
		list = slices.Clone(l.dormant.members)
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
	l.dormant.members, l.counters.endpointsChanged = slices.Clip(list), true
	l.claimEndpoints()
	if len(list) > l.maxLazyEndpoints {
		if err := l.createBalancer(); err != nil {
			l.Log(fmt.Sprintf("pool can't be made: %v", err))
		}
	}
}

// listedAddresses are the addresses that are listed, and whether they drain by this pool's list.
func (l *loop) listedAddresses() iter.Seq2[string, bool] {
	return func(yield func(string, bool) bool) {
		for i := range l.dormant.members {
			m := &l.dormant.members[i]
			if !yield(m.HostPort, m.Upstream(0).State == balancer.Draining) {
				return
			}
		}
		for _, p := range l.endpoints {
			if p.listedState != balancer.Removed && !yield(p.address, p.listedState == balancer.Draining) {
				return
			}
		}
	}
}

// isListed tells whether an upstream is listed.
func (l *loop) isListed(name string) bool {
	if l.hasBalancer() {
		return l.endpointByName(name) != nil
	}
	return slices.ContainsFunc(l.dormant.members, func(m discovery.Member) bool { return m.ID == name })
}

// nextWake is when the loop has to have its next turn, if no event comes: 0: never, or by an alarm. false: it has to go on until then.
func (l *loop) nextWake(now time.Duration) (at time.Duration, still bool) {
	if !l.canSuspend() || len(l.pendingOutcomes) > 0 || (l.hasBalancer() && !l.balancer.Suspended()) {
		return 0, false
	}
	at, _ = l.timers.nextAt()
	sooner := func(x time.Duration) {
		if at == 0 || x < at {
			at = x
		}
	}
	switch {
	case l.connections > 0:
		for _, p := range l.endpoints {
			if len(p.idleConnections) > 0 {
				sooner(max(p.idleConnections[0].idleSince+l.idleTimeout, l.sweepAt))
			}
		}
	case l.hasBalancer() && len(l.requests) == 0 && len(l.timers.heap) == 0 && len(l.endpoints) <= l.maxLazyEndpoints:
		if l.emptySince == 0 {
			l.emptySince = now
		}
		until := l.emptySince + l.balancerIdleTimeout
		if now >= until {
			until = l.balancer.NextDue(now)
		}
		if now >= until {
			l.releaseBalancer(now)
			return 0, true
		}
		sooner(until)
	}
	return at, at == 0 || at-now >= minParkTime
}

// park ends the goroutine's turn until an event comes or an alarm goes off; false: something has come meanwhile.
func (l *loop) park() bool {
	now := l.now()
	at, still := l.nextWake(now)
	if l.nextCheckAt = 0; !still {
		l.nextCheckAt = at
		return false
	}
	l.publish()
	if at > 0 {
		if l.wakeTimer == nil {
			l.wakeTimer = time.AfterFunc(at-now, l.mailbox.wake)
		} else {
			l.wakeTimer.Reset(at - now)
		}
	}
	if l.beforePark != nil {
		l.beforePark()
	}
	return l.mailbox.stopConsuming()
}

// unpark is the begin of a goroutine's turn.
func (l *loop) unpark() {
	if l.wakeTimer != nil {
		l.wakeTimer.Stop()
	}
}

// failCreation answers a request for which the module can't be made, which its settings' check rules out.
func (l *loop) failCreation(r *Request, err error) {
	l.Log(fmt.Sprintf("pool can't be made: %v", err))
	l.respond(r, Response{Status: 503})
}
