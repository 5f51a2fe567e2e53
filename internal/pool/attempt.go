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

// lingerTimeout and lingerMost bound the connections of attempts whose client has gone. The upstream works on
// regardless, and a connection kept for the late answer saves the next handshake; but hung upstreams never
// answer.
const (
	lingerTimeout        = 3 * time.Second
	maxLingeringAttempts = 4
)

// attempt is one send of a request to an upstream, as the loop keeps it.
type attempt struct {
	upstream.Attempt
	loop       *loop
	request    *Request
	number     int // order of the request's sends, from 0
	endpoint   *endpoint
	connection *connection // that carries it; its connection is in the attempt
	transport  upstream.Transport
	sentAt     time.Duration
	reported   bool         // the module has had its outcome
	tunnel     *body.Tunnel // that it has become; nil: none
	lingering  bool         // it is left to its connection for the late answer
	timer      timer        // of its own, before the request's deadline
}

var _ interface {
	upstream.Observer
	upstream.Gate
} = (*attempt)(nil)

// Written, Hint and Began are called from the link's goroutine.
func (a *attempt) Written()                { a.loop.enqueue(bodyWritten{a}) }
func (a *attempt) Hint(h http1.Fields)     { a.loop.enqueue(earlyHintsReceived{a, h}) }
func (a *attempt) Began(r upstream.Result) { a.loop.enqueue(responseStarted{a, r}) }

// Open looks once more, from the link's goroutine, whether anybody still waits for the answer.
func (a *attempt) Open() bool { return a.request.clientPresent() }

