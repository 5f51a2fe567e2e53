package pool

import (
	"net/http"
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/upstream"
)

// clientCheckDelay is how long after a short request's last byte its client is assumed to be connected, to save the
// cost of checking the connection. Nothing of a request may be sent to an endpoint later than 100 ms after its client
// has left.
const clientCheckDelay = 50 * time.Millisecond

// These bound the check of a client whose streamed request had to wait: how often it is made, after which pause, and
// how many bytes of the body are read before each.
const (
	maxEndChecks       = 20
	endCheckInterval   = time.Millisecond
	maxReadBeforeCheck = 128 << 10
)

// expiredListRetryAfter is the maximum Retry-After of responses while the endpoint list is too old to be used.
const expiredListRetryAfter = time.Second

// Request is a client's request. The caller sets the exported fields before Submit; from then on the pool owns the
// request.
type Request struct {
	balancer.Request
	ClientRequestID string // id that the client gave to the request
	Message         upstream.Message
	ReceivedAt      time.Duration // when the last byte arrived, on the pool's clock
	// Responses must have buffer space for the final response, and for one interim response (status 103) if Message
	// asks for these.
	Responses chan Response
	Client    Client // nil: unknown whether the client is still connected

	loop               *loop // of the pool to which it was submitted
	state              requestState
	deadline           time.Duration
	deadlineTimer      timer
	attempts           []*attempt
	inFlight           int         // number of attempts that hold a connection
	clientDeparted     bool        // the client left before the response
	unansweredRun      bool        // an attempt may have run although the client left before the response
	unreportedOutcomes int         // number of attempts whose outcome has not been reported to the balancer
	earlyHintsSent     bool        // an interim response was sent to the client
	clientGone         atomic.Bool // the client has left; the loop may not have been told yet
}

// Client is the sender of a request, who waits for its response.
type Client interface {
	// Connected reports whether the client is still connected. It must not block, and any goroutine may call it.
	Connected() bool
}

// Response is a response to a client.
type Response struct {
	Status              int // 0: no response, because the client has left
	Body                []byte
	ContentType         string         // the body's Content-Type
	Header              http1.Fields   // fields of the endpoint's response, if Spec.FullResponses is set
	RetryAfter          time.Duration  // 0: no Retry-After
	Trailer             http1.Fields   // of a complete response
	Tunnel              *body.Tunnel   // non-nil: the client's connection changes its protocol
	Stream              *body.Download // rest of the body, sent on as it arrives; nil: Body is complete
	RetryAfterInSeconds bool           // RetryAfter is sent in whole seconds (RFC 9110, section 10.2.3)
}

// ClientLeft tells the pool that the client of a submitted request has left. From then on nothing of the request is
// written to an endpoint, even if the loop has not handled the event yet.
func (r *Request) ClientLeft() {
	r.clientGone.Store(true)
	r.loop.enqueue(clientLeft{r})
}

// clientPresent reports whether the client is still connected. Any goroutine may call it.
func (r *Request) clientPresent() bool {
	if r.clientGone.Load() {
		return false
	}
	if r.clientNeedsCheck() && !r.clientConnected() {
		r.clientGone.Store(true)
	}
	return !r.clientGone.Load()
}

// clientNeedsCheck reports whether the client may have left unnoticed. While a short request is open, the goroutine
// that reads the client's connection sees it leave. Nobody reads the connection of a streamed request before an attempt
// does.
func (r *Request) clientNeedsCheck() bool {
	if r.Client == nil {
		return false
	}
	return r.Message.Upload.Streaming() || r.loop.now()-r.ReceivedAt > clientCheckDelay
}

// clientConnected reports whether the client is still connected. The end of its connection can't arrive as long as the
// bytes before it fill the system's buffer, so what has arrived of a streamed body that had to wait is read first.
func (r *Request) clientConnected() bool {
	upload := r.Message.Upload
	if !upload.Streaming() || r.loop.now()-r.ReceivedAt <= clientCheckDelay {
		return r.Client.Connected()
	}
	hasRead := false
	for range maxEndChecks {
		if !r.Client.Connected() {
			return false
		}
		switch {
		case upload.ReadArrived(maxReadBeforeCheck):
			hasRead = true
		case !hasRead: // nothing hides the end
			return true
		}
		time.Sleep(endCheckInterval)
	}
	return r.Client.Connected()
}

// isOpen reports whether the client is still waiting for the final response.
func (r *Request) isOpen() bool { return r.state == requestOpen }

// requestArrived is a call of Submit.
type requestArrived struct{ request *Request }

func (e requestArrived) apply(l *loop) { l.acceptRequest(e.request) }

// acceptRequest starts a request, or responds to it if it cannot be run.
func (l *loop) acceptRequest(request *Request) {
	if request.clientGone.Load() { // the client left before the loop handled the event
		request.state = request.state.after(clientDeparted)
		return
	}
	if l.clientRequestIDs.isTaken(request.ClientRequestID, l.now()) {
		// An endpoint could not distinguish two requests with the same id. The later one is refused; the
		// earlier one continues, or may have run although its client left.
		request.state = request.state.after(finalResponseSent)
		request.Responses <- Response{Status: http.StatusConflict}
		return
	}
	if err := l.createBalancer(); err != nil {
		l.rejectWithoutBalancer(request, err)
		return
	}
	now := l.now()
	l.register(request, now)
	if !l.rejectOnArrival(request, now) {
		l.startRequest(request, now)
	}
}

