package pool

import (
	"net/http"
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
)

// dormantState is what a dormant pool keeps instead of a balancer and endpoints.
type dormantState struct {
	// members is the endpoint list without removed entries. It is never modified in place, because the endpoint
	// store may hold it too.
	members  []discovery.Member
	snapshot balancer.Snapshot         // of endpoints that responded or are unresponsive
	faults   map[string]endpointFaults // by the endpoint's name; only endpoints that had faults
}

// hasBalancer reports whether the pool has a balancer; if not, it is dormant.
func (l *loop) hasBalancer() bool { return l.balancer != nil }

// createBalancer creates the balancer and the endpoints from the dormant state, unless the pool has a balancer. It
// fails only if the settings are not valid.
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
		l.applyListing(
			balancer.ListCached,
			discovery.Listing{Revision: l.source.revision, Members: dormant.members},
		)
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

// releaseBalancer makes the pool dormant. The caller has checked that no request or connection is open and that the
// balancer's KeepUntil allows it.
func (l *loop) releaseBalancer(now time.Duration) {
	dormant := dormantState{members: make([]discovery.Member, 0, len(l.endpoints))}
	views, _ := l.balancer.View(now)
	for _, view := range views { // in the order in which they were listed
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
	dormant.snapshot.Upstreams = slices.Clip(slices.DeleteFunc(dormant.snapshot.Upstreams, isUnobserved))

	l.balancer = nil
	l.suspension.dormant = dormant
	l.endpoints = map[balancer.UpstreamID]*endpoint{}
	l.names = discovery.NewNumbering()
	l.requests = map[balancer.RequestID]*Request{}
	l.clientRequestIDs.reset()
	l.tunnels = map[*attempt]struct{}{}
}

// isUnobserved reports whether a balancer has learnt nothing about an endpoint.
func isUnobserved(u balancer.UpstreamSnapshot) bool {
	return u.Answers == 0 && u.Readings == 0 && !u.Unresponsive
}

// snapshot returns what the balancer has learnt, or had learnt before the pool became dormant.
func (l *loop) snapshot(now time.Duration) balancer.Snapshot {
	if !l.hasBalancer() {
		return l.suspension.dormant.snapshot
	}
	l.balancer.KeepUntil(now) // applies the time that passed while the balancer was suspended
	return l.balancer.Snapshot()
}

// updateDormantList applies an update to the endpoint list of a dormant pool. If the list is then too long to create
// the balancer on the first request, it creates the balancer at once.
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

// mergeMembers returns a copy of a list with changes applied.
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

// isRemoved reports whether a list entry marks its endpoint as removed.
func isRemoved(m discovery.Member) bool { return m.Upstream(0).State == balancer.Removed }

// rejectWithoutBalancer rejects a request because the balancer can't be created. It is not expected to be called: the
// settings have been validated.
func (l *loop) rejectWithoutBalancer(request *Request, err error) {
	l.logInfo("balancer not created", "err", err)
	l.respond(request, Response{Status: http.StatusServiceUnavailable})
}

// dormantEndpoint returns an endpoint of a dormant pool as it would be if the pool had a balancer.
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
