package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/route"
	"olivearch/internal/upstream"
)

// platformKeyCookie is the cookie that carries a request's key for the decision module.
const platformKeyCookie = "obj"

// platformRouter is the router of a platform's balancer: it has one pool, and each request names its class. Its methods
// may be called from any goroutine.
type platformRouter struct {
	classes atomic.Pointer[map[string]balancer.Class] // by name; the map is immutable
	pool    *pool.Pool
}

var _ frontend.Router = (*platformRouter)(nil)

func newPlatformRouter(classes []balancer.Class, p *pool.Pool) *platformRouter {
	r := &platformRouter{pool: p}
	r.setClasses(classes)
	return r
}

// setClasses replaces the classes that requests may name.
func (r *platformRouter) setClasses(classes []balancer.Class) {
	byName := make(map[string]balancer.Class, len(classes))
	for _, class := range classes {
		byName[class.Name] = class
	}
	r.classes.Store(&byName)
}

// Now returns the time on the pool's clock.
func (r *platformRouter) Now() time.Duration { return r.pool.Now() }

// Ping returns once the pool's event loop has handled an event.
func (r *platformRouter) Ping() { r.pool.Ping() }

// MaxDeadline returns the longest deadline of all classes.
func (r *platformRouter) MaxDeadline() (longest time.Duration) {
	for _, class := range *r.classes.Load() {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// platformExchange is a request for the platform's one pool.
type platformExchange struct {
	parsedRequest
	pool *pool.Pool
}

// Admit submits the request to the pool, which accepts every request.
func (e *platformExchange) Admit() (pool.Response, error) {
	e.pool.Submit(&e.Request)
	return pool.Response{}, nil
}

// Done does nothing: the pool does not count its requests.
func (e *platformExchange) Done() {}

// Check parses and validates the head of a request. It rejects a malformed field, as a default value would serve
// something other than the client asked for.
func (r *platformRouter) Check(method, target string, fields *http1.Fields) (frontend.Exchange, error) {
	target = originForm(target)
	if !isPath(target) {
		return nil, frontend.BadRequest("the target is no path")
	}
	if fields.Get(fieldHost) == "" {
		return nil, frontend.BadRequest("Host is wanted")
	}
	class, known := (*r.classes.Load())[fields.Get(fieldClass)]
	if !known {
		return nil, frontend.BadRequest("X-Class names no known class")
	}
	if firstSegment(target) != class.Name {
		return nil, frontend.BadRequest("the path does not begin with the class")
	}
	requestID := fields.Get(fieldRequestID)
	if requestID == "" {
		return nil, frontend.BadRequest("X-Request-Id is wanted")
	}
	if err := checkFitsClass(class, method, fields); err != nil {
		return nil, err
	}
	exchange := &platformExchange{pool: r.pool}
	exchange.ClientRequestID = requestID
	if err := exchange.parseFields(fields); err != nil {
		return nil, err
	}
	exchange.setKeyFromCookie(*fields, platformKeyCookie)
	exchange.setClass(class, class.Deadline)
	exchange.Message = upstream.Message{
		RequestLine: method + " " + target,
		Header:      *fields,
		Host:        fields.Get(fieldHost),
		Bodied:      method == http.MethodPost,
	}
	return exchange, nil
}

// originForm removes scheme and host from a target in absolute form (RFC 9112, section 3.2.2). It returns an invalid
// target unchanged.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	absolute, err := route.ParseTarget(target)
	if err != nil {
		return target
	}
	return absolute.String()
}

// isPath reports whether a target is an absolute path of printable ASCII characters without spaces.
func isPath(target string) bool {
	notPrintable := func(r rune) bool { return r <= ' ' || r >= 0x7f }
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, notPrintable)
}

// firstSegment returns the first segment of a target's path.
func firstSegment(target string) string {
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	segment, _, _ := strings.Cut(path, "/")
	return segment
}

// checkFitsClass checks that a request has the method that its class requires, and an Idempotency-Key exactly if the
// class requires one.
func checkFitsClass(class balancer.Class, method string, fields *http1.Fields) error {
	requiredMethod := http.MethodPost
	if class.Idempotency == balancer.Idempotent {
		requiredMethod = http.MethodGet
	}
	if method != requiredMethod {
		return frontend.BadRequest("the method does not fit the class")
	}
	requiresKey := class.Idempotency == balancer.IdempotentWithKey
	hasKey := fields.Get(fieldIdempotencyKey) != ""
	emptyKey := !hasKey && fields.Has(fieldIdempotencyKey)
	if requiresKey != hasKey || emptyKey {
		return frontend.BadRequest("Idempotency-Key does not fit the class")
	}
	return nil
}
