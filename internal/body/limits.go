package body

import (
	"time"

	"olivearch/internal/http1"
)

// Limits are what bodies may take, by the route of their request.
type Limits struct {
	Request int64         // bytes of a request's body
	Ahead   int           // bytes of it that are read ahead of an attempt, beyond the Whole that each may have for itself
	Within  time.Duration // for a request's body that goes on as it comes
	Answer  int64         // bytes of an answer's body
	Quiet   time.Duration // how long a node may say nothing in the middle of an answer
	Total   time.Duration // for an answer that goes on as it comes; 0: as long as it takes

	Trailers bool // what stands behind chunks goes on
}

// Trailer is what goes on of a body's trailer.
func (l *Limits) Trailer(b *http1.Body) http1.Fields {
	if !l.Trailers {
		return nil
	}
	return b.Trailer()
}

// Usual are the limits where nothing else is set.
var Usual = Limits{Request: 48 << 20, Ahead: 1 << 20, Within: 5 * time.Minute, Answer: 48 << 20, Quiet: 30 * time.Second}
