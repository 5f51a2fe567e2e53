package frontend

import (
	"fmt"
	"net/http"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Desk decides where a front's requests go, and which of them never reach a pool. Fronts call it from many goroutines.
type Desk interface {
	// Check reads what a request's head says. What is malformed is turned away with a *Refusal.
	Check(method, target string, h *http1.Fields) (Call, error)
	// Alive returns once all pools have had a turn.
	Alive()
	// Now is the time on the pools' clock.
	Now() time.Duration
	// Longest is the longest time that a client waits.
	Longest() time.Duration
}

// Call is a request on its way from a client to a pool. It belongs to the client's connection until Enter has succeeded.
type Call interface {
	// Asked is the request as a pool takes it.
	Asked() *pool.Request
	// Enter hands the request to its pool. A status tells that the pool does not take it, and what is answered.
	Enter() (pool.Answer, error)
	// Leave follows each Enter that has succeeded, once the request is answered or its client has gone.
	Leave()
}

// Refusal is why a request never reaches the module, and what its client is told.
type Refusal struct {
	Status int
	Why    string
}

func (r *Refusal) Error() string { return r.Why }

func Bad(format string, args ...any) error {
	return &Refusal{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var errAhead = Bad("bytes behind a request that is not answered yet")
