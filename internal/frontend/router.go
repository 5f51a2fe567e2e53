package frontend

import (
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Router selects the pool of each request of a Server, or rejects the request. It is called from many goroutines.
type Router interface {
	// Check returns the exchange for the head of a request. It may change the fields. The error for a head that
	// can't be served is a *Rejection.
	Check(method, target string, h *http1.Fields) (Exchange, error)
	// Ping returns once the event loops of all pools have handled an event.
	Ping()
	// Now returns the time on the clock of the pools.
	Now() time.Duration
	// MaxDeadline returns the longest time that a client may wait for a response.
	MaxDeadline() time.Duration
}

// Exchange is a request that has been routed to a pool. The client's connection owns it until Admit has succeeded.
type Exchange interface {
	// PoolRequest returns the request that Admit submits.
	PoolRequest() *pool.Request
	// Admit submits the request to its pool. If the returned response has a status, the pool has rejected the
	// request, and the client gets that response.
	Admit() (pool.Response, error)
	// Done is called once after each successful Admit, when the request is answered or its client has left.
	Done()
}
