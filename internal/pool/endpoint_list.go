package pool

import (
	"olivearch/balancer"
	"olivearch/internal/discovery"
)

// endpointsUpdated is an endpoint list or an error, from discovery or from a caller of Pool.UpdateEndpoints or
// Pool.ListSourceFailed.
type endpointsUpdated discovery.Event

func (e endpointsUpdated) apply(l *loop) {
	switch {
	case e.From != l.source.client: // sent by the client of a previous discovery address
		return
	case e.Err != nil:
		l.recordSourceError(e.Err)
	case l.source.isOutdated(&e.Listing):
		l.logInfo("endpoint list ignored", "revision", e.Revision, "newest", l.source.revision)
	default:
		l.acceptList(e.Complete, e.Listing)
	}
	l.reportPendingOutcomes()
}

// recordSourceError records an error of the list's source. If discovery is polled, the balancer decides when to poll
// again; otherwise discovery's client retries until it gets a response.
func (l *loop) recordSourceError(err error) {
	l.source.lastError = err.Error()
	l.logInfo("endpoint list not received", "err", err)
	if l.settings.PollDiscovery {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListFailed, nil)
	}
}

// acceptList applies and stores a complete list or changes to it.
func (l *loop) acceptList(complete bool, list discovery.Listing) {
	l.source.receivedAt = l.now()
	l.source.lastError = ""
	l.source.isStored = false
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

// applyListing applies a list to the endpoints first, so that nothing is sent to a draining one, and then to the
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

// applyMember applies a list entry to its endpoint, and returns the endpoint as the balancer is to see it.
func (l *loop) applyMember(member *discovery.Member) balancer.Upstream {
	listed := member.Upstream(l.names.ID(member.ID))
	isRemoved := listed.State == balancer.Removed
	endpoint := l.endpoints[listed.ID]
	if endpoint == nil {
		if isRemoved { // the endpoint was never listed
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
		if listed.StartedAt > endpoint.upstream.StartedAt { // a new process at the old address
			l.closeConnections(endpoint, "endpoint restarted", endpoint.idle.takeCreatedBefore(listed.StartedAt)...)
		}
	}
	endpoint.member = *member
	endpoint.listedState = listed.State
	endpoint.listedWeight = listed.Weight
	endpoint.upstream = listed
	l.refreshEndpoint(endpoint)
	endpoint.listGeneration = l.listGeneration
	return endpoint.upstream
}

// newEndpoint adds an endpoint, in preallocated memory if there is any.
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
