package pool

import (
	"net/http"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/upstream"
)

// lingerTimeout and maxLingeringAttempts bound the connections that wait for the late response of an abandoned attempt.
// The endpoint processes the request regardless, and keeping the connection saves the handshake of a new one; but an
// endpoint that hangs never responds.
const (
	lingerTimeout        = 3 * time.Second
	maxLingeringAttempts = 4 // per endpoint
)

// attempt is one try of a request at an endpoint. The loop owns it, except for the methods of the embedded Attempt that
// the connection's goroutine calls.
type attempt struct {
	upstream.Attempt
	loop       *loop
	request    *Request
	number     int // position among the request's attempts, from 0
	endpoint   *endpoint
	connection *connection // carries the attempt; nil: none was available
	transport  upstream.Transport
	state      attemptState
	sentAt     time.Duration
	timer      timer        // scheduled if the attempt's time-out expires before the request's deadline
	patience   timer        // ends the wait for a connection; scheduled if there is none
	tunnel     *body.Tunnel // set once the connection has become a tunnel
	streams    bool         // the response is streamed
	lingering  bool         // the connection waits for the late response of the abandoned attempt
}

var _ interface {
	upstream.Observer
	upstream.Gate
} = (*attempt)(nil)

// RequestWritten implements upstream.Observer, as InterimResponse and ResponseStarted do. The connection's goroutine
// calls all three.
func (a *attempt) RequestWritten() { a.loop.enqueue(bodyWritten{a}) }

func (a *attempt) InterimResponse(fields http1.Fields) { a.loop.enqueue(earlyHintsReceived{a, fields}) }

func (a *attempt) ResponseStarted(response upstream.Result) {
	a.loop.enqueue(responseStarted{a, response})
}

// Open reports whether the client still waits for the response. It implements upstream.Gate; the connection's goroutine
// calls it.
func (a *attempt) Open() bool { return a.request.clientPresent() }

// Send starts an attempt. It is part of balancer.Host.
func (l *loop) Send(id balancer.RequestID, upstreamID balancer.UpstreamID, timeout time.Duration) {
	request := l.requests[id]
	endpoint := l.endpoints[upstreamID]
	if request == nil || endpoint == nil { // not expected: the balancer knows which exist
		l.logInfo("attempt not sent",
			"reason", "unknown request or endpoint", "request", id, "upstream", upstreamID)
		return
	}
	now := l.now()
	attempt := l.newAttempt(request, endpoint, timeout, now)
	if request.Message.Upload.Streaming() {
		attempt.Timeout = min(attempt.Timeout, request.Budget) // counted from the body's last byte
	}
	mayConnect := l.mayConnect(attempt)
	switch {
	case mayConnect && !l.hasWaiting() && l.startAttempt(attempt):
	case mayConnect && l.connections.isFull():
		l.awaitConnection(attempt)
	default:
		l.denyConnection(attempt)
	}
}

// startAttempt starts an attempt on a connection. It returns false if there is none.
func (l *loop) startAttempt(attempt *attempt) bool {
	now := l.now()
	attempt.connection, attempt.ReplaceConn = l.acquireConnection(attempt.endpoint, now)
	if attempt.connection == nil {
		return false
	}
	attempt.endpoint.addOpenAttempt(attempt)
	attempt.request.inFlight++
	attempt.connection.noteUse(attempt.request.ClientRequestID, now)
	l.traceRetry(attempt)
	attempt.Conn = attempt.connection.transportConn
	attempt.SkipRepeated = attempt.connection.skipRepeated
	attempt.connection.start(l, attempt)
	return true
}

// denyConnection ends an attempt that gets no connection, which must not count as a failure of its endpoint.
func (l *loop) denyConnection(attempt *attempt) {
	attempt.Drop()
	l.deferOutcome(attempt, balancer.NotSent)
}

// newAttempt creates an attempt and schedules its time-out. timeout is set by the balancer; with 0, only the request's
// deadline ends the attempt.
func (l *loop) newAttempt(request *Request, endpoint *endpoint, timeout, now time.Duration) *attempt {
	created := &attempt{
		loop:      l,
		request:   request,
		number:    len(request.attempts),
		endpoint:  endpoint,
		transport: l.connections.transport,
		sentAt:    now,
	}
	created.Message = &request.Message
	created.Address = endpoint.address
	created.Observer = created
	created.Gate = created
	if until := l.balancer.SendDeadline(request.ID); until > 0 {
		created.WriteDeadline = time.Now().Add(until - now)
	}
	request.attempts = append(request.attempts, created)
	request.unreportedOutcomes++
	created.Timeout = request.deadline - now
	if timeout > 0 && timeout < created.Timeout {
		created.Timeout = timeout
		created.timer = timer{at: now + timeout, attempt: created}
		l.timers.schedule(&created.timer)
	}
	return created
}

