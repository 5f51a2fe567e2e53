package pool

import (
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

const (
	// idleMargin is how long before the upstream would an idle connection is closed: a request written to one that
	// the upstream has just closed ends as a reset.
	idleMargin    = 5 * time.Second
	sweepInterval = time.Second
	// unsolicitedWatchTime is how long a connection rests between two requests. Answers do not name their request: a second copy
	// that comes late, after the next request is written, would pass for its answer. In a rest it is seen instead.
	unsolicitedWatchTime = time.Millisecond
)

// connection is a connection to an upstream with the goroutine that carries attempts on it, from one to the next: a goroutine for each
// attempt would grow its stack anew each time. It is the loop's but for what its goroutine is given.
type connection struct {
	transportConn upstream.Conn // as the last attempt or probe has left it; nil: none yet
	idleSince     time.Duration // on the loop's clock
	attempts      chan *attempt // closed with the connection
	hasGoroutine  bool          // its goroutine has been started; one that only probes have used has none
}

// start lets an attempt be made on the link, which is idle.
func (k *connection) start(l *loop, a *attempt) {
	if k.hasGoroutine {
		k.attempts <- a // has room: the link was idle
		return
	}
	k.hasGoroutine = true
	go k.serve(l, a)
}

// serve makes an attempt and then those that come to the link.
func (k *connection) serve(l *loop, a *attempt) {
	for open := true; open; {
		r := a.transport.Do(&a.Attempt)
		l.enqueue(attemptFinished{a, r})
		if r.Conn == nil {
			return
		}
		select {
		case a, open = <-k.attempts:
		case <-l.ctx.Done(): // the loop has ended: nobody else has the connection
			r.Conn.Close()
			return
		}
	}
}

// close ends an idle link.
func (k *connection) close() {
	close(k.attempts)
	if k.transportConn != nil {
		k.transportConn.Close()
	}
}

// reuseDelay is how long a connection to p rests between two requests.
func (l *loop) reuseDelay(p *endpoint) time.Duration {
	if l.delayOnlyAfterUnsolicited && p.unsolicited == 0 {
		return 0
	}
	return unsolicitedWatchTime
}

// acquireConnection takes an idle link to p, the most recently used that has rested, or else counts one that is to be opened. Where no more
// may be open over all, the one that idles longest makes room; where no more may be open to p, one that has still to rest is
// taken.
func (l *loop) acquireConnection(p *endpoint, now time.Duration) (k *connection, room bool) {
	rest := l.reuseDelay(p)
	for i := len(p.idleConnections) - 1; i >= 0; i-- {
		if now-p.idleConnections[i].idleSince >= rest {
			k = p.idleConnections[i]
			p.idleConnections = slices.Delete(p.idleConnections, i, i+1)
			return k, true
		}
	}
	if most := p.allotment.Connections; most > 0 && p.connections >= most {
		if len(p.idleConnections) == 0 {
			return nil, false
		}
		k = p.idleConnections[0] // its rest is waited for: closed in favour of a new one, both would be open for a moment
		p.idleConnections = slices.Delete(p.idleConnections, 0, 1)
		return k, true
	}
	if l.connections >= l.maxConnections {
		var longest *endpoint
		for _, q := range l.endpoints {
			if len(q.idleConnections) > 0 && (longest == nil || q.idleConnections[0].idleSince < longest.idleConnections[0].idleSince) {
				longest = q
			}
		}
		if longest == nil || !l.evictIdle(longest) {
			return nil, false
		}
	}
	l.connections, p.connections = l.connections+1, p.connections+1
	return &connection{attempts: make(chan *attempt, 1)}, true
}

// evictIdle closes the link to p that idles longest, if there is one.
func (l *loop) evictIdle(p *endpoint) bool {
	if len(p.idleConnections) == 0 {
		return false
	}
	l.closeConnections(p, p.idleConnections[0])
	p.idleConnections = slices.Delete(p.idleConnections, 0, 1)
	return true
}

// returnConnection takes back a link after use, with its connection; nil means that this has been closed.
func (l *loop) returnConnection(p *endpoint, k *connection, c upstream.Conn) {
	k.transportConn = c
	switch {
	case c == nil:
		l.connections, p.connections = l.connections-1, p.connections-1
	case p.allotment.Connections > 0 && p.connections > p.allotment.Connections: // its part has become smaller
		l.closeConnections(p, k)
	case p.state != balancer.Active || c.Address() != p.address:
		l.closeConnections(p, k)
	case c.Reuse() != nil:
		l.closeConnections(p, k)
	default:
		k.idleSince = l.now()
		p.idleConnections = append(p.idleConnections, k)
	}
}

// closeConnections closes idle links to p, away from the loop.
func (l *loop) closeConnections(p *endpoint, ks ...*connection) {
	l.connections, p.connections = l.connections-len(ks), p.connections-len(ks)
	if len(ks) > 0 {
		go func() {
			for _, k := range ks {
				k.close()
			}
		}()
	}
}

// closeExpiredIdle closes links that have idled for long. The least recently used stand first.
func (l *loop) closeExpiredIdle(now time.Duration) {
	for _, p := range l.endpoints {
		n := 0
		for n < len(p.idleConnections) && now-p.idleConnections[n].idleSince >= l.idleTimeout {
			n++
		}
		if n > 0 {
			l.closeConnections(p, p.idleConnections[:n]...)
			p.idleConnections = append([]*connection(nil), p.idleConnections[n:]...)
		}
	}
}

// CloseIdle closes the idle links to an upstream.
func (l *loop) CloseIdle(up balancer.UpstreamID) {
	if p := l.endpoints[up]; p != nil {
		l.closeConnections(p, p.idleConnections...)
		p.idleConnections = nil
	}
}

// HealthCheck asks an upstream for its load.
func (l *loop) HealthCheck(up balancer.UpstreamID) {
	p := l.endpoints[up]
	if p == nil || p.state != balancer.Active {
		return
	}
	sentAt := l.now()
	k, room := l.acquireConnection(p, sentAt)
	if !room {
		return
	}
	ask := upstream.Probe{Address: p.address, Load: l.settings.Reports != balancer.ReportNone, Conn: k.transportConn}
	via := l.transport
	go func() { l.enqueue(healthCheckFinished{p, k, sentAt, via.Probe(ask)}) }()
}

// healthCheckFinished is the end of a probe.
type healthCheckFinished struct {
	endpoint   *endpoint
	connection *connection
	sentAt     time.Duration
	upstream.Result
}

func (e healthCheckFinished) apply(l *loop) {
	l.returnConnection(e.endpoint, e.connection, e.Conn)
	e.endpoint.noteUnreadableReport(e.Spoilt)
	if e.Stray {
		e.endpoint.unsolicited++
	}
	now := l.now()
	l.balancer.HealthCheckFinished(now, balancer.HealthCheckResult{Upstream: e.endpoint.id, Latency: now - e.sentAt, Status: e.Status, Load: e.Load})
}
