package pool

import (
	"cmp"

	"clayladder"
	"clayladder/internal/live"
)

// View returns the pool's state at this moment.
func (p *Pool) View() live.Pool {
	got := make(chan live.Pool, 1)
	p.loop.post(viewing{got})
	select {
	case v := <-got:
		v.Name, v.TurnedAway, v.Queue = p.name, p.away.Load(), int(p.queue.Load())
		return v
	case <-p.loop.ctx.Done():
		return live.Pool{Name: p.name}
	}
}

// viewing asks for the state.
type viewing struct{ got chan<- live.Pool }

var phaseNames = map[clayladder.State]string{clayladder.Active: "up", clayladder.Draining: "draining", clayladder.Gone: "gone"}

func (e viewing) apply(l *loop) {
	now := l.now()
	var views []clayladder.UpstreamView
	held := 0
	if l.made() {
		views, held = l.balancer.View(now)
	}
	v := live.Pool{Open: len(l.requests), Held: held, Connections: l.conns, Limit: l.maxConns, Tunnels: len(l.tunnels), Served: l.served, Refused: l.refused, Failed: l.failed,
		ListAgeMS: l.listAge(now).Milliseconds(), HoldMS: l.hold.Milliseconds(), Expired: l.expired(now), Trouble: l.trouble,
		Nodes: []live.Node{}}
	for _, u := range views {
		p := l.peers[u.ID]
		if p == nil {
			continue
		}
		v.Nodes = append(v.Nodes, live.Node{ID: p.name, Address: p.address, Phase: phaseNames[p.state], Member: u.Member, Share: u.Share, Cut: u.Cut,
			Mean: u.Mean, Upper: u.Upper, Lower: u.Lower, Area: u.Area, Readings: u.Readings, Load: loadKind(u), Unreadable: p.spoilt, UnreadableWhy: p.why, Strays: p.strays, Cold: u.Cold, Silent: u.Silent, Out: u.Out, Bound: u.Bound,
			LatencyMS: float64(u.Latency.Microseconds()) / 1000, Connections: p.conns, Part: cmp.Or(p.share.Part, 1), Limit: p.share.Connections})
	}
	for i := range l.unmade.members { // nobody has asked for it
		m := &l.unmade.members[i]
		u := m.Upstream(0)
		p := &peer{name: m.ID, address: m.HostPort, listed: u.State, entry: u, weight: u.Weight}
		l.place(p)
		mark := l.unmade.marks[m.ID]
		v.Nodes = append(v.Nodes, live.Node{ID: p.name, Address: p.address, Phase: phaseNames[p.state], Cut: 1, Load: live.Unknown,
			Unreadable: mark.spoilt, UnreadableWhy: mark.why, Strays: mark.strays, Part: cmp.Or(p.share.Part, 1), Limit: p.share.Connections})
	}
	e.got <- v
}

// loadKind tells where a node's readings come from.
func loadKind(u clayladder.UpstreamView) string {
	switch {
	case u.Estimated:
		return live.Estimated
	case u.Readings > 0:
		return live.Reported
	}
	return live.Unknown
}
