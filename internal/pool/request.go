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

// clientCheckDelay is how long after a request's last byte its client is taken to be connected, since checking the
// connection would cost more than it is worth: nothing of a request may be sent later than 100 ms after its client has
// left.
const clientCheckDelay = 50 * time.Millisecond

// expiredListRetryAfter is the most that a client is told to wait before it tries again while the list is too old to be
// used.
const expiredListRetryAfter = time.Second

// Request is a client's request. Its exported fields are set before it is submitted; from then on it belongs to the
// pool.
type Request struct {
	balancer.Request
	ClientRequestID string // the client's id of it
	Message         upstream.Message
	ReceivedAt      time.Duration // when the last byte had come, on the pool's clock
	// Responses has room for the final response, and for an interim one (status 103) where Message asks for these.
	Responses chan Response
	Client    Client // nil: it is not known whether the client is still connected

	loop          *loop // of the pool to which it was submitted
	state         requestState
	deadline      time.Duration
	deadlineTimer timer
	attempts      []*attempt
	unreported    int         // attempts of which the balancer has had no outcome
	hintSent      bool        // the client has had an interim response
	clientGone    atomic.Bool // the client has been seen to have left, which the loop may not know yet
}

// Client is who waits for a request's response.
type Client interface {
	// Connected tells, without waiting and from any goroutine, whether the client is still connected.
	Connected() bool
}

// Response is what a client gets for a request.
type Response struct {
	Status              int // 0: none, since the client has left
	Body                []byte
	ContentType         string         // the body's Content-Type
	Header              http1.Fields   // the endpoint's, where all of its response is passed on
	RetryAfter          time.Duration  // 0: the client is not told when to try again
	Trailer             http1.Fields   // of a response that is complete
	Tunnel              *body.Tunnel   // the client's connection changes its protocol; nil: it does not
	Stream              *body.Download // the part of the body that goes on as it comes; nil: the response is complete
	RetryAfterInSeconds bool           // RetryAfter is sent in whole seconds (RFC 9110, section 10.2.3)
}

// ClientLeft tells the pool that the client of a submitted request has left. Nothing of the request is sent from then
// on, also while the loop is busy.
func (r *Request) ClientLeft() {
	r.clientGone.Store(true)
	r.loop.enqueue(clientLeft{r})
}

// clientPresent reports whether the client is still connected. Any goroutine may call it.
func (r *Request) clientPresent() bool {
	if r.clientGone.Load() {
		return false
	}
	mayBeChecked := r.Client != nil && r.loop.now()-r.ReceivedAt > clientCheckDelay
	if mayBeChecked && !r.Client.Connected() {
		r.clientGone.Store(true)
	}
	return !r.clientGone.Load()
}

// isOpen reports whether the client waits for the final response.
func (r *Request) isOpen() bool { return r.state == requestOpen }

// requestArrived is a request that was submitted.
type requestArrived struct{ request *Request }

func (e requestArrived) apply(l *loop) { l.acceptRequest(e.request) }

// acceptRequest begins a request, or answers it where it can't be run.
func (l *loop) acceptRequest(request *Request) {
	if request.clientGone.Load() { // it left while the loop was busy
		request.state = request.state.after(clientDeparted)
		return
	}
	if l.clientRequestIDs[request.ClientRequestID] {
		// An endpoint could not tell the two requests apart. The later one is refused, the earlier one goes on.
		request.state = request.state.after(finalResponseSent)
		request.Responses <- Response{Status: http.StatusConflict}
		return
	}
	if err := l.createBalancer(); err != nil {
		l.failCreation(request, err)
		return
	}
	now := l.now()
	l.register(request, now)
	if !l.rejectOnArrival(request, now) {
		l.begin(request, now)
	}
}

// register gives a request its id and deadline.
func (l *loop) register(request *Request, now time.Duration) {
	l.suspension.unusedSince = 0
	l.clientRequestIDs[request.ClientRequestID] = true
	l.lastRequestID++
	request.ID = balancer.RequestID(l.lastRequestID) // of the pool's own: clients' ids need not be unique
	request.deadline = request.ReceivedAt + request.Budget
	request.Budget = max(0, request.deadline-now)
	if request.Message.Upload.Streaming() { // the budget counts from the last byte, which the client has not sent yet
		request.deadline = now + request.Message.BodyLimits().Within
		request.BodyStreaming = true
	}
}

// rejectOnArrival answers a request that the pool can't run now, and reports whether it did.
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

// begin starts a request's deadline and hands it to the balancer.
func (l *loop) begin(request *Request, now time.Duration) {
	l.requests[request.ID] = request
	request.deadlineTimer = timer{at: request.deadline, request: request}
	l.timers.schedule(&request.deadlineTimer)
	l.balancer.RequestArrived(now, request.Request)
}

// restartDeadline counts a request's budget from a time.
func (l *loop) restartDeadline(request *Request, from time.Duration) {
	request.deadline = from + request.Budget
	l.timers.cancel(&request.deadlineTimer)
	request.deadlineTimer.at = request.deadline
	l.timers.schedule(&request.deadlineTimer)
}

// clientLeft is a client that has closed its connection.
type clientLeft struct{ request *Request }

func (e clientLeft) apply(l *loop) {
	if e.request.isOpen() {
		l.abandonRequest(e.request)
		return
	}
	e.request.discardResponses()
}

// discardResponses ends the streams of responses that came as the client left: nobody else reads them.
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

// abandonRequest closes a request whose client has left.
func (l *loop) abandonRequest(request *Request) {
	l.closeRequest(request, clientDeparted)
	l.balancer.ClientLeft(l.now(), request.ID)
}

// respond gives a client its final response, unless the request is closed.
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
	response.RetryAfterInSeconds = l.fullResponses
	request.Responses <- response // has room
	l.closeRequest(request, finalResponseSent)
}

// closeRequest closes a request by a change. What of it has not been written is never written, also where attempts
// can't be cancelled: nothing of those has reached anybody.
func (l *loop) closeRequest(request *Request, change requestChange) {
	request.state = request.state.after(change)
	for _, attempt := range request.attempts {
		if !attempt.state.reported() && attempt.Drop() {
			l.deferOutcome(attempt, balancer.NotSent)
		}
	}
	l.releaseIfSettled(request)
}

// releaseIfSettled forgets a request that is closed and of which the balancer has had all outcomes.
func (l *loop) releaseIfSettled(request *Request) {
	if request.unreported > 0 {
		return
	}
	request.state = request.state.after(outcomesReported)
	if request.state != requestReleased {
		return
	}
	delete(l.requests, request.ID)
	delete(l.clientRequestIDs, request.ClientRequestID)
	l.timers.cancel(&request.deadlineTimer)
}
