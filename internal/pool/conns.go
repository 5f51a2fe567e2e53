package pool

import (
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

const (
	// spareIdle is how long before the upstream would an idle connection is closed: a request written to one that
	// the upstream has just closed ends as a reset.
	spareIdle  = 5 * time.Second
	sweepEvery = time.Second
	// restFor is how long a connection rests between two requests. Answers do not name their request: a second copy
	// that comes late, after the next request is written, would pass for its answer. In a rest it is seen instead.
	restFor = time.Millisecond
)

// link is a connection to an upstream with the goroutine that carries attempts on it, from one to the next: a goroutine for each
// attempt would grow its stack anew each time. It is the loop's but for what its goroutine is given.
type link struct {
	conn    upstream.Conn // as the last attempt or probe has left it; nil: none yet
	idleAt  time.Duration // on the loop's clock
	work    chan *attempt // closed with the connection
	carries bool          // its goroutine has been started; one that only probes have used has none
}

// carry lets an attempt be made on the link, which is idle.
func (k *link) carry(l *loop, a *attempt) {
	if k.carries {
		k.work <- a // has room: the link was idle
		return
	}
	k.carries = true
	go k.run(l, a)
}

// run makes an attempt and then those that come to the link.
func (k *link) run(l *loop, a *attempt) {
	for open := true; open; {
		r := a.via.Do(&a.Attempt)
		l.post(finished{a, r})
		if r.Conn == nil {
			return
		}
		select {
		case a, open = <-k.work:
		case <-l.ctx.Done(): // the loop has ended: nobody else has the connection
			r.Conn.Close()
			return
		}
	}
}

// close ends an idle link.
func (k *link) close() {
	close(k.work)
	if k.conn != nil {
		k.conn.Close()
	}
}

// rest is how long a connection to p rests between two requests.
func (l *loop) rest(p *peer) time.Duration {
	if l.trust && p.strays == 0 {
		return 0
	}
	return restFor
}

// link takes an idle link to p, the most recently used that has rested, or else counts one that is to be opened. Where no more
// may be open over all, the one that idles longest makes room; where no more may be open to p, one that has still to rest is
// taken.
func (l *loop) link(p *peer, now time.Duration) (k *link, room bool) {
	rest := l.rest(p)
	for i := len(p.idle) - 1; i >= 0; i-- {
		if now-p.idle[i].idleAt >= rest {
			k = p.idle[i]
			p.idle = slices.Delete(p.idle, i, i+1)
			return k, true
		}
	}
	if most := p.share.Connections; most > 0 && p.conns >= most {
		if len(p.idle) == 0 {
			return nil, false
		}
		k = p.idle[0] // its rest is waited for: closed in favour of a new one, both would be open for a moment
		p.idle = slices.Delete(p.idle, 0, 1)
		return k, true
	}
	if l.conns >= l.maxConns {
		var longest *peer
		for _, q := range l.peers {
			if len(q.idle) > 0 && (longest == nil || q.idle[0].idleAt < longest.idle[0].idleAt) {
				longest = q
			}
		}
		if longest == nil || !l.spare(longest) {
			return nil, false
		}
	}
	l.conns, p.conns = l.conns+1, p.conns+1
	return &link{work: make(chan *attempt, 1)}, true
}

// spare closes the link to p that idles longest, if there is one.
func (l *loop) spare(p *peer) bool {
	if len(p.idle) == 0 {
		return false
	}
	l.shut(p, p.idle[0])
	p.idle = slices.Delete(p.idle, 0, 1)
	return true
}

// keep takes back a link after use, with its connection; nil means that this has been closed.
func (l *loop) keep(p *peer, k *link, c upstream.Conn) {
	k.conn = c
	switch {
	case c == nil:
		l.conns, p.conns = l.conns-1, p.conns-1
	case p.share.Connections > 0 && p.conns > p.share.Connections: // its part has become smaller
		l.shut(p, k)
	case p.state != balancer.Active || c.Address() != p.address:
		l.shut(p, k)
	case c.Reuse() != nil:
		l.shut(p, k)
	default:
		k.idleAt = l.now()
		p.idle = append(p.idle, k)
	}
}

// shut closes idle links to p, away from the loop.
func (l *loop) shut(p *peer, ks ...*link) {
	l.conns, p.conns = l.conns-len(ks), p.conns-len(ks)
	if len(ks) > 0 {
		go func() {
			for _, k := range ks {
				k.close()
			}
		}()
	}
}

// sweep closes links that have idled for long. The least recently used stand first.
func (l *loop) sweep(now time.Duration) {
	for _, p := range l.peers {
		n := 0
		for n < len(p.idle) && now-p.idle[n].idleAt >= l.idleFor {
			n++
		}
		if n > 0 {
			l.shut(p, p.idle[:n]...)
			p.idle = append([]*link(nil), p.idle[n:]...)
		}
	}
}

// CloseIdle closes the idle links to an upstream.
func (l *loop) CloseIdle(up balancer.UpstreamID) {
	if p := l.peers[up]; p != nil {
		l.shut(p, p.idle...)
		p.idle = nil
	}
}

// HealthCheck asks an upstream for its load.
func (l *loop) HealthCheck(up balancer.UpstreamID) {
	p := l.peers[up]
	if p == nil || p.state != balancer.Active {
		return
	}
	sentAt := l.now()
	k, room := l.link(p, sentAt)
	if !room {
		return
	}
	ask := upstream.Probe{Address: p.address, Load: l.settings.Reports != balancer.ReportNone, Conn: k.conn}
	via := l.transport
	go func() { l.post(probed{p, k, sentAt, via.Probe(ask)}) }()
}

// probed is the end of a probe.
type probed struct {
	peer   *peer
	link   *link
	sentAt time.Duration
	upstream.Result
}

func (e probed) apply(l *loop) {
	l.keep(e.peer, e.link, e.Conn)
	e.peer.reported(e.Spoilt)
	if e.Stray {
		e.peer.strays++
	}
	now := l.now()
	l.balancer.HealthCheckFinished(now, balancer.HealthCheckResult{Upstream: e.peer.id, Latency: now - e.sentAt, Status: e.Status, Load: e.Load})
}