// mayConnect reports whether an attempt may get a connection.
func (l *loop) mayConnect(a *attempt) bool {
	isTunnel := a.request.Message.Upgrade != ""
	if isTunnel && a.endpoint.tunnelCount >= l.tunnelLimits.PerEndpoint {
		return false
	}
	return a.request.isOpen() && a.Timeout > 0 && a.endpoint.state == balancer.Active
}

// bodyWritten is the event that an attempt has written the last byte of a request body that was streamed while the
// client was still sending it. The attempt's latency and the request's budget count from then on.
type bodyWritten struct{ attempt *attempt }

func (e bodyWritten) apply(l *loop) {
	request := e.attempt.request
	if e.attempt.state.reported() || !request.isOpen() {
		return
	}
	e.attempt.sentAt = l.now()
	arrived := e.attempt.sentAt
	if at := request.Message.Upload.ArrivedAt(); !at.IsZero() {
		arrived -= time.Since(at)
	}
	l.restartDeadline(request, arrived)
	l.balancer.BodySent(e.attempt.sentAt, request.ID, e.attempt.number)
}

// responseStarted is the event that the first bytes of a streamed response have arrived.
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

// startResponse passes the first bytes of an attempt's response to the client.
func (l *loop) startResponse(attempt *attempt, response upstream.Result) {
	endpoint := attempt.endpoint
	if response.Tunnel != nil {
		l.addTunnel(attempt, response.Tunnel)
	}
	if response.Download != nil && !l.addStream(attempt) {
		l.refuseStream(attempt, response.Download)
	}
	if response.Download != nil {
		response.Download.SetOrigin(body.Origin{Request: attempt.request.ClientRequestID, Endpoint: endpoint.name})
	}
	if response.Download != nil && l.wholeResponseInTime {
		left := attempt.request.deadline - l.now()
		response.Download.SetDue(time.Now().Add(left))
	}
	endpoint.countUnreadableReport(response.LoadReportError)
	l.reportOutcome(attempt, responseHeadReceived, response)
	l.adjustAbandoned(endpoint, 1) // the connection is in use until the last byte
}

// addStream counts an attempt whose response is to be streamed. It returns false if there are too many.
func (l *loop) addStream(attempt *attempt) bool {
	if l.maxStreams > 0 && l.streams >= l.maxStreams {
		return false
	}
	l.streams++
	attempt.streams = true
	return true
}

// refuseStream fails the request of a response that is not streamed, since others hold too many connections. That says
// nothing about its endpoint.
func (l *loop) refuseStream(attempt *attempt, download *body.Download) {
	request := attempt.request
	l.trace(&l.tracing.attempts, "response not streamed", "request", request.ClientRequestID,
		"endpoint", attempt.endpoint.name, "reason", "too many streamed responses")
	l.respond(request, Response{Status: http.StatusBadGateway})
	download.Abandon()
}

// addTunnel adds a tunnel that an attempt has established. The endpoint may have begun to drain meanwhile; then the
// tunnel ends as those that were established before.
func (l *loop) addTunnel(attempt *attempt, tunnel *body.Tunnel) {
	attempt.tunnel = tunnel
	l.tunnels[attempt] = struct{}{}
	attempt.endpoint.tunnelCount++
	if attempt.endpoint.state != balancer.Active {
		tunnel.CloseGracefully()
	}
}

// earlyHintsReceived is the event that an interim response with status 103 has arrived. The client gets at most one for
// each request.
type earlyHintsReceived struct {
	attempt *attempt
	fields  http1.Fields
}

func (e earlyHintsReceived) apply(*loop) {
	request := e.attempt.request
	if e.attempt.state.reported() || !request.isOpen() || request.earlyHintsSent {
		return
	}
	request.earlyHintsSent = true
	// Responses has room for this response and the final one.
	request.Responses <- Response{Status: http.StatusEarlyHints, Header: e.fields}
}

// attemptFinished is the event that the transport has finished an attempt.
type attemptFinished struct {
	attempt *attempt
	result  upstream.Result
}

func (e attemptFinished) apply(l *loop) { l.finishAttempt(e.attempt, e.result) }

