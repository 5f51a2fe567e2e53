package frontend

import (
	"time"

	"olivearch/internal/http1"
)

// Limits are what a listener's clients may take.
type Limits struct {
	Connections int
	Head        int           // bytes of a request's head
	Within      time.Duration // for a request's head, and for as much of its body as comes at the least rate
	Rate        int           // bytes a second: a body that comes slower is given up
	Floor       bool          // that holds for bodies that go on as they come too
	HTTP10      bool          // HTTP/1.0 is served too
}

// Usual are the limits where nothing but the connections is set.
func Usual(connections int) Limits {
	return Limits{Connections: connections, Head: http1.MaxHead, Within: requestTimeout, Rate: 8 << 10}
}
