package pool

import (
	"fmt"
	"net/http"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/upstream"
)

// lingerFor and lingerMost bound the connections of attempts whose client has gone. The upstream works on
// regardless, and a connection kept for the late answer saves the next handshake; but hung upstreams never
// answer.
const (
	lingerFor  = 3 * time.Second
	lingerMost = 4
)

// attempt is one send of a request to an upstream, as the loop keeps it.
type attempt struct {
	upstream.Attempt
	loop    *loop
	req     *Request
	n       int // order of the request's sends, from 0
	peer    *peer
	link    *link // that carries it; its connection is in the attempt
	via     upstream.Transport
	sentAt  time.Duration
	told    bool         // the module has had its outcome
	tunnel  *body.Tunnel // that it has become; nil: none
	lingers bool         // it is left to its connection for the late answer
	limit   alarm        // of its own, before the request's deadline
}

var _ interface {
	upstream.Observer
	upstream.Gate
} = (*attempt)(nil)

// Written, Hint and Began are called from the link's goroutine.
func (a *attempt) Written()                { a.loop.post(written{a}) }
func (a *attempt) Hint(h http1.Fields)     { a.loop.post(hinted{a, h}) }
func (a *attempt) Began(r upstream.Result) { a.loop.post(began{a, r}) }

// Open looks once more, from the link's goroutine, whether anybody still waits for the answer.
func (a *attempt) Open() bool { return a.req.waits() }

