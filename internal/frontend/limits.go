package frontend

import (
	"time"

	"olivearch/internal/http1"
)

const (
	// defaultSpoolBytes is what all clients' bodies may take ahead of their attempts where nothing else is set.
	defaultSpoolBytes = 16 << 20
	// readBufferBytes is the size of the buffer that a client's connection is read into.
	readBufferBytes = 4 << 10
	// bufferedBodyBytes is what of a body each request may buffer outside of the spool.
	bufferedBodyBytes = 64 << 10
	// defaultMinBodyRate is the least rate of a body in bytes per second where nothing else is set.
	defaultMinBodyRate = 8 << 10
)

// Limits are what a listener's clients may take.
type Limits struct {
	Connections int
	Head        int           // bytes of a request's head
	Within      time.Duration // for a request's head, and for as much of its body as comes at the least rate
	Rate        int           // bytes per second: a body that comes slower is rejected
	Floor       bool          // Rate holds for bodies that are forwarded as they come too
	HTTP10      bool          // HTTP/1.0 is served too
}

// DefaultLimits returns the limits where nothing but the number of connections is set.
func DefaultLimits(connections int) Limits {
	return Limits{
		Connections: connections,
		Head:        http1.MaxHead,
		Within:      requestTimeout,
		Rate:        defaultMinBodyRate,
	}
}
