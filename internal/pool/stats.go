package pool

import (
	"sync/atomic"
	"time"

	"olivearch/balancer"
)

// Stats holds the counters and gauges of a pool.
type Stats struct {
	// Served, Refused and Failed count requests by their final response.
	Served, Refused, Failed uint64
	// QueueFull counts requests that were not admitted because the queue was full. Refused does not include them.
	QueueFull uint64
	// ServedFor is the sum of the times from the arrival of each served request to the start of its response.
	ServedFor time.Duration
	// Open is the number of requests in the pool, MaxRequests its limit.
	Open, MaxRequests int
	// Queued is the number of open requests that wait to be sent.
	Queued int
	// Connections is the number of open connections to endpoints, MaxConnections its limit.
	Connections, MaxConnections int
	Tunnels                     int
	// Active and Draining count the listed endpoints by the state in which the balancer sees them.
	Active, Draining int
	// HasBalancer: the pool has a balancer, because it has had a request recently or has many endpoints.
	HasBalancer bool
	// ListAge is the time since the source last sent or confirmed the endpoint list.
	ListAge time.Duration
	// Expired: the endpoint list is too old to be used, and all requests are refused.
	Expired bool
}

// HasRequests reports whether the pool has ever had a request.
func (s *Stats) HasRequests() bool { return s.Served+s.Refused+s.Failed+s.QueueFull > 0 || s.Open > 0 }

// counters holds the figures of a pool that other goroutines read. Counters are exact. Gauges have the values from when
// the loop was parked, or, while it runs, from up to sweepInterval ago.
type counters struct {
	served, refused, failed atomic.Uint64
	servedFor               atomic.Int64 // nanoseconds

	queued, connections, connectionLimit, tunnels atomic.Int64
	active, draining                              atomic.Int64
	hasBalancer                                   atomic.Bool
	listReceivedAt, maxListAge                    atomic.Int64 // time.Duration

	endpointsChanged bool // since the endpoints were last counted; used by the loop only
}

// Stats returns the counters and gauges of the pool. It wakes no goroutine and does not block.
func (p *Pool) Stats() Stats {
	current := &p.loop.counters
	stats := Stats{
		Served:         current.served.Load(),
		Refused:        current.refused.Load(),
		Failed:         current.failed.Load(),
		QueueFull:      p.queueFull.Load(),
		ServedFor:      time.Duration(current.servedFor.Load()),
		Open:           int(max(0, p.admitted.Load())),
		MaxRequests:    int(p.queueLimit.Load()),
		Queued:         int(current.queued.Load()),
		Connections:    int(current.connections.Load()),
		MaxConnections: int(current.connectionLimit.Load()),
		Tunnels:        int(current.tunnels.Load()),
		Active:         int(current.active.Load()),
		Draining:       int(current.draining.Load()),
		HasBalancer:    current.hasBalancer.Load(),
	}
	receivedAt := time.Duration(current.listReceivedAt.Load())
	confirmedAt := time.Duration(p.loop.source.confirmedAt.Load())
	stats.ListAge = max(0, p.loop.now()-max(receivedAt, confirmedAt))
	maxAge := time.Duration(current.maxListAge.Load())
	stats.Expired = maxAge > 0 && stats.ListAge > maxAge
	return stats
}

// publishGauges updates the gauges that Stats reads.
func (l *loop) publishGauges() {
	c := &l.counters
	c.queued.Store(int64(l.queueLength()))
	c.connections.Store(int64(l.connections.open))
	c.connectionLimit.Store(int64(l.connections.max))
	c.tunnels.Store(int64(len(l.tunnels)))
	c.hasBalancer.Store(l.hasBalancer())
	c.listReceivedAt.Store(int64(l.source.receivedAt))
	c.maxListAge.Store(int64(l.source.maxAge))
	if c.endpointsChanged {
		l.countEndpoints()
		c.endpointsChanged = false
	}
}

// queueLength returns the number of requests that wait to be sent.
func (l *loop) queueLength() int {
	if !l.hasBalancer() {
		return 0
	}
	return l.balancer.QueueLength()
}

// countEndpoints publishes the number of endpoints by state.
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
