package pool

import (
	"net/http"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/upstream"
)

// lingerTimeout and maxLingeringAttempts bound the connections that wait for late responses to clients that have gone.
// The endpoint works on regardless, and a connection kept for its response saves the next handshake; but an endpoint
// that hangs never answers.
const (
	lingerTimeout        = 3 * time.Second
	maxLingeringAttempts = 4 // of one endpoint
)

// attempt is one try of a request at an endpoint. The loop owns it, but for what the embedded Attempt lets the
// goroutine of the connection do.
type attempt struct {
	upstream.Attempt
	loop       *loop
	request    *Request
	number     int // order of the request's attempts, from 0
	endpoint   *endpoint
	connection *connection // that carries it; nil: there was none
	transport  upstream.Transport
	state      attemptState
	sentAt     time.Duration
	timer      timer        // its time-out, where that ends before the request's deadline
	tunnel     *body.Tunnel // that the connection has become; nil: none
	lingering  bool         // its connection was left to wait for the late response
}

var _ interface {
	upstream.Observer
	upstream.Gate
} = (*attempt)(nil)

// RequestWritten, InterimResponse and ResponseStarted are upstream.Observer's, called from the connection's goroutine.
func (a *attempt) RequestWritten() { a.loop.enqueue(bodyWritten{a}) }

func (a *attempt) InterimResponse(fields http1.Fields) { a.loop.enqueue(earlyHintsReceived{a, fields}) }

func (a *attempt) ResponseStarted(response upstream.Result) {
	a.loop.enqueue(responseStarted{a, response})
}

// Open is upstream.Gate's, called from the connection's goroutine: whether the client still waits.
func (a *attempt) Open() bool { return a.request.clientPresent() }

// Send makes an attempt. Part of balancer.Host.
func (l *loop) Send(id balancer.RequestID, upstreamID balancer.UpstreamID, timeout time.Duration) {
	request := l.requests[id]
	endpoint := l.endpoints[upstreamID]
	if request == nil || endpoint == nil { // the balancer only knows those that there are
		l.logInfo("attempt not sent", "reason", "unknown request or endpoint", "request", id, "upstream", upstreamID)
		return
	}
	now := l.now()
	attempt := l.newAttempt(request, endpoint, timeout, now)
	if l.mayConnect(attempt) {
		attempt.connection = l.acquireConnection(endpoint, now)
	}
	if request.Message.Upload.Streaming() {
		attempt.Timeout = min(attempt.Timeout, request.Budget) // from its last byte
	}
	if attempt.connection == nil { // no fault of the endpoint's
		attempt.Drop()
		l.deferOutcome(attempt, balancer.NotSent)
		return
	}
	endpoint.addOpenAttempt(attempt)
	attempt.Conn = attempt.connection.transportConn
	if attempt.Conn != nil {
		idleFor := now - attempt.connection.idleSince
		attempt.ReuseDelay = l.connections.reuseDelay(endpoint) - idleFor
	}
	attempt.connection.start(l, attempt)
}

// newAttempt makes an attempt with its time-out. timeout is the balancer's; 0: only the request's deadline ends it.
func (l *loop) newAttempt(request *Request, endpoint *endpoint, timeout, now time.Duration) *attempt {
	made := &attempt{
		loop:      l,
		request:   request,
		number:    len(request.attempts),
		endpoint:  endpoint,
		transport: l.connections.transport,
		sentAt:    now,
	}
	made.Message = &request.Message
	made.Address = endpoint.address
	made.Observer = made
	made.Gate = made
	if until := l.balancer.SendDeadline(request.ID); until > 0 {
		made.WriteDeadline = time.Now().Add(until - now)
	}
	request.attempts = append(request.attempts, made)
	request.unreported++
	made.Timeout = request.deadline - now
	if timeout > 0 && timeout < made.Timeout {
		made.Timeout = timeout
		made.timer = timer{at: now + timeout, attempt: made}
		l.timers.schedule(&made.timer)
	}
	return made
}

// mayConnect reports whether an attempt may have a connection.
func (l *loop) mayConnect(a *attempt) bool {
	isTunnel := a.request.Message.Upgrade != ""
	if isTunnel && a.endpoint.tunnelCount >= l.tunnelLimits.PerEndpoint {
		return false
	}
	return a.request.isOpen() && a.Timeout > 0 && a.endpoint.state == balancer.Active
}

// bodyWritten is an attempt that has written the last byte of a body that went on as it came. Its time counts from then
// on.
type bodyWritten struct{ attempt *attempt }

func (e bodyWritten) apply(l *loop) {
	request := e.attempt.request
	if e.attempt.state.reported() || !request.isOpen() {
		return
	}
	e.attempt.sentAt = l.now()
	l.restartDeadline(request, e.attempt.sentAt)
	l.balancer.BodySent(e.attempt.sentAt, request.ID, e.attempt.number)
}

// responseStarted is a response of which the first bytes have come, and which goes on as it comes.
type responseStarted struct {
	attempt  *attempt
	response upstream.Result
}

func (e responseStarted) apply(l *loop) {
	if e.attempt.state.reported() || !e.attempt.request.isOpen() {
		e.response.Download.Abandon()
		e.response.Tunnel.Close()
		return
	}
	l.startResponse(e.attempt, e.response)
}

// startResponse passes on the first bytes of an attempt's response.
func (l *loop) startResponse(attempt *attempt, response upstream.Result) {
	endpoint := attempt.endpoint
	if response.Tunnel != nil {
		attempt.tunnel = response.Tunnel
		l.tunnels[attempt] = struct{}{}
		endpoint.tunnelCount++
	}
	endpoint.countUnreadableReport(response.LoadReportError)
	l.reportOutcome(attempt, responseHeadReceived, response)
	l.countAbandoned(endpoint, 1) // its connection is held until the last byte
}

