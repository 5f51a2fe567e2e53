package pool

import (
	"cmp"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/live"
)

// View returns the pool's current state.
func (p *Pool) View() live.Pool { return p.PartialView(live.Part{}) }

// PartialView returns a part of the current state. For a pool that has ended it contains only the name.
func (p *Pool) PartialView(part live.Part) live.Pool {
	reply := make(chan live.Pool, 1)
	p.loop.enqueue(viewRequested{part, reply})
	select {
	case view := <-reply:
		view.Name = p.name
		view.TurnedAway = p.queueFull.Load()
		view.MaxRequests = int(p.queueLimit.Load())
		return view
	case <-p.loop.ctx.Done():
		return live.Pool{Name: p.name}
	}
}

// viewRequested is a call of PartialView.
type viewRequested struct {
	part  live.Part
	reply chan<- live.Pool
}

// phaseNames holds the names of endpoint states in the live view.
var phaseNames = map[balancer.State]string{
	balancer.Active:   "up",
	balancer.Draining: "draining",
	balancer.Removed:  "gone",
}

func (e viewRequested) apply(l *loop) { e.reply <- e.part.Apply(l.view(e.part)) }

// view returns the loop's state. part only tells whether to omit the endpoints.
func (l *loop) view(part live.Part) live.Pool {
	now := l.now()
	view := live.Pool{
		OpenRequests: len(l.requests),
		Queued:       l.queueLength(),
		Connections:  l.connections.open,
		Limit:        l.connections.max,
		Tunnels:      len(l.tunnels),
		Served:       l.counters.served.Load(),
		Refused:      l.counters.refused.Load(),
		Failed:       l.counters.failed.Load(),
		ListAgeMS:    l.source.age(now).Milliseconds(),
		MaxListAgeMS: l.source.maxAge.Milliseconds(),
		Expired:      l.source.expired(now),
		ListError:    l.source.lastError,
		Nodes:        []live.Node{},
	}
	if part.Nodes != live.NoNodes {
		view.Nodes = l.appendNodes(view.Nodes, now)
	}
	return view
}

// appendNodes appends the state of each endpoint.
func (l *loop) appendNodes(nodes []live.Node, now time.Duration) []live.Node {
	if l.hasBalancer() {
		views, _ := l.balancer.View(now)
		for i := range views {
			if endpoint := l.endpoints[views[i].ID]; endpoint != nil {
				nodes = append(nodes, endpoint.node(&views[i]))
			}
		}
	}
	for i := range l.suspension.dormant.members {
		nodes = append(nodes, l.dormantNode(&l.suspension.dormant.members[i]))
	}
	return nodes
}

// node returns the endpoint's state in the live view, with the figures of the balancer.
func (e *endpoint) node(view *balancer.UpstreamView) live.Node {
	node := e.faults.node(e)
	node.InSubset = view.InSubset
	node.Share = view.Share
	node.ShareFactor = view.ShareFactor
	node.Mean = view.Mean
	node.Upper = view.Upper
	node.Lower = view.Lower
	node.BandArea = view.Area
	node.Readings = view.Readings
	node.LoadSource = loadKind(view)
	node.WarmingUp = view.WarmingUp
	node.Unresponsive = view.Unresponsive
	node.InFlight = view.InFlight
	node.ConcurrencyLimit = view.ConcurrencyLimit
	node.LatencyMS = float64(view.Latency.Microseconds()) / 1000
	node.Connections = e.connections
	return node
}

// dormantNode returns the state of an endpoint of a dormant pool in the live view.
func (l *loop) dormantNode(member *discovery.Member) live.Node {
	faults := l.suspension.dormant.faults[member.ID]
	node := faults.node(l.dormantEndpoint(member))
	node.ShareFactor = 1
	node.LoadSource = live.Unknown
	return node
}

// node returns the part of an endpoint's state that does not depend on the balancer, with these faults.
func (f endpointFaults) node(e *endpoint) live.Node {
	return live.Node{
		ID:                  e.name,
		Address:             e.address,
		Phase:               phaseNames[e.state],
		UnreadableReports:   f.unreadableReports,
		UnreadableReason:    f.unreadableReason,
		Unsolicited:         f.unsolicited,
		AllotmentFraction:   cmp.Or(e.allotment.Fraction, 1),
		AllottedConnections: e.allotment.Connections,
	}
}

// loadKind returns the source of an endpoint's load readings, as the live view names it.
func loadKind(view *balancer.UpstreamView) string {
	switch {
	case view.Estimated:
		return live.Estimated
	case view.Readings > 0:
		return live.Reported
	}
	return live.Unknown
}
