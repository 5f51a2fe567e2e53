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

	loop     *loop // of the pool that it was asked of
	deadline time.Duration
	attempts []*attempt
	out      int // attempts whose outcome the module has not had
	closed   bool
	gone     atomic.Bool // its client has been seen to have left, which the loop may not know yet
	hinted   bool        // its client has had an interim answer
	end      alarm       // at the deadline
}

// Client is who waits for a request's answer.
type Client interface {
	// Connected tells, without waiting and from any goroutine, whether the client is still connected.
	Connected() bool
}

// presentFor is how long a client is taken to be there after its request's last byte, in which no look at its connection is worth
// its cost: nothing of a request may go out later than 100 ms after its client has left.
const presentFor = 50 * time.Millisecond

// waits tells whether the client is still there. It may be called from any goroutine.
func (q *Request) waits() bool {
	if q.gone.Load() {
		return false
	}
	if q.Client != nil && q.loop.now()-q.At > presentFor && !q.Client.Connected() {
		q.gone.Store(true)
	}
	return !q.gone.Load()
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
	q.gone.Store(true)
	q.loop.post(left{q})
}

// arrived is a client's request.
type arrived struct{ *Request }

func (e arrived) apply(l *loop) {
	r := e.Request
	if r.gone.Load() { // while the loop was busy: nobody waits for an answer
		r.closed = true
		return
	}
	if l.open[r.Name] { // an upstream could not tell the two apart: the newcomer goes, the first is spared
		r.closed = true
		r.Reply <- Response{Status: http.StatusConflict}
		return
	}
	if err := l.make(); err != nil {
		l.refuseUnmade(r, err)
		return
	}
	l.open[r.Name] = true
	l.emptyAt = 0
	l.serial++
	r.ID = balancer.RequestID(l.serial) // the module's own: what clients send need not be unique
	r.deadline = r.At + r.Budget
	now := l.now()
	r.Budget = max(0, r.deadline-now)
	if r.Message.Rest.Live() { // it counts from its last byte, and that is still with the client
		r.deadline, r.BodyStreaming = now+r.Message.Most().Within, true
	}
	if l.expired(now) { // what the list says is too old to go by
		l.answer(r, Response{Status: http.StatusServiceUnavailable, RetryAfter: min(time.Second, l.settings.Limits.MaxRetryAfter)})
		return
	}
	if r.Message.Upgrade != "" && len(l.tunnels) >= l.caps.Total {
		l.answer(r, Response{Status: http.StatusServiceUnavailable, RetryAfter: l.settings.Limits.MaxRetryAfter})
		return
	}
	l.requests[r.ID] = r
	r.end = alarm{at: r.deadline, request: r}
	l.alarms.set(&r.end)
	l.balancer.RequestArrived(now, r.Request)
}

// left tells that a client has closed its connection.
type left struct{ *Request }

func (e left) apply(l *loop) {
	r := e.Request
	if !r.closed {
		l.leave(r)
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

// leave drops a request whose client has gone.
func (l *loop) leave(r *Request) {
	l.close(r)
	l.balancer.ClientLeft(l.now(), r.ID)
}

// answer gives a client the one answer.
func (l *loop) answer(r *Request, a Response) {
	if r.closed {
		return
	}
	switch a.Status {
	case http.StatusServiceUnavailable:
		l.counts.refused.Add(1)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		l.counts.failed.Add(1)
	default:
		l.counts.served.Add(1)
		l.counts.servedFor.Add(int64(max(0, l.now()-r.At)))
	}
	a.RetryAfterInSeconds = l.whole
	r.Reply <- a
	l.close(r)
}

// close notes that nothing more is owed for r. What has not been written of it never is, whether or not the site lets attempts be
// cancelled: nothing of those has reached anybody.
func (l *loop) close(r *Request) {
	r.closed = true
	for _, a := range r.attempts {
		if !a.told && a.Drop() {
			l.due = append(l.due, owing{a, balancer.NotSent})
		}
	}
	l.release(r)
}

// release forgets a request that is closed and has nothing out.
func (l *loop) release(r *Request) {
	if r.closed && r.out == 0 {
		delete(l.requests, r.ID)
		delete(l.open, r.Name)
		l.alarms.unset(&r.end)
	}
}