// Send makes an attempt.
func (l *loop) Send(id balancer.RequestID, up balancer.UpstreamID, timeout time.Duration) {
	r, p := l.requests[id], l.endpoints[up]
	if r == nil || p == nil { // the module sends what it was told of, where it was told
		l.Log(fmt.Sprintf("send of unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	a := &attempt{loop: l, request: r, number: len(r.attempts), endpoint: p, transport: l.transport, sentAt: now}
	a.Message, a.Address, a.Told, a.Gate = &r.Message, p.address, a, a
	if until := l.balancer.SendDeadline(id); until > 0 {
		a.Until = time.Now().Add(until - now)
	}
	r.attempts, r.unreported = append(r.attempts, a), r.unreported+1
	wait := r.deadline - now
	if timeout > 0 && timeout < wait {
		wait = timeout
		a.timer = timer{at: now + timeout, attempt: a}
		l.timers.schedule(&a.timer)
	}
	a.Wait = wait
	if r.Message.Rest.Live() {
		a.Wait = min(wait, r.Budget) // from its last byte
	}
	var room bool
	crowded := r.Message.Upgrade != "" && p.tunnelCount >= l.tunnelLimits.PerNode
	if !r.closed && wait > 0 && p.state == balancer.Active && !crowded {
		a.connection, room = l.acquireConnection(p, now)
	}
	if !room { // no fault of the upstream's
		a.Drop()
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, balancer.NotSent})
		return
	}
	if p.openAttempts == nil {
		p.openAttempts = map[*attempt]struct{}{}
	}
	p.openAttempts[a] = struct{}{}
	if a.Conn = a.connection.transportConn; a.Conn != nil {
		a.Rest = l.reuseDelay(p) - (now - a.connection.idleSince)
	}
	a.connection.start(l, a)
}

// bodyWritten tells that an attempt of a request whose body went on as it came has written its last byte. From then on its time
// counts.
type bodyWritten struct{ *attempt }

func (e bodyWritten) apply(l *loop) {
	a, q := e.attempt, e.attempt.request
	if a.reported || q.closed {
		return
	}
	a.sentAt = l.now()
	q.deadline = a.sentAt + q.Budget
	l.timers.cancel(&q.deadlineTimer)
	q.deadlineTimer.at = q.deadline
	l.timers.schedule(&q.deadlineTimer)
	l.balancer.BodySent(a.sentAt, q.ID, a.number)
}

// responseStarted is an answer of which the first bytes have come.
type responseStarted struct {
	*attempt
	upstream.Result
}

func (e responseStarted) apply(l *loop) {
	a := e.attempt
	if a.reported || a.request.closed {
		e.More.Abandon()
		e.Tunnel.Close()
		return
	}
	if e.Tunnel != nil {
		a.tunnel = e.Tunnel
		l.tunnels[a] = struct{}{}
		a.endpoint.tunnelCount++
	}
	a.endpoint.noteUnreadableReport(e.Spoilt)
	l.reportOutcome(a, e.Result)
	l.addAbandoned(a.endpoint, 1) // its connection is held until the last byte
}

// earlyHintsReceived is an interim answer. A client gets those of one attempt.
type earlyHintsReceived struct {
	*attempt
	fields http1.Fields
}

func (e earlyHintsReceived) apply(l *loop) {
	if q := e.attempt.request; !e.reported && !q.closed && !q.hintSent {
		q.hintSent = true
		q.Reply <- Response{Status: http.StatusEarlyHints, Header: e.fields} // has room, and the last answer too
	}
}

// attemptFinished is the end of an attempt on its connection.
type attemptFinished struct {
	*attempt
	upstream.Result
}

func (e attemptFinished) apply(l *loop) {
	a := e.attempt
	delete(a.endpoint.openAttempts, a)
	if a.tunnel != nil {
		delete(l.tunnels, a)
		a.endpoint.tunnelCount--
	}
	if a.lingering {
		a.endpoint.lingeringAttempts--
	}
	l.returnConnection(a.endpoint, a.connection, e.Result.Conn)
	a.endpoint.noteUnreadableReport(e.Spoilt)
	if e.Stray {
		a.endpoint.unsolicited++
	}
	if a.reported {
		l.addAbandoned(a.endpoint, -1)
	}
	if a.request.clientGone.Load() && !a.request.closed && e.Status != balancer.OK { // seen as it was to be written, or meanwhile
		l.abandonRequest(a.request)
	}
	l.reportOutcome(a, e.Result)
	l.forgetEndpoint(a.endpoint)
}

// reportOutcome gives the module an attempt's one outcome, and the client the answer if it is served.
func (l *loop) reportOutcome(a *attempt, r upstream.Result) {
	if a.reported {
		return
	}
	a.reported = true
	l.timers.cancel(&a.timer)
	q, now := a.request, l.now()
	if r.Status == balancer.OK && !q.closed {
		l.respond(q, Response{Status: r.Code, Body: r.Body, ContentType: r.Kind, Header: r.Header, Trailer: r.Trailer, Stream: r.More, Tunnel: r.Tunnel})
	}
	if r.Status != balancer.OK && !q.closed && q.Message.Rest.Spent() { // the module can't send it anew
		if r.Status == balancer.Rejected || r.Status == balancer.ConnectFailed || r.Status == balancer.NotSent {
			l.respond(q, Response{Status: http.StatusServiceUnavailable})
		} else {
			l.respond(q, Response{Status: http.StatusBadGateway})
		}
	}
	q.unreported--
	closed := q.closed
	l.releaseRequest(q)
	l.balancer.AttemptFinished(now, balancer.AttemptResult{
		ID: q.ID, Upstream: a.endpoint.id, Attempt: a.number, Latency: now - a.sentAt,
		Status: r.Status, Closed: closed, Load: r.Load,
	})
}

// pendingOutcome is an outcome to tell as soon as the module has returned.
type pendingOutcome struct {
	attempt *attempt
	status  balancer.Status
}

// reportPendingOutcomes tells the outcomes that came up while the module was calling.
func (l *loop) reportPendingOutcomes() {
	for len(l.pendingOutcomes) > 0 {
		o := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		l.stopWaiting(o.attempt, o.status)
	}
	l.pendingOutcomes = nil
}

// stopWaiting stops waiting for an attempt. One that was never written is moot.
func (l *loop) stopWaiting(a *attempt, status balancer.Status) {
	if a.reported {
		return
	}
	if a.Drop() {
		status = balancer.NotSent
	} else {
		// An attempt of a request that may be sent again gives up its connection, or it would count as a second copy.
		until, linger := time.Unix(0, 1), (a.request.closed || l.now() >= a.request.deadline) && a.endpoint.lingeringAttempts < a.endpoint.maxLingering() && a.endpoint.state == balancer.Active
		if linger {
			until = time.Now().Add(lingerTimeout)
		}
		if a.GiveUp(until) && linger {
			a.lingering = true
			a.endpoint.lingeringAttempts++
		}
	}
	if _, out := a.endpoint.openAttempts[a]; out {
		l.addAbandoned(a.endpoint, 1)
	}
	l.reportOutcome(a, upstream.Result{Status: status})
}

// timeOut ends an attempt whose time is up.
func (l *loop) timeOut(a *attempt) {
	if !a.reported {
		l.stopWaiting(a, balancer.Timeout)
	}
}
