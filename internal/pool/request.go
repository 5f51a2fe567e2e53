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

// Request is a client's request. Who takes it from the client fills in what is exported; from the moment that it is asked it is
// the pool's.
type Request struct {
	balancer.Request
	Name    string // the client's id of it
	Message upstream.Message
	At      time.Duration // when its last byte had come, on the pool's clock
	Reply   chan Response // holds the one answer, and an interim one (status 103) where its message wants these
	Client  Client        // nil: nobody knows whether it is still there

	loop          *loop // of the pool that it was asked of
	deadline      time.Duration
	attempts      []*attempt
	unreported    int // attempts whose outcome the module has not had
	closed        bool
	clientGone    atomic.Bool // its client has been seen to have left, which the loop may not know yet
	hintSent      bool        // its client has had an interim answer
	deadlineTimer timer       // at the deadline
}

// Client is who waits for a request's answer.
type Client interface {
	// Connected tells, without waiting and from any goroutine, whether the client is still connected.
	Connected() bool
}

// clientCheckDelay is how long a client is taken to be there after its request's last byte, in which no look at its connection is worth
// its cost: nothing of a request may go out later than 100 ms after its client has left.
const clientCheckDelay = 50 * time.Millisecond

// clientPresent tells whether the client is still there. It may be called from any goroutine.
func (q *Request) clientPresent() bool {
	if q.clientGone.Load() {
		return false
	}
	if q.Client != nil && q.loop.now()-q.At > clientCheckDelay && !q.Client.Connected() {
		q.clientGone.Store(true)
	}
	return !q.clientGone.Load()
}

// Response is what a client gets, once.
type Response struct {
	Status              int // 0: none, the client has gone
	Body                []byte
	ContentType         string         // the body's Content-Type
	Header              http1.Fields   // an upstream's, where all of it is passed on
	RetryAfter          time.Duration  // 0: nothing is said of it
	Trailer             http1.Fields   // of a whole answer
	Tunnel              *body.Tunnel   // the client's connection changes its protocol
	Stream              *body.Download // what of the body goes on as it comes; nil: it is whole
	RetryAfterInSeconds bool           // RetryAfter goes out in whole seconds, as RFC 9110 (section 10.2.3) has it
}

// ClientLeft tells that the client of a request that was asked has gone. Nothing of it is sent from then on, also while the loop is busy.
func (q *Request) ClientLeft() {
	q.clientGone.Store(true)
	q.loop.enqueue(clientLeft{q})
}

// requestArrived is a client's request.
type requestArrived struct{ *Request }

func (e requestArrived) apply(l *loop) {
	r := e.Request
	if r.clientGone.Load() { // while the loop was busy: nobody waits for an answer
		r.closed = true
		return
	}
	if l.clientRequestIDs[r.Name] { // an upstream could not tell the two apart: the newcomer goes, the first is spared
		r.closed = true
		r.Reply <- Response{Status: http.StatusConflict}
		return
	}
	if err := l.createBalancer(); err != nil {
		l.failCreation(r, err)
		return
	}
	l.clientRequestIDs[r.Name] = true
	l.emptySince = 0
	l.lastRequestID++
	r.ID = balancer.RequestID(l.lastRequestID) // the module's own: what clients send need not be unique
	r.deadline = r.At + r.Budget
	now := l.now()
	r.Budget = max(0, r.deadline-now)
	if r.Message.Rest.Live() { // it counts from its last byte, and that is still with the client
		r.deadline, r.BodyStreaming = now+r.Message.Most().Within, true
	}
	if l.listExpired(now) { // what the list says is too old to go by
		l.respond(r, Response{Status: http.StatusServiceUnavailable, RetryAfter: min(time.Second, l.settings.Limits.MaxRetryAfter)})
		return
	}
	if r.Message.Upgrade != "" && len(l.tunnels) >= l.tunnelLimits.Total {
		l.respond(r, Response{Status: http.StatusServiceUnavailable, RetryAfter: l.settings.Limits.MaxRetryAfter})
		return
	}
	l.requests[r.ID] = r
	r.deadlineTimer = timer{at: r.deadline, request: r}
	l.timers.schedule(&r.deadlineTimer)
	l.balancer.RequestArrived(now, r.Request)
}

// clientLeft tells that a client has closed its connection.
type clientLeft struct{ *Request }

func (e clientLeft) apply(l *loop) {
	r := e.Request
	if !r.closed {
		l.abandonRequest(r)
		return
	}
	for { // the answer came as the client left: nobody else reads it
		select {
		case a := <-r.Reply:
			a.Stream.Abandon()
			a.Tunnel.Close()
		default:
			return
		}
	}
}

// abandonRequest drops a request whose client has gone.
func (l *loop) abandonRequest(r *Request) {
	l.closeRequest(r)
	l.balancer.ClientLeft(l.now(), r.ID)
}

// respond gives a client the one answer.
func (l *loop) respond(r *Request, a Response) {
	if r.closed {
		return
	}
	switch a.Status {
	case http.StatusServiceUnavailable:
		l.counters.refused.Add(1)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		l.counters.failed.Add(1)
	default:
		l.counters.served.Add(1)
		l.counters.servedFor.Add(int64(max(0, l.now()-r.At)))
	}
	a.RetryAfterInSeconds = l.fullResponses
	r.Reply <- a
	l.closeRequest(r)
}

// closeRequest notes that nothing more is owed for r. What has not been written of it never is, whether or not the site lets attempts be
// cancelled: nothing of those has reached anybody.
func (l *loop) closeRequest(r *Request) {
	r.closed = true
	for _, a := range r.attempts {
		if !a.reported && a.Drop() {
			l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, balancer.NotSent})
		}
	}
	l.releaseRequest(r)
}

// releaseRequest forgets a request that is closed and has nothing out.
func (l *loop) releaseRequest(r *Request) {
	if r.closed && r.unreported == 0 {
		delete(l.requests, r.ID)
		delete(l.clientRequestIDs, r.Name)
		l.timers.cancel(&r.deadlineTimer)
	}
}