// finishAttempt takes back an attempt's connection and reports the attempt's outcome unless it has been reported.
func (l *loop) finishAttempt(attempt *attempt, result upstream.Result) {
	endpoint := attempt.endpoint
	l.traceAttempt(attempt, &result)
	delete(endpoint.openAttempts, attempt)
	attempt.request.inFlight--
	if attempt.tunnel != nil {
		delete(l.tunnels, attempt)
		endpoint.tunnelCount--
	}
	if attempt.streams {
		l.streams--
	}
	if attempt.lingering {
		endpoint.lingeringAttempts--
	}
	l.returnConnection(endpoint, attempt.connection, &result)
	endpoint.countFaults(&result)
	if attempt.state.reported() {
		l.adjustAbandoned(endpoint, -1)
	}
	// The connection's goroutine may have found that the client has left before the loop was told.
	leftUnserved := attempt.request.clientGone.Load() && result.Status != balancer.OK
	if leftUnserved && attempt.request.isOpen() {
		l.abandonRequest(attempt.request)
	}
	l.noteUnansweredRun(attempt.request, result.Status)
	l.reportOutcome(attempt, connectionReturned, result)
	l.releaseID(attempt.request)
	l.forgetIfUnused(endpoint)
}

// noteUnansweredRun records that an attempt may have run although its client left before the response.
func (l *loop) noteUnansweredRun(request *Request, status balancer.Status) {
	switch status {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		return
	}
	if request.clientDeparted {
		request.unansweredRun = true
	}
}

// reportOutcome applies a change to an attempt's state. Only the first change reports an outcome: the balancer is
// notified, and the client gets its response if the attempt succeeded or the request can't be sent again.
func (l *loop) reportOutcome(attempt *attempt, change attemptChange, result upstream.Result) {
	before := attempt.state
	attempt.state = before.after(change)
	if before.reported() {
		return
	}
	l.timers.cancel(&attempt.timer)
	l.timers.cancel(&attempt.patience)
	request := attempt.request
	now := l.now()
	if request.isOpen() {
		l.respondByOutcome(request, result)
	}
	request.unreportedOutcomes--
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

// respondByOutcome responds to a client whose request succeeded, or can't be sent again because its streamed body has
// been consumed. In all other cases the balancer decides whether to retry.
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
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent: // the endpoint has not run the request
		l.respond(request, Response{Status: http.StatusServiceUnavailable})
	default:
		l.respond(request, Response{Status: http.StatusBadGateway})
	}
}

// pendingOutcome is the outcome of an attempt that has not been reported to the balancer yet.
type pendingOutcome struct {
	attempt *attempt
	status  balancer.Status
}

// deferOutcome queues an outcome that is known while the balancer may be calling its Host: the balancer must not be
// called back until that call returns.
func (l *loop) deferOutcome(a *attempt, status balancer.Status) {
	l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, status})
}

// reportPendingOutcomes starts attempts for which there is a connection now, and reports the queued outcomes, including
// those that are queued while it runs.
func (l *loop) reportPendingOutcomes() {
	l.startWaiting()
	for len(l.pendingOutcomes) > 0 {
		next := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		l.stopWaiting(next.attempt, next.status)
	}
	l.pendingOutcomes = nil
}

// stopWaiting ends the wait for an attempt and reports its outcome, unless that has been reported. status is replaced
// by NotSent if the attempt was never written.
func (l *loop) stopWaiting(attempt *attempt, status balancer.Status) {
	if attempt.state.reported() {
		return
	}
	if attempt.Drop() {
		status = balancer.NotSent
	} else {
		l.abandonAttempt(attempt)
	}
	change := connectionDenied
	if _, open := attempt.endpoint.openAttempts[attempt]; open {
		change = waitStopped
		l.adjustAbandoned(attempt.endpoint, 1)
	}
	l.reportOutcome(attempt, change, upstream.Result{Status: status})
}

// abandonAttempt limits the wait for the response to an attempt that has been written. If the request is over and few
// connections to the endpoint linger, the connection lingers for the late response. Otherwise it is closed: if the
// request may be sent again, an attempt that is still open would count as a hedged request.
func (l *loop) abandonAttempt(attempt *attempt) {
	endpoint := attempt.endpoint
	requestOver := !attempt.request.isOpen() || l.now() >= attempt.request.deadline
	hasRoom := endpoint.lingeringAttempts < endpoint.maxLingering()
	linger := requestOver && hasRoom && endpoint.state == balancer.Active
	until := time.Unix(0, 1) // at once
	if linger {
		until = time.Now().Add(lingerTimeout)
	}
	l.trace(&l.tracing.attempts, "attempt abandoned", "request", attempt.request.ClientRequestID,
		"attempt", attempt.number, "endpoint", endpoint.name, "after", l.now()-attempt.sentAt, "lingers", linger,
		"arrived", attempt.HasUnreadResponse())
	if attempt.GiveUp(until) && linger {
		attempt.lingering = true
		endpoint.lingeringAttempts++
	}
}
