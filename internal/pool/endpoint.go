package pool

import (
	"fmt"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/sharedlimit"
)

// endpoint is what the loop knows of an upstream's address and connections.
type endpoint struct {
	id                balancer.UpstreamID
	name              string // discovery's id
	address           string
	member            discovery.Member // as it was listed last
	listedState       balancer.State   // by this pool's own list
	state             balancer.State   // with what the other pools of the process were told, and what is out by hand
	idleConnections   []*connection    // the most recently used last
	openAttempts      map[*attempt]struct{}
	listGeneration    uint64 // the last that named it
	lingeringAttempts int
	tunnelCount       int
	abandoned         int                   // attempts among those out that the module takes for ended
	connections       int                   // to it, open or opening
	allotment         sharedlimit.Allotment // where other pools of the process may use it too
	upstream          balancer.Upstream
	listedWeight      float64 // by its list; staff's word may leave it a part of that
	unsolicited       uint64  // connections on which it sent what nobody had asked for
	unreadableReports uint64  // load reports that could not be read
	unreadableReason  string  // the last of them could not
}

// noteUnreadableReport notes a load report that could not be read.
func (p *endpoint) noteUnreadableReport(why string) {
	if why != "" {
		p.unreadableReports, p.unreadableReason = p.unreadableReports+1, why
	}
}

// endpointsUpdated is an answer of discovery, or a list that was told from elsewhere.
type endpointsUpdated discovery.Heard

func (x endpointsUpdated) apply(l *loop) {
	switch {
	case x.From != l.discovery: // asked before discovery moved
		return
	case x.Err != nil:
		l.sourceError = x.Err.Error()
		l.Log(l.sourceError)
		if l.settings.PollDiscovery { // else the agent is asked until it answers
			l.balancer.EndpointsUpdated(l.now(), balancer.ListFailed, nil)
		}
	case x.Revision < l.revision: // overtaken by a newer one: it must not undo that
		l.Log(fmt.Sprintf("discovery: revision %d after %d passed over", x.Revision, l.revision))
	default:
		l.listReceivedAt, l.sourceError = l.now(), ""
		l.listReceived.Store(true)
		mode := balancer.ListDelta
		if x.Complete {
			mode = balancer.ListFull
		}
		l.applyListing(mode, x.Listing)
		if l.endpointStore != nil {
			l.endpointStore.Save(x.Listing)
		}
	}
	l.reportPendingOutcomes()
}

// followDiscovery begins to ask discovery at an address; empty: nowhere. What was asked before is ended.
func (l *loop) followDiscovery(address string) {
	if l.discovery != nil {
		l.discovery.End()
		l.discovery = nil
	}
	l.revision = 0 // of another source: it means nothing to the next
	if address != "" {
		l.discovery = discovery.New(l.ctx, address, func(x discovery.Heard) { l.enqueueUrgent(endpointsUpdated(x)) })
	}
}

// discoveryAddress is the address of discovery; empty: none is followed.
func (l *loop) discoveryAddress() string {
	if l.discovery == nil {
		return ""
	}
	return l.discovery.Address
}

// listExpired tells whether the list has been without a word from its source for longer than it holds.
func (l *loop) listExpired(now time.Duration) bool {
	return l.maxListAge > 0 && l.listAge(now) > l.maxListAge
}

// listAge is the time since the last good word from the list's source.
func (l *loop) listAge(now time.Duration) time.Duration {
	return now - max(l.listReceivedAt, time.Duration(l.listConfirmedAt.Load()))
}

