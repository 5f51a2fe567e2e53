package pool

import (
	"cmp"

	"olivearch/balancer"
	"olivearch/internal/live"
)

// View returns the pool's state at this moment.
func (p *Pool) View() live.Pool { return p.ViewOf(live.Part{}) }

// ViewOf returns a part of it.
func (p *Pool) ViewOf(part live.Part) live.Pool {
	got := make(chan live.Pool, 1)
	p.loop.enqueue(viewRequested{part, got})
	select {
	case v := <-got:
		v.Name, v.TurnedAway, v.Queue = p.name, p.queueFull.Load(), int(p.queueLimit.Load())
		return v
	case <-p.loop.ctx.Done():
		return live.Pool{Name: p.name}
	}
}

// viewRequested asks for the state.
type viewRequested struct {
	part  live.Part
	reply chan<- live.Pool
}

var phaseNames = map[balancer.State]string{balancer.Active: "up", balancer.Draining: "draining", balancer.Removed: "gone"}

func (e viewRequested) apply(l *loop) {
	now := l.now()
	var views []balancer.UpstreamView
	held := 0
	if l.hasBalancer() {
		held = l.balancer.QueueLength()
	}
	if l.hasBalancer() && e.part.Nodes != live.NoNodes {
		views, _ = l.balancer.View(now)
	}
	v := live.Pool{
		Open: len(l.requests), Held: held, Connections: l.connections, Limit: l.maxConnections, Tunnels: len(l.tunnels), Served: l.counters.served.Load(), Refused: l.counters.refused.Load(), Failed: l.counters.failed.Load(),
		ListAgeMS: l.listAge(now).Milliseconds(), HoldMS: l.maxListAge.Milliseconds(), Expired: l.listExpired(now), Trouble: l.sourceError,
		Nodes: []live.Node{},
	}
	for _, u := range views {
		p := l.endpoints[u.ID]
		if p == nil {
			continue
		}
		v.Nodes = append(v.Nodes, live.Node{
			ID: p.name, Address: p.address, Phase: phaseNames[p.state], Member: u.InSubset, Share: u.Share, Cut: u.ShareFactor,
			Mean: u.Mean, Upper: u.Upper, Lower: u.Lower, Area: u.Area, Readings: u.Readings, Load: loadKind(u), Unreadable: p.unreadableReports, UnreadableWhy: p.unreadableReason, Strays: p.unsolicited, Cold: u.WarmingUp, Silent: u.Unresponsive, Out: u.InFlight, Bound: u.ConcurrencyLimit,
			LatencyMS: float64(u.Latency.Microseconds()) / 1000, Connections: p.connections, Part: cmp.Or(p.allotment.Fraction, 1), Limit: p.allotment.Connections,
		})
	}
	members := l.dormant.members
	if e.part.Nodes == live.NoNodes {
		members = nil
	}
	for i := range members { // nobody has asked for it
		m := &members[i]
		p := l.placed(m)
		mark := l.dormant.unexpected[m.ID]
		v.Nodes = append(v.Nodes, live.Node{
			ID: p.name, Address: p.address, Phase: phaseNames[p.state], Cut: 1, Load: live.Unknown,
			Unreadable: mark.unreadableReports, UnreadableWhy: mark.unreadableReason, Strays: mark.unsolicited, Part: cmp.Or(p.allotment.Fraction, 1), Limit: p.allotment.Connections,
		})
	}
	e.reply <- e.part.Of(v)
}

// loadKind tells where a node's readings come from.
func loadKind(u balancer.UpstreamView) string {
	switch {
	case u.Estimated:
		return live.Estimated
	case u.Readings > 0:
		return live.Reported
	}
	return live.Unknown
}
