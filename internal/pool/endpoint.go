package pool

import (
	"slices"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/sharedlimit"
	"olivearch/internal/upstream"
)

// endpoint is the loop's state of a listed endpoint: its list entry, its connections, and what the pool may use of it.
// The loop owns it.
type endpoint struct {
	id          balancer.UpstreamID
	name        string // the endpoint's id in the list
	address     string // host:port
	member      discovery.Member
	listedState balancer.State        // according to this pool's list
	state       balancer.State        // as the balancer sees it, from endpointConditions
	upstream    balancer.Upstream     // as the balancer sees it
	allotment   sharedlimit.Allotment // zero: no registration, or the registry has not answered

	listedWeight   float64 // before overrides by operators
	listGeneration uint64  // loop.listGeneration of the last list with this endpoint

	connections       int // number that are open or being opened
	idle              idleConnections
	openAttempts      map[*attempt]struct{} // attempts that the transport has not finished
	abandoned         int                   // number of open attempts whose outcome has been reported
	lingeringAttempts int
	tunnelCount       int
	faults            endpointFaults
}

// endpointFaults counts the faults in an endpoint's responses.
type endpointFaults struct {
	unsolicited       uint64 // connections on which unsolicited bytes arrived
	unreadableReports uint64 // load reports that could not be parsed
	unreadableReason  string // error of the last one
}

// countUnreadableReport counts a load report that could not be parsed. An empty reason stands for a valid report or
// none.
func (e *endpoint) countUnreadableReport(reason string) {
	if reason != "" {
		e.faults.unreadableReports++
		e.faults.unreadableReason = reason
	}
}

// countFaults counts the faults in the response to an attempt or health check.
func (e *endpoint) countFaults(result *upstream.Result) {
	e.countUnreadableReport(result.LoadReportError)
	if result.Unsolicited {
		e.faults.unsolicited++
	}
}

// addOpenAttempt records an attempt that has got a connection.
func (e *endpoint) addOpenAttempt(a *attempt) {
	if e.openAttempts == nil {
		e.openAttempts = map[*attempt]struct{}{}
	}
	e.openAttempts[a] = struct{}{}
}

// maxLingering returns how many connections may wait for late responses: at most a quarter of the allotted ones.
func (e *endpoint) maxLingering() int {
	if e.allotment.Connections == 0 {
		return maxLingeringAttempts
	}
	return min(maxLingeringAttempts, e.allotment.Connections/4)
}

// endpointByName returns the listed endpoint with the given name, nil if there is none.
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

// isListed reports whether an endpoint with the given name is listed.
func (l *loop) isListed(name string) bool {
	if l.hasBalancer() {
		return l.endpointByName(name) != nil
	}
	return slices.ContainsFunc(l.suspension.dormant.members, func(m discovery.Member) bool { return m.ID == name })
}

// refreshEndpoint recomputes how the balancer sees an endpoint, from the list, the allotment and the overrides.
func (l *loop) refreshEndpoint(endpoint *endpoint) {
	l.counters.endpointsChanged = true
	conditions := endpointConditions{listed: endpoint.listedState}
	if l.registration != nil {
		allotment, known := l.registration.allotment(endpoint.address)
		endpoint.allotment = allotment
		endpoint.upstream.WarmUpShare = allotment.Fraction
		conditions.allotmentUnknown = !known
		conditions.drainsElsewhere = allotment.Draining && !l.registration.ownDrainsOnly
	}
	l.applyOverrides(endpoint)
	endpoint.upstream.MaxInFlight = l.maxInFlight(endpoint)
	conditions.outOfService = l.overrides.OutOfService(endpoint.name, endpoint.upstream.Zone)
	endpoint.state = conditions.state()
	endpoint.upstream.State = endpoint.state
	if endpoint.state != balancer.Active {
		l.CloseIdle(endpoint.id)
		l.endTunnels(endpoint)
	}
}