// earlyHintsReceived is an interim response with status 103. A client gets those of one attempt.
type earlyHintsReceived struct {
	attempt *attempt
	fields  http1.Fields
}

func (e earlyHintsReceived) apply(*loop) {
	request := e.attempt.request
	if e.attempt.state.reported() || !request.isOpen() || request.hintSent {
		return
	}
	request.hintSent = true
	// Reply has room for it and for the final response.
	request.Responses <- Response{Status: http.StatusEarlyHints, Header: e.fields}
}

// attemptFinished is an attempt that has ended on its connection.
type attemptFinished struct {
	attempt *attempt
	result  upstream.Result
}

func (e attemptFinished) apply(l *loop) { l.finishAttempt(e.attempt, e.result) }

// finishAttempt takes back an attempt's connection, and reports its outcome unless that was done before.
func (l *loop) finishAttempt(attempt *attempt, result upstream.Result) {
	endpoint := attempt.endpoint
	delete(endpoint.openAttempts, attempt)
	if attempt.tunnel != nil {
		delete(l.tunnels, attempt)
		endpoint.tunnelCount--
	}
	if attempt.lingering {
		endpoint.lingeringAttempts--
	}
	l.returnConnection(endpoint, attempt.connection, result.Conn)
	endpoint.countFaults(&result)
	if attempt.state.reported() {
		l.countAbandoned(endpoint, -1)
	}
	// The client was seen to have left as the attempt was to be written, or meanwhile.
	leftUnserved := attempt.request.clientGone.Load() && result.Status != balancer.OK
	if leftUnserved && attempt.request.isOpen() {
		l.abandonRequest(attempt.request)
	}
	l.reportOutcome(attempt, connectionReturned, result)
	l.forgetIfUnused(endpoint)
}

// reportOutcome changes an attempt's state. The first change is the attempt's one outcome: the balancer is told, and
// the client is answered if it is served or the request can't be sent again.
func (l *loop) reportOutcome(attempt *attempt, change attemptChange, result upstream.Result) {
	before := attempt.state
	attempt.state = before.after(change)
	if before.reported() {
		return
	}
	l.timers.cancel(&attempt.timer)
	request := attempt.request
	now := l.now()
	if request.isOpen() {
		l.respondByOutcome(request, result)
	}
	request.unreported--
	closed := !request.isOpen()
	l.releaseIfSettled(request)
	l.balancer.AttemptFinished(now, balancer.AttemptResult{
		ID:       request.ID,
		Upstream: attempt.endpoint.id,
		Attempt:  attempt.number,
		Latency:  now - attempt.sentAt,
		Status:   result.Status,
		Closed:   closed,
		Load:     result.Load,
	})
}

// respondByOutcome answers a client that is served, or whose request can't be sent again since its body is spent. What
// becomes of others is the balancer's to decide.
func (l *loop) respondByOutcome(request *Request, result upstream.Result) {
	if result.Status == balancer.OK {
		l.respond(request, Response{
			Status:      result.Code,
			Body:        result.Body,
			ContentType: result.ContentType,
			Header:      result.Header,
			Trailer:     result.Trailer,
			Stream:      result.Download,
			Tunnel:      result.Tunnel,
		})
		return
	}
	if !request.Message.Upload.Consumed() {
		return
	}
	switch result.Status {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent: // it has not run
		l.respond(request, Response{Status: http.StatusServiceUnavailable})
	default:
		l.respond(request, Response{Status: http.StatusBadGateway})
	}
}

// pendingOutcome is the outcome of an attempt that is reported as soon as the balancer has returned from its call.
type pendingOutcome struct {
	attempt *attempt
	status  balancer.Status
}

// deferOutcome notes an outcome that came up while the balancer may be calling.
func (l *loop) deferOutcome(a *attempt, status balancer.Status) {
	l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, status})
}

// reportPendingOutcomes reports the outcomes that came up while the balancer was calling, and those that come up
// meanwhile.
func (l *loop) reportPendingOutcomes() {
	for len(l.pendingOutcomes) > 0 {
		next := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		l.stopWaiting(next.attempt, next.status)
	}
	l.pendingOutcomes = nil
}

// stopWaiting ends the wait for an attempt of which no outcome was reported. One that was never written counts as not
// sent.
func (l *loop) stopWaiting(attempt *attempt, status balancer.Status) {
	if attempt.state.reported() {
		return
	}
	if attempt.Drop() {
		status = balancer.NotSent
	} else {
		l.giveUp(attempt)
	}
	change := connectionDenied
	if _, open := attempt.endpoint.openAttempts[attempt]; open {
		change = waitStopped
		l.countAbandoned(attempt.endpoint, 1)
	}
	l.reportOutcome(attempt, change, upstream.Result{Status: status})
}

// giveUp bounds the wait for an attempt that was written. Its connection lingers for the late response if the request
// is over, and if few others do; that of a request that may be sent again is closed, or the attempt would count as a
// hedged request.
func (l *loop) giveUp(attempt *attempt) {
	endpoint := attempt.endpoint
	requestOver := !attempt.request.isOpen() || l.now() >= attempt.request.deadline
	hasRoom := endpoint.lingeringAttempts < endpoint.maxLingering()
	linger := requestOver && hasRoom && endpoint.state == balancer.Active
	until := time.Unix(0, 1) // at once
	if linger {
		until = time.Now().Add(lingerTimeout)
	}
	if attempt.GiveUp(until) && linger {
		attempt.lingering = true
		endpoint.lingeringAttempts++
	}
}
