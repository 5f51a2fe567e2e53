package pool

import (
	"slices"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/sharedlimit"
	"olivearch/internal/upstream"
)

// endpoint is what the loop knows of an endpoint of the list: where it is, its connections, and what the pool may use
// of it. The loop owns it.
type endpoint struct {
	id          balancer.UpstreamID
	name        string // discovery's id of it
	address     string // host:port
	member      discovery.Member
	listedState balancer.State // by this pool's own list
	state       balancer.State // that counts: endpointFacts says why it may differ
	upstream    balancer.Upstream
	allotment   sharedlimit.Allotment // the zero value where no other pool of the process may use the endpoint

	listedWeight   float64 // of which operators may leave it a part
	listGeneration uint64  // of the list that named it last

	connections       int // open or being opened
	idle              idleConnections
	openAttempts      map[*attempt]struct{} // that have not ended on their connection
	abandoned         int                   // open attempts of which the balancer has had the outcome
	lingeringAttempts int
	tunnelCount       int
	faults            endpointFaults
}

// endpointFaults count what was wrong with an endpoint's answers.
type endpointFaults struct {
	unsolicited       uint64 // connections on which it sent unsolicited bytes
	unreadableReports uint64 // load reports that could not be read
	unreadableReason  string // why the last of them could not
}

// countUnreadableReport counts a load report that could not be read, by the reason; empty: it could, or there was none.
func (e *endpoint) countUnreadableReport(reason string) {
	if reason != "" {
		e.faults.unreadableReports++
		e.faults.unreadableReason = reason
	}
}

// countFaults counts what was wrong with the answer to an attempt or health check.
func (e *endpoint) countFaults(result *upstream.Result) {
	e.countUnreadableReport(result.LoadReportError)
	if result.Unsolicited {
		e.faults.unsolicited++
	}
}

// addOpenAttempt notes an attempt that has a connection.
func (e *endpoint) addOpenAttempt(a *attempt) {
	if e.openAttempts == nil {
		e.openAttempts = map[*attempt]struct{}{}
	}
	e.openAttempts[a] = struct{}{}
}

// maxInFlight is how many attempts the balancer may have in flight: as many as the connections that are allotted to the
// pool, less those that are held by attempts of which the balancer has had the outcome.
func (e *endpoint) maxInFlight() int { return max(1, e.allotment.Connections-e.abandoned) }

// maxLingering is how many connections may wait for late responses: of those that are allotted, up to a quarter.
func (e *endpoint) maxLingering() int {
	if e.allotment.Connections == 0 {
		return maxLingeringAttempts
	}
	return min(maxLingeringAttempts, e.allotment.Connections/4)
}

// endpointByName is the endpoint that is listed under a name; nil: none is.
func (l *loop) endpointByName(name string) *endpoint {
	id, known := l.names.Known(name)
	if !known {
		return nil
	}
	found := l.endpoints[id]
	if found == nil || found.name != name || found.listedState == balancer.Removed {
		return nil
	}
	return found
}

// isListed reports whether an endpoint is listed under a name.
func (l *loop) isListed(name string) bool {
	if l.hasBalancer() {
		return l.endpointByName(name) != nil
	}
	return slices.ContainsFunc(l.suspension.dormant.members, func(m discovery.Member) bool { return m.ID == name })
}

// refreshEndpoint works out what the balancer is to see of an endpoint: from the list, the allotment, and what
// operators have set.
func (l *loop) refreshEndpoint(endpoint *endpoint) {
	l.counters.endpointsChanged = true
	facts := endpointFacts{listed: endpoint.listedState}
	endpoint.upstream.MaxInFlight = 0
	if l.registration != nil {
		allotment, known := l.registration.allotment(endpoint.address)
		endpoint.allotment = allotment
		endpoint.upstream.WarmUpShare = allotment.Fraction
		endpoint.upstream.MaxInFlight = endpoint.maxInFlight()
		facts.allotmentUnknown = !known
		facts.drainsElsewhere = allotment.Draining && !l.registration.ownDrainsOnly
	}
	l.overrideUpstream(endpoint)
	facts.outOfService = l.overrides.OutOfService(endpoint.name, endpoint.upstream.Zone)
	endpoint.state = facts.state()
	endpoint.upstream.State = endpoint.state
	if endpoint.state != balancer.Active {
		l.CloseIdle(endpoint.id)
		l.endTunnels(endpoint)
	}
}