// maxInFlight returns how many attempts the balancer may have in flight at an endpoint, 0 without limit: the allotted
// connections, or fewer if an override caps them, minus those in use by attempts whose outcome has been reported to the
// balancer; at least 1.
func (l *loop) maxInFlight(endpoint *endpoint) int {
	limit := l.overrides.ConcurrencyCap(endpoint.name)
	if l.registration != nil {
		allotted := max(1, endpoint.allotment.Connections)
		if limit == 0 || allotted < limit {
			limit = allotted
		}
	}
	if limit == 0 {
		return 0
	}
	return max(1, limit-endpoint.abandoned)
}

// applyOverrides applies the overrides to an endpoint's weight and start time. maxInFlight applies those that cap its
// attempts, and refreshEndpoint those that concern its state.
func (l *loop) applyOverrides(endpoint *endpoint) {
	effective := &endpoint.upstream
	returnedAt := l.overrides.PutBackAt(endpoint.name, effective.Zone)
	if returnedAt > 0 { // it may have been restarted while out of service, and lists report that late
		effective.StartedAt = max(effective.StartedAt, returnedAt)
	}
	effective.Weight = endpoint.listedWeight * l.overrides.WeightFactor(endpoint.name)
}

// refreshAndCompare refreshes an endpoint and reports whether the balancer has to be notified of a change. If the
// endpoint takes no more requests, its attempts that wait for a connection are dropped.
func (l *loop) refreshAndCompare(endpoint *endpoint) bool {
	before := endpoint.upstream
	l.refreshEndpoint(endpoint)
	if endpoint.upstream == before {
		return false
	}
	l.dropUnsent(endpoint)
	return true
}

// notifyChanged notifies the balancer of changed endpoints.
func (l *loop) notifyChanged(changed []balancer.Upstream) {
	if len(changed) > 0 {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, changed)
		l.reportPendingOutcomes()
	}
}

// evictSurplus closes idle connections to an endpoint until the number of its connections is within the allotment.
func (l *loop) evictSurplus(endpoint *endpoint) {
	allowed := endpoint.allotment.Connections
	for allowed > 0 && endpoint.connections > allowed {
		if !l.evictIdle(endpoint) {
			return
		}
	}
}

// dropUnsent drops the attempts that still wait for a connection if the endpoint takes no more requests.
func (l *loop) dropUnsent(endpoint *endpoint) {
	if endpoint.state == balancer.Active {
		return
	}
	l.dropWaiting(endpoint)
	for attempt := range endpoint.openAttempts {
		if attempt.Drop() {
			l.deferOutcome(attempt, balancer.NotSent)
		}
	}
}

// endTunnels closes the tunnels to an endpoint gracefully; nil: the tunnels to all endpoints.
func (l *loop) endTunnels(endpoint *endpoint) {
	for attempt := range l.tunnels {
		if endpoint == nil || attempt.endpoint == endpoint {
			attempt.tunnel.CloseGracefully()
		}
	}
}

// adjustAbandoned adds delta to the number of attempts whose outcome has been reported but that still hold their
// connection, and updates how many attempts the balancer may have in flight.
func (l *loop) adjustAbandoned(endpoint *endpoint, delta int) {
	endpoint.abandoned += delta
	limit := l.maxInFlight(endpoint)
	if limit != endpoint.upstream.MaxInFlight {
		endpoint.upstream.MaxInFlight = limit
		l.balancer.MaxInFlightChanged(l.now(), endpoint.id, limit)
	}
}

// forgetIfUnused deletes a removed endpoint that has no open attempts.
func (l *loop) forgetIfUnused(endpoint *endpoint) {
	isUnused := endpoint.state == balancer.Removed && len(endpoint.openAttempts) == 0
	if isUnused && l.endpoints[endpoint.id] == endpoint {
		l.counters.endpointsChanged = true
		delete(l.endpoints, endpoint.id)
		l.names.Forget(endpoint.name)
	}
}
