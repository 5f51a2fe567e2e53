package pool

import (
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
)

// Stats are a pool's counters and levels.
type Stats struct {
	Served, Refused, Failed uint64        // requests, by their final answer
	QueueFull               uint64        // since the queue was full; not among the refused
	ServedFor               time.Duration // the sum of what the served took, from their coming to the answer's head
	Open, Queue             int           // requests in it, and at most
	Queued                  int           // of these, waiting for a turn
	Connections, Limit      int           // to its nodes, and at most
	Tunnels                 int
	Up, Draining            int           // nodes listed, by what holds here
	Created                 bool          // it has a module: it was asked, or is large
	ListAge                 time.Duration // since the last good word from the list's source
	Expired                 bool          // it is older than it may become: all is refused
}

// Asked tells whether a request has ever come to it.
func (s *Stats) Asked() bool { return s.Served+s.Refused+s.Failed+s.QueueFull > 0 || s.Open > 0 }

// counters are what others read of a pool without its goroutine. Counters are exact; levels are as it left them when it parked, or a second ago
// at most while it runs.
type counters struct {
	served, refused, failed                                     atomic.Uint64
	servedFor                                                   atomic.Int64 // ns
	queued, connections, connectionLimit, tunnels, up, draining atomic.Int64
	created                                                     atomic.Bool
	listReceivedAt, maxListAge                                  atomic.Int64 // time.Durations
	endpointsChanged                                            bool         // nodes have changed; the goroutine's own
}

// Stats returns the pool's counters and levels. It wakes nobody and waits for nobody.
func (p *Pool) Stats() Stats {
	c := &p.loop.counters
	s := Stats{
		Served: c.served.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(), QueueFull: p.queueFull.Load(), ServedFor: time.Duration(c.servedFor.Load()),
		Open: int(max(0, p.admitted.Load())), Queue: int(p.queueLimit.Load()), Queued: int(c.queued.Load()), Connections: int(c.connections.Load()), Limit: int(c.connectionLimit.Load()),
		Tunnels: int(c.tunnels.Load()), Up: int(c.up.Load()), Draining: int(c.draining.Load()), Created: c.created.Load(),
	}
	s.ListAge = max(0, p.loop.now()-max(time.Duration(c.listReceivedAt.Load()), time.Duration(p.loop.listConfirmedAt.Load())))
	if hold := time.Duration(c.maxListAge.Load()); hold > 0 {
		s.Expired = s.ListAge > hold
	}
	return s
}

// publish leaves the levels for Stats.
func (l *loop) publish() {
	c := &l.counters
	held := 0
	if l.hasBalancer() {
		held = l.balancer.QueueLength()
	}
	c.queued.Store(int64(held))
	c.connections.Store(int64(l.connections))
	c.connectionLimit.Store(int64(l.maxConnections))
	c.tunnels.Store(int64(len(l.tunnels)))
	c.created.Store(l.hasBalancer())
	c.listReceivedAt.Store(int64(l.listReceivedAt))
	c.maxListAge.Store(int64(l.maxListAge))
	if !c.endpointsChanged {
		return
	}
	c.endpointsChanged = false
	by := map[balancer.State]int64{}
	for _, p := range l.endpoints {
		by[p.state]++
	}
	for i := range l.dormant.members {
		p := l.placed(&l.dormant.members[i])
		by[p.state]++
	}
	c.up.Store(by[balancer.Active])
	c.draining.Store(by[balancer.Draining])
	c.endpointsChanged = false // placing has set it
}

// placed is a node of a pool that is not made, as it would stand.
func (l *loop) placed(m *discovery.Member) *endpoint {
	u := m.Upstream(0)
	p := &endpoint{name: m.ID, address: m.HostPort, listedState: u.State, upstream: u, listedWeight: u.Weight}
	l.refreshEndpoint(p)
	return p
}