// applyListing applies a list: first to the peers, so that nothing goes to one that drains, then to the module, which
// may send at once.
func (l *loop) applyListing(mode balancer.ListMode, x discovery.Listing) {
	if l.hasList = true; !l.hasBalancer() {
		l.updateDormantList(mode, x)
		return
	}
	l.revision = x.Revision
	list := make([]balancer.Upstream, 0, len(x.Members))
	l.listGeneration++
	for i := range x.Members {
		m := &x.Members[i]
		u := m.Upstream(l.names.ID(m.ID))
		if p := l.applyMember(u, m); p != nil {
			p.listGeneration, u = l.listGeneration, p.upstream
		}
		list = append(list, u)
	}
	for id, p := range l.endpoints {
		if mode != balancer.ListDelta && p.listGeneration != l.listGeneration {
			p.state, p.listedState = balancer.Removed, balancer.Removed
			l.CloseIdle(id)
			l.endTunnels(p)
		}
		l.dropUnsent(p)
	}
	l.claimEndpoints()
	l.balancer.EndpointsUpdated(l.now(), mode, list)
	l.reportPendingOutcomes()
	for _, p := range l.endpoints {
		l.forgetEndpoint(p)
	}
}

// dropUnsent drops what waits for a connection to an upstream that has left.
func (l *loop) dropUnsent(p *endpoint) {
	if p.state == balancer.Active {
		return
	}
	for a := range p.openAttempts {
		if a.Drop() {
			l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, balancer.NotSent})
		}
	}
}

// endTunnels lets the tunnels to p end within their grace; nil: all.
func (l *loop) endTunnels(p *endpoint) {
	for a := range l.tunnels {
		if p == nil || a.endpoint == p {
			a.tunnel.EndSoon()
		}
	}
}

// forgetEndpoint drops an upstream that is gone and has nothing out.
func (l *loop) forgetEndpoint(p *endpoint) {
	if p.state == balancer.Removed && len(p.openAttempts) == 0 && l.endpoints[p.id] == p {
		l.counters.endpointsChanged = true
		delete(l.endpoints, p.id)
		l.names.Forget(p.name)
	}
}

// applyMember applies a list's entry; nil if it is of no concern.
func (l *loop) applyMember(u balancer.Upstream, m *discovery.Member) *endpoint {
	p, address := l.endpoints[u.ID], m.HostPort
	if p == nil {
		if u.State == balancer.Removed {
			l.names.Forget(m.ID)
			return nil
		}
		if len(l.preallocated) > 0 {
			p, l.preallocated = &l.preallocated[0], l.preallocated[1:]
		} else {
			p = new(endpoint)
		}
		p.id, p.name = u.ID, m.ID
		l.endpoints[u.ID] = p
	}
	if u.State != balancer.Removed {
		if address != p.address && p.address != "" {
			l.CloseIdle(u.ID)
		}
		p.address = address
	}
	p.listedState, p.member = u.State, *m
	p.upstream, p.listedWeight = u, u.Weight
	l.refreshEndpoint(p)
	return p
}

// refreshEndpoint works out an upstream's state from its list, what the directory told, and what is out by hand. Until the directory has
// answered for a node it gets nothing: other pools must have been told first that they share it.
func (l *loop) refreshEndpoint(p *endpoint) {
	l.counters.endpointsChanged = true
	p.state, p.upstream.MaxInFlight = p.listedState, 0
	if l.registration != nil {
		share, known := l.registration.allotment(p.address)
		p.allotment = share
		p.upstream.WarmUpShare, p.upstream.MaxInFlight = share.Fraction, p.maxInFlight()
		if p.listedState == balancer.Active && (!known || (share.Draining && !l.registration.ownDrainsOnly)) {
			p.state = balancer.Draining
		}
	}
	if back := l.overrides.ReturnedAt(p.name, p.upstream.Zone); back > 0 { // it was restarted while out, and lists tell of that late
		p.upstream.StartedAt = max(p.upstream.StartedAt, back)
	}
	p.upstream.Weight = p.listedWeight * l.overrides.WeightFactor(p.name)
	if most := l.overrides.ConcurrencyCap(p.name); most > 0 && (p.upstream.MaxInFlight == 0 || most < p.upstream.MaxInFlight) {
		p.upstream.MaxInFlight = most
	}
	if l.overrides.OutOfService(p.name, p.upstream.Zone) && p.state == balancer.Active {
		p.state = balancer.Draining
	}
	p.upstream.State = p.state
	if p.state != balancer.Active {
		l.CloseIdle(p.id)
		l.endTunnels(p)
	}
}
