package frontend

import (
	"fmt"
	"net/http"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Router decides where a front's requests go, and which of them never reach a pool. Fronts call it from many goroutines.
type Router interface {
	// Check reads what a request's head says. What is malformed is turned away with a *Refusal.
	Check(method, target string, h *http1.Fields) (Exchange, error)
	// Ping returns once all pools have had a turn.
	Ping()
	// Now is the time on the pools' clock.
	Now() time.Duration
	// MaxDeadline is the longest time that a client waits.
	MaxDeadline() time.Duration
}

// Exchange is a request on its way from a client to a pool. It belongs to the client's connection until Enter has succeeded.
type Exchange interface {
	// PoolRequest is the request as a pool takes it.
	PoolRequest() *pool.Request
	// Admit hands the request to its pool. A status tells that the pool does not take it, and what is answered.
	Admit() (pool.Response, error)
	// Done follows each Enter that has succeeded, once the request is answered or its client has gone.
	Done()
}

// Rejection is why a request never reaches the module, and what its client is told.
type Rejection struct {
	Status int
	Why    string
}

func (r *Rejection) Error() string { return r.Why }

func BadRequest(format string, args ...any) error {
	return &Rejection{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var errPipelined = BadRequest("bytes behind a request that is not answered yet")
