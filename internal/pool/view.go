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
	p.loop.post(viewing{part, got})
	select {
	case v := <-got:
		v.Name, v.TurnedAway, v.Queue = p.name, p.away.Load(), int(p.queue.Load())
		return v
	case <-p.loop.ctx.Done():
		return live.Pool{Name: p.name}
	}
}

// viewing asks for the state.
type viewing struct {
	part live.Part
	got  chan<- live.Pool
}

var phaseNames = map[balancer.State]string{balancer.Active: "up", balancer.Draining: "draining", balancer.Removed: "gone"}

func (e viewing) apply(l *loop) {
	now := l.now()
	var views []balancer.UpstreamView
	held := 0
	if l.made() {
		held = l.balancer.QueueLength()
	}
	if l.made() && e.part.Nodes != live.NoNodes {
		views, _ = l.balancer.View(now)
	}
	v := live.Pool{
		Open: len(l.requests), Held: held, Connections: l.conns, Limit: l.maxConns, Tunnels: len(l.tunnels), Served: l.counts.served.Load(), Refused: l.counts.refused.Load(), Failed: l.counts.failed.Load(),
		ListAgeMS: l.listAge(now).Milliseconds(), HoldMS: l.hold.Milliseconds(), Expired: l.expired(now), Trouble: l.trouble,
		Nodes: []live.Node{},
	}
	for _, u := range views {
		p := l.peers[u.ID]
		if p == nil {
			continue
		}
		v.Nodes = append(v.Nodes, live.Node{
			ID: p.name, Address: p.address, Phase: phaseNames[p.state], Member: u.InSubset, Share: u.Share, Cut: u.ShareFactor,
			Mean: u.Mean, Upper: u.Upper, Lower: u.Lower, Area: u.Area, Readings: u.Readings, Load: loadKind(u), Unreadable: p.spoilt, UnreadableWhy: p.why, Strays: p.strays, Cold: u.WarmingUp, Silent: u.Unresponsive, Out: u.InFlight, Bound: u.ConcurrencyLimit,
			LatencyMS: float64(u.Latency.Microseconds()) / 1000, Connections: p.conns, Part: cmp.Or(p.share.Fraction, 1), Limit: p.share.Connections,
		})
	}
	members := l.unmade.members
	if e.part.Nodes == live.NoNodes {
		members = nil
	}
	for i := range members { // nobody has asked for it
		m := &members[i]
		p := l.placed(m)
		mark := l.unmade.marks[m.ID]
		v.Nodes = append(v.Nodes, live.Node{
			ID: p.name, Address: p.address, Phase: phaseNames[p.state], Cut: 1, Load: live.Unknown,
			Unreadable: mark.spoilt, UnreadableWhy: mark.why, Strays: mark.strays, Part: cmp.Or(p.share.Fraction, 1), Limit: p.share.Connections,
		})
	}
	e.got <- e.part.Of(v)
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
