package pool

import (
	"olivearch/balancer"
	"olivearch/internal/discovery"
)

// endpointsUpdated is an answer of discovery, or a list that was given to Pool.UpdateEndpoints, or why there is none.
type endpointsUpdated discovery.Event

func (e endpointsUpdated) apply(l *loop) {
	switch {
	case e.From != l.source.client: // it was asked before discovery's address changed
		return
	case e.Err != nil:
		l.recordSourceError(e.Err)
	case e.Revision < l.source.revision: // a newer one has overtaken it
		l.logInfo("endpoint list ignored", "revision", e.Revision, "newest", l.source.revision)
	default:
		l.acceptList(e.Complete, e.Listing)
	}
	l.reportPendingOutcomes()
}

// recordSourceError records why the list's source has given no good answer. The balancer decides when to poll again; an
// agent that pushes its lists is asked by discovery's client until it answers.
func (l *loop) recordSourceError(err error) {
	l.source.lastError = err.Error()
	l.logInfo("endpoint list not received", "err", err)
	if l.settings.PollDiscovery {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListFailed, nil)
	}
}

// acceptList applies and stores a list, or changes to it.
func (l *loop) acceptList(complete bool, list discovery.Listing) {
	l.source.receivedAt = l.now()
	l.source.lastError = ""
	l.source.received.Store(true)
	mode := balancer.ListDelta
	if complete {
		mode = balancer.ListFull
	}
	l.applyListing(mode, list)
	if l.endpointStore != nil {
		l.endpointStore.Save(list)
	}
}

// applyListing applies a list: first to the endpoints, so that nothing is sent to one that drains, then to the
// balancer, which may send at once.
func (l *loop) applyListing(mode balancer.ListMode, list discovery.Listing) {
	l.source.hasList = true
	if !l.hasBalancer() {
		l.updateDormantList(mode, list)
		return
	}
	l.source.revision = list.Revision
	l.listGeneration++
	upstreams := make([]balancer.Upstream, 0, len(list.Members))
	for i := range list.Members {
		upstreams = append(upstreams, l.applyMember(&list.Members[i]))
	}
	for id, endpoint := range l.endpoints {
		if mode != balancer.ListDelta && endpoint.listGeneration != l.listGeneration {
			endpoint.listedState = balancer.Removed
			endpoint.state = balancer.Removed
			l.CloseIdle(id)
			l.endTunnels(endpoint)
		}
		l.dropUnsent(endpoint)
	}
	l.claimEndpoints()
	l.balancer.EndpointsUpdated(l.now(), mode, upstreams)
	l.reportPendingOutcomes()
	for _, endpoint := range l.endpoints {
		l.forgetIfUnused(endpoint)
	}
}

// applyMember applies a list's entry to its endpoint, and returns what the balancer is to see of it.
func (l *loop) applyMember(member *discovery.Member) balancer.Upstream {
	listed := member.Upstream(l.names.ID(member.ID))
	isRemoved := listed.State == balancer.Removed
	endpoint := l.endpoints[listed.ID]
	if endpoint == nil {
		if isRemoved { // it never was listed
			l.names.Forget(member.ID)
			return listed
		}
		endpoint = l.newEndpoint(listed.ID, member.ID)
	}
	if !isRemoved {
		moved := endpoint.address != "" && endpoint.address != member.HostPort
		if moved {
			l.CloseIdle(listed.ID)
		}
		endpoint.address = member.HostPort
	}
	endpoint.member = *member
	endpoint.listedState = listed.State
	endpoint.listedWeight = listed.Weight
	endpoint.upstream = listed
	l.refreshEndpoint(endpoint)
	endpoint.listGeneration = l.listGeneration
	return endpoint.upstream
}

// newEndpoint adds an endpoint.
func (l *loop) newEndpoint(id balancer.UpstreamID, name string) *endpoint {
	var added *endpoint
	if len(l.preallocated) > 0 {
		added = &l.preallocated[0]
		l.preallocated = l.preallocated[1:]
	} else {
		added = new(endpoint)
	}
	added.id = id
	added.name = name
	l.endpoints[id] = added
	return added
}