// register assigns a request its id and deadline.
func (l *loop) register(request *Request, now time.Duration) {
	l.suspension.unusedSince = 0
	l.clientRequestIDs.begin(request.ClientRequestID, idReuse(!l.isNonIdempotent(request.Class)))
	l.lastRequestID++
	request.ID = balancer.RequestID(l.lastRequestID) // the pool's own: clients' ids need not be unique
	request.deadline = request.ReceivedAt + request.Budget
	request.Budget = max(0, request.deadline-now)
	if request.Message.Upload.Streaming() { // the budget starts at the last byte, which has not arrived
		request.deadline = now + request.Message.BodyLimits().UploadTimeout
		request.BodyStreaming = true
	}
}

// rejectOnArrival rejects a request that the pool cannot run, because the endpoint list is too old or the tunnel limit
// is reached. It reports whether it has rejected the request.
func (l *loop) rejectOnArrival(request *Request, now time.Duration) bool {
	limits := &l.settings.Limits
	if l.source.expired(now) {
		l.respond(request, Response{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: min(expiredListRetryAfter, limits.MaxRetryAfter),
		})
		return true
	}
	isTunnel := request.Message.Upgrade != ""
	if isTunnel && len(l.tunnels) >= l.tunnelLimits.Total {
		l.respond(request, Response{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: limits.MaxRetryAfter,
		})
		return true
	}
	return false
}

// startRequest schedules a request's deadline and passes the request to the balancer.
func (l *loop) startRequest(request *Request, now time.Duration) {
	l.requests[request.ID] = request
	request.deadlineTimer = timer{at: request.deadline, request: request}
	l.timers.schedule(&request.deadlineTimer)
	l.balancer.RequestArrived(now, request.Request)
}

// restartDeadline sets a request's deadline to from plus the request's budget.
func (l *loop) restartDeadline(request *Request, from time.Duration) {
	request.deadline = from + request.Budget
	l.timers.cancel(&request.deadlineTimer)
	request.deadlineTimer.at = request.deadline
	l.timers.schedule(&request.deadlineTimer)
}

// clientLeft is a call of Request.ClientLeft.
type clientLeft struct{ request *Request }

func (e clientLeft) apply(l *loop) {
	if e.request.isOpen() {
		l.abandonRequest(e.request)
		return
	}
	e.request.discardResponses()
}

// discardResponses ends the streams and tunnels of responses that were sent while the client was leaving, because
// they have no other reader.
func (r *Request) discardResponses() {
	for {
		select {
		case response := <-r.Responses:
			response.Stream.Abandon()
			response.Tunnel.Close()
		default:
			return
		}
	}
}

// abandonRequest closes a request whose client has left. It also ends an upload that no attempt will begin: the
// goroutine of the client waits for its end, and has not seen the client leave if an attempt's gate found it.
func (l *loop) abandonRequest(request *Request) {
	request.clientDeparted = true
	l.closeRequest(request, clientDeparted)
	request.Message.Upload.Cancel()
	l.balancer.ClientLeft(l.now(), request.ID)
}

// respond sends a client the final response, unless the request is closed.
func (l *loop) respond(request *Request, response Response) {
	if !request.isOpen() {
		return
	}
	switch response.Status {
	case http.StatusServiceUnavailable:
		l.counters.refused.Add(1)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		l.counters.failed.Add(1)
	default:
		l.counters.served.Add(1)
		l.counters.servedFor.Add(int64(max(0, l.now()-request.ReceivedAt)))
	}
	l.traceResponse(request, &response, l.now())
	response.RetryAfterInSeconds = l.fullResponses
	request.Responses <- response // does not block: see Request.Responses
	l.closeRequest(request, finalResponseSent)
}

// closeRequest closes a request. Attempts that have not been written are dropped, even if the settings don't allow
// cancelling attempts: no endpoint has seen any part of them.
func (l *loop) closeRequest(request *Request, change requestChange) {
	request.state = request.state.after(change)
	for _, attempt := range request.attempts {
		if !attempt.state.reported() && attempt.Drop() {
			l.deferOutcome(attempt, balancer.NotSent)
		}
	}
	l.releaseIfSettled(request)
}

// releaseIfSettled deletes a request that is closed and whose outcomes have all been reported to the balancer.
func (l *loop) releaseIfSettled(request *Request) {
	if request.unreportedOutcomes > 0 {
		return
	}
	request.state = request.state.after(outcomesReported)
	if request.state != requestReleased {
		return
	}
	delete(l.requests, request.ID)
	l.timers.cancel(&request.deadlineTimer)
	l.releaseID(request)
}

// releaseID ends the use of a request's id once the request is released and none of its attempts is in flight: an
// endpoint may still work on an attempt whose outcome has been reported.
func (l *loop) releaseID(request *Request) {
	if request.state != requestReleased || request.inFlight > 0 {
		return
	}
	if request.unansweredRun && l.isNonIdempotent(request.Class) {
		l.clientRequestIDs.remember(request.ClientRequestID, l.now())
	}
	l.clientRequestIDs.end(request.ClientRequestID)
}

// isNonIdempotent reports whether requests of a class must never run twice.
func (l *loop) isNonIdempotent(class string) bool {
	for i := range l.settings.Classes {
		if l.settings.Classes[i].Name == class {
			return l.settings.Classes[i].Idempotency == balancer.NonIdempotent
		}
	}
	return false
}
