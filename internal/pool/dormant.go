package pool

import (
	"net/http"
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
)

// dormantState is what a dormant pool holds in place of a balancer and endpoints.
type dormantState struct {
	// members are the list without removed ones. It is never changed in place: the store may have it too.
	members  []discovery.Member
	snapshot balancer.Snapshot         // only of endpoints that have answered or are unresponsive
	faults   map[string]endpointFaults // by the endpoint's name, where there are any
}

// hasBalancer reports whether the pool has a balancer, and endpoints with it.
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
	l.suspension.unusedSince = 0
	dormant := l.suspension.dormant
	l.suspension.dormant = dormantState{}

	count := len(dormant.members)
	l.endpoints = make(map[balancer.UpstreamID]*endpoint, count)
	l.names = discovery.NewNumberingWithCapacity(count)
	l.preallocated = make([]endpoint, count)
	if l.source.hasList {
		l.applyListing(balancer.ListCached, discovery.Listing{Revision: l.source.revision, Members: dormant.members})
	}
	l.preallocated = nil
	for name, faults := range dormant.faults {
		if endpoint := l.endpointByName(name); endpoint != nil {
			endpoint.faults = faults
		}
	}
	if len(dormant.snapshot.Figures) > 0 {
		l.balancer.Restore(l.now(), dormant.snapshot)
	}
	return nil
}

// releaseBalancer makes the pool dormant. The caller has made sure that nothing is open and nothing has to be kept as
// it is.
func (l *loop) releaseBalancer(now time.Duration) {
	dormant := dormantState{members: make([]discovery.Member, 0, len(l.endpoints))}
	views, _ := l.balancer.View(now)
	for _, view := range views { // in the order in which they came
		endpoint := l.endpoints[view.ID]
		if endpoint == nil || endpoint.listedState == balancer.Removed {
			continue
		}
		dormant.members = append(dormant.members, endpoint.member)
		if endpoint.faults != (endpointFaults{}) {
			if dormant.faults == nil {
				dormant.faults = map[string]endpointFaults{}
			}
			dormant.faults[endpoint.name] = endpoint.faults
		}
	}
	dormant.snapshot = l.snapshot(now)
	dormant.snapshot.Upstreams = slices.Clip(slices.DeleteFunc(dormant.snapshot.Upstreams, isUnused))

	l.balancer = nil
	l.suspension.dormant = dormant
	l.endpoints = map[balancer.UpstreamID]*endpoint{}
	l.names = discovery.NewNumbering()
	l.requests = map[balancer.RequestID]*Request{}
	l.clientRequestIDs = map[string]bool{}
	l.tunnels = map[*attempt]struct{}{}
}

// isUnused reports whether a balancer has learnt nothing of an endpoint.
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

// isRemoved reports whether a member of a list says that an endpoint is removed.
func isRemoved(m discovery.Member) bool { return m.Upstream(0).State == balancer.Removed }

// failCreation answers a request for which the balancer can't be created. The check of the settings rules it out.
func (l *loop) failCreation(request *Request, err error) {
	l.logInfo("balancer not created", "err", err)
	l.respond(request, Response{Status: http.StatusServiceUnavailable})
}

// dormantEndpoint is an endpoint of a dormant pool, as it would be if the pool had a balancer.
func (l *loop) dormantEndpoint(member *discovery.Member) *endpoint {
	listed := member.Upstream(0)
	result := &endpoint{
		name:         member.ID,
		address:      member.HostPort,
		listedState:  listed.State,
		listedWeight: listed.Weight,
		upstream:     listed,
	}
	l.refreshEndpoint(result)
	return result
}
