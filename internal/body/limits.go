// Package body carries long bodies between a client's connection and an upstream's: requests (Upload), responses
// (Download) and connections that have changed their protocol (Tunnel). Each says who may end it, and bounds every
// wait.
package body

import (
	"time"

	"olivearch/internal/http1"
)

// Limits are what bodies may take, by the route of their request.
type Limits struct {
	Request int64         // bytes of a request's body
	Ahead   int           // bytes of it that are read before an attempt, beyond the Whole that each may have for itself
	Within  time.Duration // for a request's body that is sent while it comes
	Answer  int64         // bytes of a response's body
	Quiet   time.Duration // how long an upstream may send nothing in the middle of a response
	Total   time.Duration // for a response that is streamed; 0: no limit

	Trailers bool // trailers are forwarded
}

// Trailer returns what is forwarded of a body's trailer.
func (l *Limits) Trailer(b *http1.Body) http1.Fields {
	if !l.Trailers {
		return nil
	}
	return b.Trailer()
}

// DefaultLimits are the limits where nothing else is set.
var DefaultLimits = Limits{
	Request: 48 << 20,
	Ahead:   1 << 20,
	Within:  5 * time.Minute,
	Answer:  48 << 20,
	Quiet:   30 * time.Second,
}
