package pool

import (
	"sync/atomic"
	"time"

	"olivearch/balancer"
)

// Stats are a pool's counters and levels.
type Stats struct {
	// Served, Refused and Failed count requests by their final response.
	Served, Refused, Failed uint64
	// QueueFull counts requests that were not admitted since the queue was full. They are not among the refused.
	QueueFull uint64
	// ServedFor is the sum of the times that served requests took, from their arrival to the response's head.
	ServedFor time.Duration
	// Open is how many requests are in the pool, Queue how many may be.
	Open, MaxRequests int
	// Queued is how many of the open requests wait to be sent.
	Queued int
	// Connections is how many connections to endpoints are open, Limit how many may be.
	Connections, MaxConnections int
	Tunnels                     int
	// Active and Draining count the listed endpoints by the state that counts for this pool.
	Active, Draining int
	// HasBalancer: the pool has a balancer, since it has had requests or is large.
	HasBalancer bool
	// ListAge is the time since the list's source gave its last good answer.
	ListAge time.Duration
	// Expired: the list is too old to be used, and all requests are refused.
	Expired bool
}

// HasRequests reports whether the pool has ever had a request.
func (s *Stats) HasRequests() bool { return s.Served+s.Refused+s.Failed+s.QueueFull > 0 || s.Open > 0 }

// counters are what other goroutines read of a pool. Counters are exact; levels are as the loop left them when it was
// parked, or up to sweepInterval ago while it runs.
type counters struct {
	served, refused, failed atomic.Uint64
	servedFor               atomic.Int64 // nanoseconds

	queued, connections, connectionLimit, tunnels atomic.Int64
	active, draining                              atomic.Int64
	created                                       atomic.Bool
	listReceivedAt, maxListAge                    atomic.Int64 // time.Durations

	endpointsChanged bool // since the endpoints were counted last; the loop's own
}

// Stats returns the pool's counters and levels. It wakes no goroutine and waits for none.
func (p *Pool) Stats() Stats {
	levels := &p.loop.counters
	stats := Stats{
		Served:         levels.served.Load(),
		Refused:        levels.refused.Load(),
		Failed:         levels.failed.Load(),
		QueueFull:      p.queueFull.Load(),
		ServedFor:      time.Duration(levels.servedFor.Load()),
		Open:           int(max(0, p.admitted.Load())),
		MaxRequests:    int(p.queueLimit.Load()),
		Queued:         int(levels.queued.Load()),
		Connections:    int(levels.connections.Load()),
		MaxConnections: int(levels.connectionLimit.Load()),
		Tunnels:        int(levels.tunnels.Load()),
		Active:         int(levels.active.Load()),
		Draining:       int(levels.draining.Load()),
		HasBalancer:    levels.created.Load(),
	}
	receivedAt := time.Duration(levels.listReceivedAt.Load())
	confirmedAt := time.Duration(p.loop.source.confirmedAt.Load())
	stats.ListAge = max(0, p.loop.now()-max(receivedAt, confirmedAt))
	maxAge := time.Duration(levels.maxListAge.Load())
	stats.Expired = maxAge > 0 && stats.ListAge > maxAge
	return stats
}

// publishLevels leaves the levels for Stats.
func (l *loop) publishLevels() {
	c := &l.counters
	c.queued.Store(int64(l.queueLength()))
	c.connections.Store(int64(l.connections.open))
	c.connectionLimit.Store(int64(l.connections.max))
	c.tunnels.Store(int64(len(l.tunnels)))
	c.created.Store(l.hasBalancer())
	c.listReceivedAt.Store(int64(l.source.receivedAt))
	c.maxListAge.Store(int64(l.source.maxAge))
	if c.endpointsChanged {
		l.countEndpoints()
		c.endpointsChanged = false
	}
}

// queueLength is how many requests wait to be sent.
func (l *loop) queueLength() int {
	if !l.hasBalancer() {
		return 0
	}
	return l.balancer.QueueLength()
}

// countEndpoints publishes how many endpoints there are by state.
func (l *loop) countEndpoints() {
	byState := map[balancer.State]int64{}
	for _, endpoint := range l.endpoints {
		byState[endpoint.state]++
	}
	for i := range l.suspension.dormant.members {
		endpoint := l.dormantEndpoint(&l.suspension.dormant.members[i])
		byState[endpoint.state]++
	}
	l.counters.active.Store(byState[balancer.Active])
	l.counters.draining.Store(byState[balancer.Draining])
}
