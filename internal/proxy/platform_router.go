package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/route"
	"olivearch/internal/upstream"
)

// answerMargin is taken off the client's deadline, which counts from its sending: the way here and back, and
// a turn of the pool's goroutine.
const answerMargin = 4 * time.Millisecond

// platformRouter is the desk of a platform's balancer: one pool, and the request forms of its protocol.
type platformRouter struct {
	classes atomic.Pointer[map[string]balancer.Class]
	pool    *pool.Pool
}

var _ frontend.Router = (*platformRouter)(nil)

func newPlatformRouter(classes []balancer.Class, p *pool.Pool) *platformRouter {
	d := &platformRouter{pool: p}
	d.adopt(classes)
	return d
}

// adopt puts other classes in the place of those that clients may ask for.
func (d *platformRouter) adopt(classes []balancer.Class) {
	m := make(map[string]balancer.Class, len(classes))
	for _, class := range classes {
		m[class.Name] = class
	}
	d.classes.Store(&m)
}

func (d *platformRouter) Now() time.Duration { return d.pool.Now() }
func (d *platformRouter) Ping()              { d.pool.Ping() }

// platformExchange is a request for the one pool that there is.
type platformExchange struct {
	parsedRequest
	pool *pool.Pool
}

func (c *platformExchange) Admit() (pool.Response, error) {
	c.pool.Submit(&c.Request)
	return pool.Response{}, nil
}
func (c *platformExchange) Done() {}

func (d *platformRouter) MaxDeadline() (most time.Duration) {
	for _, class := range *d.classes.Load() {
		most = max(most, class.Deadline)
	}
	return most
}

// Check reads what a request says of itself. A field that is there must be right: a guess at what was meant would be
// served in its place.
func (d *platformRouter) Check(method, target string, h *http1.Fields) (frontend.Exchange, error) {
	if absolute, err := route.ParseTarget(target); err == nil && !strings.HasPrefix(target, "/") { // RFC 9112, section 3.2.2
		target = absolute.String()
	}
	class, ok := (*d.classes.Load())[h.Get("X-Class")]
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	id, key := h.Get("X-Request-Id"), h.Get("Idempotency-Key")
	switch {
	case !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return nil, frontend.BadRequest("the target is no path")
	case h.Get("Host") == "":
		return nil, frontend.BadRequest("Host is wanted")
	case !ok:
		return nil, frontend.BadRequest("X-Class names no known class")
	case first != class.Name:
		return nil, frontend.BadRequest("the path does not begin with the class")
	case id == "":
		return nil, frontend.BadRequest("X-Request-Id is wanted")
	case (class.Idempotency == balancer.Idempotent) != (method == http.MethodGet),
		class.Idempotency != balancer.Idempotent && method != http.MethodPost:
		return nil, frontend.BadRequest("the method does not fit the class")
	case (class.Idempotency == balancer.IdempotentWithKey) != (key != ""), key == "" && h.Has("Idempotency-Key"):
		return nil, frontend.BadRequest("Idempotency-Key does not fit the class")
	}
	q := &platformExchange{pool: d.pool, parsedRequest: parsedRequest{Request: pool.Request{Name: id}}}
	if err := q.describe(h); err != nil {
		return nil, err
	}
	q.about(*h, "obj")
	q.assign(class, class.Deadline)
	q.Message = upstream.Message{Line: method + " " + target, Header: *h, Host: h.Get("Host"), Bodied: method == http.MethodPost}
	return q, nil
}

// parsedRequest is a request with what its client says of it.
type parsedRequest struct {
	pool.Request
	patience time.Duration // that the client claims; 0: none
}

// PoolRequest is what goes to the pool.
func (q *parsedRequest) PoolRequest() *pool.Request { return &q.Request }

// describe reads the fields that say what a request is like, whatever its class.
func (q *parsedRequest) describe(h *http1.Fields) error {
	q.Tenant, q.Retry = h.Get("X-Tenant"), h.Get("X-Retry") == "1"
	if h.Has("X-Deadline-Ms") {
		ms, ok := http1.Digits(h.Get("X-Deadline-Ms"))
		if !ok || ms == 0 {
			return frontend.BadRequest("X-Deadline-Ms is no time")
		}
		q.patience = time.Duration(min(ms, maxPatience)) * time.Millisecond
	}
	if h.Has("X-Cost-Hint") {
		us, ok := http1.Digits(h.Get("X-Cost-Hint"))
		if !ok {
			return frontend.BadRequest("X-Cost-Hint is no number")
		}
		q.Cost = time.Duration(min(us, maxPatience)) * time.Microsecond
	}
	http1.DropNamed(h, frontend.Once) // what the protocol wants passed on can't be taken out
	return nil
}

// maxPatience bounds what a client may claim, in its unit, so that no sum overflows.
const maxPatience = 1 << 40

// about takes a cookie's value for what the request is about.
func (q *parsedRequest) about(h http1.Fields, cookie string) {
	q.Key, q.HasKey = 0, false
	cookies := h.Values("Cookie")
	if len(cookies) == 0 {
		return
	}
	c, err := (&http.Request{Header: http.Header{"Cookie": cookies}}).Cookie(cookie)
	if err != nil {
		return
	}
	q.HasKey = true
	if q.Key, err = strconv.ParseUint(c.Value, 16, 64); err != nil {
		q.Key = uint64(discovery.Hashed(c.Value))
	}
}

// assign gives a request its class and the shortest of the times that it may take: the client's, the class's, and the
// limit of where it goes.
func (q *parsedRequest) assign(class balancer.Class, limit time.Duration) {
	q.Class, q.Budget = class.Name, min(class.Deadline, limit)
	if q.patience > 0 {
		q.Budget = min(q.Budget, q.patience)
	}
	q.Budget = max(0, q.Budget-answerMargin)
	if q.Cost > class.Deadline {
		q.Cost = 0 // work that could not be done in the class's time is no guess to go by, and would move the mean of them
	}
}
