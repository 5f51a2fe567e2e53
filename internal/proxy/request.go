package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Names of header fields that routers read.
const (
	fieldClass          = "X-Class"
	fieldConnection     = "Connection"
	fieldCookie         = "Cookie"
	fieldCostHint       = "X-Cost-Hint"   // expected work, in microseconds
	fieldDeadline       = "X-Deadline-Ms" // in milliseconds from when the client sent the request
	fieldHost           = "Host"
	fieldIdempotencyKey = "Idempotency-Key"
	fieldRequestID      = "X-Request-Id"
	fieldRetry          = "X-Retry" // 1: the client has sent the request before
	fieldTenant         = "X-Tenant"
	fieldUpgrade        = "Upgrade"
)

const (
	// deadlineMargin is subtracted from a request's budget, since the client's deadline counts from its sending. It
	// covers the transfer from and to the client, and one iteration of the pool's event loop.
	deadlineMargin = 4 * time.Millisecond
	// maxClientTime caps a time in a client's header field, in the unit of the field, so that no sum overflows.
	maxClientTime = 1 << 40
)

// parsedRequest is a pool's request, filled in from the client's header fields. The exchanges of both routers embed it.
type parsedRequest struct {
	pool.Request
	clientDeadline time.Duration // from X-Deadline-Ms; 0: none
}

// PoolRequest returns the request that is submitted to a pool.
func (r *parsedRequest) PoolRequest() *pool.Request { return &r.Request }

// parseFields parses the fields that have the same meaning for all classes, and removes the fields that Connection
// names (RFC 9110, section 7.6.1).
func (r *parsedRequest) parseFields(fields *http1.Fields) error {
	r.Tenant = fields.Get(fieldTenant)
	r.Retry = fields.Get(fieldRetry) == "1"
	if fields.Has(fieldDeadline) {
		milliseconds, ok := http1.ParseDigits(fields.Get(fieldDeadline))
		if !ok || milliseconds == 0 {
			return frontend.BadRequest("X-Deadline-Ms is no time")
		}
		r.clientDeadline = time.Duration(min(milliseconds, maxClientTime)) * time.Millisecond
	}
	if fields.Has(fieldCostHint) {
		microseconds, ok := http1.ParseDigits(fields.Get(fieldCostHint))
		if !ok {
			return frontend.BadRequest("X-Cost-Hint is no number")
		}
		r.Cost = time.Duration(min(microseconds, maxClientTime)) * time.Microsecond
	}
	// Fields that the balancer itself relies on stay, even if Connection names them.
	http1.DropConnectionFields(fields, frontend.SingletonFields)
	return nil
}

// setKeyFromCookie sets the request's key from a cookie: to its value if that is hexadecimal, else to the value's hash.
func (r *parsedRequest) setKeyFromCookie(fields http1.Fields, name string) {
	r.Key, r.HasKey = 0, false
	cookies := fields.Values(fieldCookie)
	if len(cookies) == 0 {
		return
	}
	parser := http.Request{Header: http.Header{fieldCookie: cookies}}
	cookie, err := parser.Cookie(name)
	if err != nil {
		return
	}
	r.HasKey = true
	if r.Key, err = strconv.ParseUint(cookie.Value, 16, 64); err != nil {
		r.Key = uint64(discovery.HashID(cookie.Value))
	}
}

// setClass sets the class and the budget. The budget is the shortest of the client's deadline, the class's deadline and
// the route's limit, less deadlineMargin. A cost above the class's deadline is discarded.
func (r *parsedRequest) setClass(class balancer.Class, limit time.Duration) {
	r.Class = class.Name
	budget := min(class.Deadline, limit)
	if r.clientDeadline > 0 {
		budget = min(budget, r.clientDeadline)
	}
	r.Budget = max(0, budget-deadlineMargin)
	if r.Cost > class.Deadline {
		r.Cost = 0 // more work than fits the deadline is no estimate, and would distort the mean of the estimates
	}
}

// newRequestID returns a random id for a request that came without one.
func newRequestID() string {
	var id [8]byte
	rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}
