package frontend

import (
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Router decides where a Server's requests go, and which of them never reach a pool. It is called from many goroutines.
type Router interface {
	// Check reads what a request's head says. A malformed one is rejected with a *Rejection.
	Check(method, target string, h *http1.Fields) (Exchange, error)
	// Ping returns once all pools have had a turn.
	Ping()
	// Now is the time on the pools' clock.
	Now() time.Duration
	// MaxDeadline is the longest time that a client waits.
	MaxDeadline() time.Duration
}

// Exchange is a request on its way from a client to a pool. It belongs to the client's connection until Admit has
// succeeded.
type Exchange interface {
	// PoolRequest is the request as a pool takes it.
	PoolRequest() *pool.Request
	// Admit submits the request to its pool. A response with a status means that the pool rejects it, and is what
	// the client gets.
	Admit() (pool.Response, error)
	// Done follows each Admit that has succeeded, once the request is answered or its client has left.
	Done()
}