// overrideUpstream applies what operators have set to what the balancer sees of an endpoint, but for its state.
func (l *loop) overrideUpstream(endpoint *endpoint) {
	seen := &endpoint.upstream
	returnedAt := l.overrides.PutBackAt(endpoint.name, seen.Zone)
	if returnedAt > 0 { // it was restarted while out of service, of which lists tell late
		seen.StartedAt = max(seen.StartedAt, returnedAt)
	}
	seen.Weight = endpoint.listedWeight * l.overrides.WeightFactor(endpoint.name)
	limit := l.overrides.ConcurrencyCap(endpoint.name)
	if limit > 0 && (seen.MaxInFlight == 0 || limit < seen.MaxInFlight) {
		seen.MaxInFlight = limit
	}
}

// refreshChanged refreshes an endpoint and reports whether the balancer has to be notified. If it takes no more
// requests, attempts that wait for a connection to it are dropped.
func (l *loop) refreshChanged(endpoint *endpoint) bool {
	before := endpoint.upstream
	l.refreshEndpoint(endpoint)
	if endpoint.upstream == before {
		return false
	}
	l.dropUnsent(endpoint)
	return true
}

// notifyChanged notifies the balancer of endpoints that have changed.
func (l *loop) notifyChanged(changed []balancer.Upstream) {
	if len(changed) > 0 {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, changed)
		l.reportPendingOutcomes()
	}
}

// evictSurplus closes idle connections to an endpoint beyond its allotment.
func (l *loop) evictSurplus(endpoint *endpoint) {
	allowed := endpoint.allotment.Connections
	for allowed > 0 && endpoint.connections > allowed {
		if !l.evictIdle(endpoint) {
			return
		}
	}
}

// dropUnsent drops the attempts that wait for a connection to an endpoint that takes no more requests.
func (l *loop) dropUnsent(endpoint *endpoint) {
	if endpoint.state == balancer.Active {
		return
	}
	for attempt := range endpoint.openAttempts {
		if attempt.Drop() {
			l.deferOutcome(attempt, balancer.NotSent)
		}
	}
}

// endTunnels lets the tunnels to an endpoint end within their grace; nil: all tunnels.
func (l *loop) endTunnels(endpoint *endpoint) {
	for attempt := range l.tunnels {
		if endpoint == nil || attempt.endpoint == endpoint {
			attempt.tunnel.CloseGracefully()
		}
	}
}

// countAbandoned notes that an attempt at an endpoint has ended for the balancer and still holds its connection, or, by
// -1, that it returns it.
func (l *loop) countAbandoned(endpoint *endpoint, by int) {
	endpoint.abandoned += by
	if l.registration != nil {
		endpoint.upstream.MaxInFlight = endpoint.maxInFlight()
		l.balancer.MaxInFlightChanged(l.now(), endpoint.id, endpoint.upstream.MaxInFlight)
	}
}

// forgetIfUnused forgets an endpoint that was removed and has no open attempts.
func (l *loop) forgetIfUnused(endpoint *endpoint) {
	isUnused := endpoint.state == balancer.Removed && len(endpoint.openAttempts) == 0
	if isUnused && l.endpoints[endpoint.id] == endpoint {
		l.counters.endpointsChanged = true
		delete(l.endpoints, endpoint.id)
		l.names.Forget(endpoint.name)
	}
}
