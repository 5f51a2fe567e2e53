package pool

import (
	"iter"
	"net/http"
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
)

// A pool without requests costs next to nothing. It is parked: it has no goroutine and no timer that has nothing to do,
// and its mailbox starts the goroutine when an event comes. A pool that has had no request, or none for a while, is
// dormant: it has no balancer either, only its list as it came and what must not be forgotten. A pool of so many
// endpoints that its first request would wait for the balancer gets one with its list, and keeps it.

const (
	// defaultBalancerIdleTimeout is how long a pool without requests and connections keeps its balancer. To create one
	// takes about a microsecond an endpoint: in a pool that is used more often than this the response times would show it.
	defaultBalancerIdleTimeout = time.Minute
	// defaultMaxLazyEndpoints is how many endpoints a pool may have whose balancer is created for its first request, which
	// may wait 1.1 ms in all: half of it.
	defaultMaxLazyEndpoints = 512
	// minParkTime is the time to the next timer from which on it pays to end the goroutine until then.
	minParkTime = 10 * time.Millisecond
)

// suspension is the state of parking the loop and releasing its balancer. The loop owns it.
type suspension struct {
	balancerIdleTimeout time.Duration
	maxLazyEndpoints    int
	emptySince          time.Duration // since when there is no request and no connection; 0: there is, or not known
	nextCheckAt         time.Duration // the goroutine stays for what is due then, soon; 0: for nothing
	wakeTimer           *time.Timer   // starts the goroutine of a parked loop; nil: none yet
	beforePark          func()        // a test's, called between the last look for events and the goroutine's end

	dormant   dormantState // counts while there is no balancer
	seed      uint64       // of the first balancer
	creations uint64       // balancers so far
}

func newSuspension(seed uint64) suspension {
	return suspension{
		balancerIdleTimeout: defaultBalancerIdleTimeout,
		maxLazyEndpoints:    defaultMaxLazyEndpoints,
		seed:                seed,
	}
}

// dormantState is what a dormant pool holds in place of a balancer and endpoints.
type dormantState struct {
	// members are the list without removed ones. It is never changed in place: the store may have it too.
	members  []discovery.Member
	snapshot balancer.Snapshot        // only of endpoints that have answered or are unresponsive
	notes    map[string]endpointNotes // by the endpoint's name, where there are any
}

// endpointNotes are what a pool notes of an endpoint's wrong answers.
type endpointNotes struct {
	unsolicited       uint64 // connections on which it sent unsolicited bytes
	unreadableReports uint64 // load reports that could not be read
	unreadableReason  string // why the last of them could not
}

// canSuspend tells whether the loop may be parked and its balancer released. A balancer that polls discovery or checks
// the health of its endpoints has to go on.
func (l *loop) canSuspend() bool {
	polls := l.settings.PollDiscovery || l.settings.Reports == balancer.ReportHealthChecks
	return l.settings.SuspendWhenIdle && !polls
}

// hasBalancer tells whether the pool has a balancer, and endpoints with it.
func (l *loop) hasBalancer() bool { return l.balancer != nil }

// createBalancer creates the balancer and the endpoints from what a dormant pool holds, unless there is one. It fails
// only if the settings are not valid.
func (l *loop) createBalancer() error {
	if l.hasBalancer() {
		return nil
	}
	l.suspension.creations++
	seed := l.suspension.seed + l.suspension.creations - 1
	created, err := balancer.New(l.settings, seed, l.now(), l)
	if err != nil {
		return err
	}
	l.balancer = created
	l.suspension.emptySince = 0
	held := l.suspension.dormant
	l.suspension.dormant = dormantState{}

	count := len(held.members)
	l.endpoints = make(map[balancer.UpstreamID]*endpoint, count)
	l.names = discovery.NewNamesFor(count)
	l.preallocated = make([]endpoint, count)
	if l.source.hasList {
		l.applyListing(balancer.ListCached, discovery.Listing{Revision: l.source.revision, Members: held.members})
	}
	l.preallocated = nil
	for name, notes := range held.notes {
		if endpoint := l.endpointByName(name); endpoint != nil {
			endpoint.notes = notes
		}
	}
	if len(held.snapshot.Figures) > 0 {
		l.balancer.Restore(l.now(), held.snapshot)
	}
	return nil
}

// dropBalancer makes the pool dormant. The caller has made sure that nothing is open and nothing has to be kept as it
// is.
func (l *loop) dropBalancer(now time.Duration) {
	held := dormantState{members: make([]discovery.Member, 0, len(l.endpoints))}
	views, _ := l.balancer.View(now)
	for _, view := range views { // in the order in which they came
		endpoint := l.endpoints[view.ID]
		if endpoint == nil || endpoint.listedState == balancer.Removed {
			continue
		}
		held.members = append(held.members, endpoint.member)
		if endpoint.notes != (endpointNotes{}) {
			if held.notes == nil {
				held.notes = map[string]endpointNotes{}
			}
			held.notes[endpoint.name] = endpoint.notes
		}
	}
	held.snapshot = l.snapshot(now)
	held.snapshot.Upstreams = slices.Clip(slices.DeleteFunc(held.snapshot.Upstreams, isUnused))

	l.balancer = nil
	l.suspension.dormant = held
	l.endpoints = map[balancer.UpstreamID]*endpoint{}
	l.names = discovery.NewNames()
	l.requests = map[balancer.RequestID]*Request{}
	l.clientRequestIDs = map[string]bool{}
	l.tunnels = map[*attempt]struct{}{}
}

// isUnused tells whether a balancer has learnt nothing of an endpoint.
func isUnused(u balancer.UpstreamSnapshot) bool {
	return u.Answers == 0 && u.Readings == 0 && !u.Unresponsive
}

