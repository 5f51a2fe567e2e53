// Package body moves long bodies between the connection of a client and that of an upstream: Upload for requests,
// Download for responses, Tunnel for connections that have switched protocols. Packages frontend and upstream each
// handle one side of them. Every wait has a time limit. The package does not read or write heads.
package body

import (
	"time"

	"olivearch/internal/http1"
)

// Limits are the limits of the bodies of one route.
type Limits struct {
	Request int64         // largest request body in bytes
	Ahead   int           // bytes of a request body that are read ahead into the spool before an attempt
	Within  time.Duration // longest time for streaming a request body
	Answer  int64         // largest response body in bytes
	Quiet   time.Duration // longest time without a byte from the upstream in the middle of a response
	Total   time.Duration // longest time for streaming a response; 0: no limit

	Trailers bool // whether trailers are forwarded
}

// Trailer returns the trailer of a body, or nil if trailers are not forwarded.
func (l *Limits) Trailer(b *http1.Body) http1.Fields {
	if !l.Trailers {
		return nil
	}
	return b.Trailer()
}

// DefaultLimits are the limits of messages that set none.
var DefaultLimits = Limits{
	Request: 48 << 20,
	Ahead:   1 << 20,
	Within:  5 * time.Minute,
	Answer:  48 << 20,
	Quiet:   30 * time.Second,
}
