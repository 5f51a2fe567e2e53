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

// counts are what others read of a pool without its goroutine. Counters are exact; levels are as it left them when it parked, or a second ago
// at most while it runs.
type counts struct {
	served, refused, failed                   atomic.Uint64
	servedFor                                 atomic.Int64 // ns
	held, conns, limit, tunnels, up, draining atomic.Int64
	made                                      atomic.Bool
	heardAt, hold                             atomic.Int64 // time.Durations
	recount                                   bool         // nodes have changed; the goroutine's own
}

// Stats returns the pool's counters and levels. It wakes nobody and waits for nobody.
func (p *Pool) Stats() Stats {
	c := &p.loop.counts
	s := Stats{
		Served: c.served.Load(), Refused: c.refused.Load(), Failed: c.failed.Load(), QueueFull: p.away.Load(), ServedFor: time.Duration(c.servedFor.Load()),
		Open: int(max(0, p.users.Load())), Queue: int(p.queue.Load()), Queued: int(c.held.Load()), Connections: int(c.conns.Load()), Limit: int(c.limit.Load()),
		Tunnels: int(c.tunnels.Load()), Up: int(c.up.Load()), Draining: int(c.draining.Load()), Created: c.made.Load(),
	}
	s.ListAge = max(0, p.loop.now()-max(time.Duration(c.heardAt.Load()), time.Duration(p.loop.confirmed.Load())))
	if hold := time.Duration(c.hold.Load()); hold > 0 {
		s.Expired = s.ListAge > hold
	}
	return s
}

// publish leaves the levels for Stats.
func (l *loop) publish() {
	c := &l.counts
	held := 0
	if l.made() {
		held = l.balancer.QueueLength()
	}
	c.held.Store(int64(held))
	c.conns.Store(int64(l.conns))
	c.limit.Store(int64(l.maxConns))
	c.tunnels.Store(int64(len(l.tunnels)))
	c.made.Store(l.made())
	c.heardAt.Store(int64(l.heardAt))
	c.hold.Store(int64(l.hold))
	if !c.recount {
		return
	}
	c.recount = false
	by := map[balancer.State]int64{}
	for _, p := range l.peers {
		by[p.state]++
	}
	for i := range l.unmade.members {
		p := l.placed(&l.unmade.members[i])
		by[p.state]++
	}
	c.up.Store(by[balancer.Active])
	c.draining.Store(by[balancer.Draining])
	c.recount = false // placing has set it
}

// placed is a node of a pool that is not made, as it would stand.
func (l *loop) placed(m *discovery.Member) *peer {
	u := m.Upstream(0)
	p := &peer{name: m.ID, address: m.HostPort, listed: u.State, entry: u, weight: u.Weight}
	l.place(p)
	return p
}