// snapshot is what the balancer has learnt, or had when there was one.
func (l *loop) snapshot(now time.Duration) balancer.Snapshot {
	if !l.hasBalancer() {
		return l.suspension.dormant.snapshot
	}
	l.balancer.NextDue(now) // makes up for a suspension
	return l.balancer.Snapshot()
}

// updateDormantList applies a list to the one that a dormant pool holds, and creates the balancer if the list is long.
func (l *loop) updateDormantList(mode balancer.ListMode, update discovery.Listing) {
	l.source.revision = update.Revision
	var members []discovery.Member
	if mode == balancer.ListDelta {
		members = mergeMembers(l.suspension.dormant.members, update.Members)
	} else {
		members = slices.DeleteFunc(slices.Clone(update.Members), isRemoved)
	}
	l.suspension.dormant.members = slices.Clip(members)
	l.counters.endpointsChanged = true
	l.claimEndpoints()
	if len(members) > l.suspension.maxLazyEndpoints {
		if err := l.createBalancer(); err != nil {
			l.logInfo("balancer not created", "err", err)
		}
	}
}

// mergeMembers returns a copy of a list with changes to it.
func mergeMembers(members, changes []discovery.Member) []discovery.Member {
	merged := slices.Clone(members)
	for _, change := range changes {
		at := slices.IndexFunc(merged, func(m discovery.Member) bool { return m.ID == change.ID })
		switch {
		case at >= 0 && isRemoved(change):
			merged = slices.Delete(merged, at, at+1)
		case at >= 0:
			merged[at] = change
		case !isRemoved(change):
			merged = append(merged, change)
		}
	}
	return merged
}

// isRemoved tells whether a member of a list says that an endpoint is removed.
func isRemoved(m discovery.Member) bool { return m.Upstream(0).State == balancer.Removed }

// listedAddresses are the addresses of the listed endpoints, and whether they drain by this pool's list.
func (l *loop) listedAddresses() iter.Seq2[string, bool] {
	return func(yield func(string, bool) bool) {
		for i := range l.suspension.dormant.members {
			member := &l.suspension.dormant.members[i]
			drains := member.Upstream(0).State == balancer.Draining
			if !yield(member.HostPort, drains) {
				return
			}
		}
		for _, endpoint := range l.endpoints {
			if endpoint.listedState == balancer.Removed {
				continue
			}
			drains := endpoint.listedState == balancer.Draining
			if !yield(endpoint.address, drains) {
				return
			}
		}
	}
}

// isListed tells whether an endpoint is listed under a name.
func (l *loop) isListed(name string) bool {
	if l.hasBalancer() {
		return l.endpointByName(name) != nil
	}
	return slices.ContainsFunc(l.suspension.dormant.members, func(m discovery.Member) bool { return m.ID == name })
}

// decideIdle returns what the loop does while no event comes, and when it has to go on by itself; 0: it has not to.
func (l *loop) decideIdle(now time.Duration) (decision idleDecision, at time.Duration) {
	hasWork := len(l.pendingOutcomes) > 0 || (l.hasBalancer() && !l.balancer.Suspended())
	facts := idleFacts{suspendable: l.canSuspend() && !hasWork}
	if !facts.suspendable {
		return facts.decide(now, nil)
	}
	facts.nextTimerAt, _ = l.timers.nextAt()
	facts.hasConnections = l.connections.open > 0
	if facts.hasConnections {
		facts.nextIdleCloseAt = l.nextIdleCloseAt()
	} else {
		facts.unused = l.balancerUnused()
	}
	if facts.unused {
		if l.suspension.emptySince == 0 {
			l.suspension.emptySince = now
		}
		facts.releaseAt = l.suspension.emptySince + l.suspension.balancerIdleTimeout
	}
	return facts.decide(now, func() time.Duration { return l.balancer.NextDue(now) })
}

// balancerUnused tells whether no request or timer needs the balancer, and a request's arrival may create it anew.
func (l *loop) balancerUnused() bool {
	isEmpty := len(l.requests) == 0 && len(l.timers.heap) == 0
	return l.hasBalancer() && isEmpty && len(l.endpoints) <= l.suspension.maxLazyEndpoints
}

// park ends the goroutine's turn until an event comes or a timer is due, if nothing is to be done before; false: the
// goroutine goes on.
func (l *loop) park() bool {
	now := l.now()
	decision, at := l.decideIdle(now)
	l.suspension.nextCheckAt = 0
	switch decision {
	case stayAwake:
		l.suspension.nextCheckAt = at
		return false
	case releaseBalancer:
		l.dropBalancer(now)
	}
	l.publishLevels()
	if at > 0 {
		l.startWakeTimer(at - now)
	}
	if l.suspension.beforePark != nil {
		l.suspension.beforePark()
	}
	return l.mailbox.stopConsuming()
}

// startWakeTimer makes the mailbox start the goroutine after a time.
func (l *loop) startWakeTimer(after time.Duration) {
	if l.suspension.wakeTimer == nil {
		l.suspension.wakeTimer = time.AfterFunc(after, l.mailbox.wake)
		return
	}
	l.suspension.wakeTimer.Reset(after)
}

// stopWakeTimer stops the timer of a loop that was parked.
func (l *loop) stopWakeTimer() {
	if l.suspension.wakeTimer != nil {
		l.suspension.wakeTimer.Stop()
	}
}

// failCreation answers a request for which the balancer can't be created. The check of the settings rules it out.
func (l *loop) failCreation(request *Request, err error) {
	l.logInfo("balancer not created", "err", err)
	l.respond(request, Response{Status: http.StatusServiceUnavailable})
}