// Send makes an attempt.
func (l *loop) Send(id balancer.RequestID, up balancer.UpstreamID, timeout time.Duration) {
	r, p := l.requests[id], l.peers[up]
	if r == nil || p == nil { // the module sends what it was told of, where it was told
		l.Log(fmt.Sprintf("send of unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	a := &attempt{loop: l, req: r, n: len(r.attempts), peer: p, via: l.transport, sentAt: now}
	a.Message, a.Address, a.Told, a.Gate = &r.Message, p.address, a, a
	if until := l.balancer.SendDeadline(id); until > 0 {
		a.Until = time.Now().Add(until - now)
	}
	r.attempts, r.out = append(r.attempts, a), r.out+1
	wait := r.deadline - now
	if timeout > 0 && timeout < wait {
		wait = timeout
		a.limit = alarm{at: now + timeout, attempt: a}
		l.alarms.set(&a.limit)
	}
	a.Wait = wait
	if r.Message.Rest.Live() {
		a.Wait = min(wait, r.Budget) // from its last byte
	}
	var room bool
	crowded := r.Message.Upgrade != "" && p.tunnels >= l.caps.PerNode
	if !r.closed && wait > 0 && p.state == balancer.Active && !crowded {
		a.link, room = l.link(p, now)
	}
	if !room { // no fault of the upstream's
		a.Drop()
		l.due = append(l.due, owing{a, balancer.NotSent})
		return
	}
	if p.out == nil {
		p.out = map[*attempt]struct{}{}
	}
	p.out[a] = struct{}{}
	if a.Conn = a.link.conn; a.Conn != nil {
		a.Rest = l.rest(p) - (now - a.link.idleAt)
	}
	a.link.carry(l, a)
}

// written tells that an attempt of a request whose body went on as it came has written its last byte. From then on its time
// counts.
type written struct{ *attempt }

func (e written) apply(l *loop) {
	a, q := e.attempt, e.attempt.req
	if a.told || q.closed {
		return
	}
	a.sentAt = l.now()
	q.deadline = a.sentAt + q.Budget
	l.alarms.unset(&q.end)
	q.end.at = q.deadline
	l.alarms.set(&q.end)
	l.balancer.BodySent(a.sentAt, q.ID, a.n)
}

// began is an answer of which the first bytes have come.
type began struct {
	*attempt
	upstream.Result
}

func (e began) apply(l *loop) {
	a := e.attempt
	if a.told || a.req.closed {
		e.More.Abandon()
		e.Tunnel.Close()
		return
	}
	if e.Tunnel != nil {
		a.tunnel = e.Tunnel
		l.tunnels[a] = struct{}{}
		a.peer.tunnels++
	}
	a.peer.reported(e.Spoilt)
	l.tell(a, e.Result)
	l.ghost(a.peer, 1) // its connection is held until the last byte
}

// hinted is an interim answer. A client gets those of one attempt.
type hinted struct {
	*attempt
	fields http1.Fields
}

func (e hinted) apply(l *loop) {
	if q := e.attempt.req; !e.told && !q.closed && !q.hinted {
		q.hinted = true
		q.Reply <- Response{Status: http.StatusEarlyHints, Header: e.fields} // has room, and the last answer too
	}
}

// finished is the end of an attempt on its connection.
type finished struct {
	*attempt
	upstream.Result
}

func (e finished) apply(l *loop) {
	a := e.attempt
	delete(a.peer.out, a)
	if a.tunnel != nil {
		delete(l.tunnels, a)
		a.peer.tunnels--
	}
	if a.lingers {
		a.peer.lingering--
	}
	l.keep(a.peer, a.link, e.Result.Conn)
	a.peer.reported(e.Spoilt)
	if e.Stray {
		a.peer.strays++
	}
	if a.told {
		l.ghost(a.peer, -1)
	}
	if a.req.gone.Load() && !a.req.closed && e.Status != balancer.OK { // seen as it was to be written, or meanwhile
		l.leave(a.req)
	}
	l.tell(a, e.Result)
	l.forget(a.peer)
}

// tell gives the module an attempt's one outcome, and the client the answer if it is served.
func (l *loop) tell(a *attempt, r upstream.Result) {
	if a.told {
		return
	}
	a.told = true
	l.alarms.unset(&a.limit)
	q, now := a.req, l.now()
	if r.Status == balancer.OK && !q.closed {
		l.answer(q, Response{Status: r.Code, Body: r.Body, ContentType: r.Kind, Header: r.Header, Trailer: r.Trailer, Stream: r.More, Tunnel: r.Tunnel})
	}
	if r.Status != balancer.OK && !q.closed && q.Message.Rest.Spent() { // the module can't send it anew
		if r.Status == balancer.Rejected || r.Status == balancer.ConnectFailed || r.Status == balancer.NotSent {
			l.answer(q, Response{Status: http.StatusServiceUnavailable})
		} else {
			l.answer(q, Response{Status: http.StatusBadGateway})
		}
	}
	q.out--
	closed := q.closed
	l.release(q)
	l.balancer.AttemptFinished(now, balancer.AttemptResult{
		ID: q.ID, Upstream: a.peer.id, Attempt: a.n, Latency: now - a.sentAt,
		Status: r.Status, Closed: closed, Load: r.Load,
	})
}

// owing is an outcome to tell as soon as the module has returned.
type owing struct {
	a      *attempt
	status balancer.Status
}

// settle tells the outcomes that came up while the module was calling.
func (l *loop) settle() {
	for len(l.due) > 0 {
		o := l.due[0]
		l.due = l.due[1:]
		l.end(o.a, o.status)
	}
	l.due = nil
}

// end stops waiting for an attempt. One that was never written is moot.
func (l *loop) end(a *attempt, status balancer.Status) {
	if a.told {
		return
	}
	if a.Drop() {
		status = balancer.NotSent
	} else {
		// An attempt of a request that may be sent again gives up its connection, or it would count as a second copy.
		until, linger := time.Unix(0, 1), (a.req.closed || l.now() >= a.req.deadline) && a.peer.lingering < a.peer.lingerMost() && a.peer.state == balancer.Active
		if linger {
			until = time.Now().Add(lingerFor)
		}
		if a.GiveUp(until) && linger {
			a.lingers = true
			a.peer.lingering++
		}
	}
	if _, out := a.peer.out[a]; out {
		l.ghost(a.peer, 1)
	}
	l.tell(a, upstream.Result{Status: status})
}

// expire ends an attempt whose time is up.
func (l *loop) expire(a *attempt) {
	if !a.told {
		l.end(a, balancer.Timeout)
	}
}
