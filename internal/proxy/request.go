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
	fieldDeadline       = "X-Deadline-Ms" // from the client's sending, in milliseconds
	fieldHost           = "Host"
	fieldIdempotencyKey = "Idempotency-Key"
	fieldRequestID      = "X-Request-Id"
	fieldRetry          = "X-Retry" // 1: the client has sent the request before
	fieldTenant         = "X-Tenant"
	fieldUpgrade        = "Upgrade"
)

const (
	// answerMargin is taken off the client's deadline, which counts from its sending: the way here and back, and a turn
	// of the pool's goroutine.
	answerMargin = 4 * time.Millisecond
	// maxClientNumber bounds a time that a client gives, in the unit of its field, so that no sum overflows.
	maxClientNumber = 1 << 40
)

// parsedRequest is a request with what its client says of it, whatever router reads it.
type parsedRequest struct {
	pool.Request
	clientDeadline time.Duration // as the client gives it; 0: none
}

// PoolRequest is the request as a pool takes it.
func (r *parsedRequest) PoolRequest() *pool.Request { return &r.Request }

// parseFields reads the fields that have the same meaning for all classes, and drops those that end at this connection.
func (r *parsedRequest) parseFields(fields *http1.Fields) error {
	r.Tenant = fields.Get(fieldTenant)
	r.Retry = fields.Get(fieldRetry) == "1"
	if fields.Has(fieldDeadline) {
		milliseconds, ok := http1.ParseDigits(fields.Get(fieldDeadline))
		if !ok || milliseconds == 0 {
			return frontend.BadRequest("X-Deadline-Ms is no time")
		}
		r.clientDeadline = time.Duration(min(milliseconds, maxClientNumber)) * time.Millisecond
	}
	if fields.Has(fieldCostHint) {
		microseconds, ok := http1.ParseDigits(fields.Get(fieldCostHint))
		if !ok {
			return frontend.BadRequest("X-Cost-Hint is no number")
		}
		r.Cost = time.Duration(min(microseconds, maxClientNumber)) * time.Microsecond
	}
	// A client can't drop the fields that the balancer goes by.
	http1.DropConnectionFields(fields, frontend.SingletonFields)
	return nil
}

// setKeyFromCookie makes the value of a cookie the request's key: as it is if it is hexadecimal, else its hash.
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

// setClass sets the class and the budget: the shortest of the client's deadline, the class's, and the limit of the
// destination, less answerMargin.
func (r *parsedRequest) setClass(class balancer.Class, limit time.Duration) {
	r.Class = class.Name
	budget := min(class.Deadline, limit)
	if r.clientDeadline > 0 {
		budget = min(budget, r.clientDeadline)
	}
	r.Budget = max(0, budget-answerMargin)
	if r.Cost > class.Deadline {
		r.Cost = 0 // work that can't be done within the deadline is no estimate, and would move the mean of them
	}
}

// newRequestID returns an id for a request whose client gave none.
func newRequestID() string {
	var id [8]byte
	rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}
