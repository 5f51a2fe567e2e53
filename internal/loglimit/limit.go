// Package loglimit bounds how many lines of one kind are logged, so that overload does not flood the log. It does not
// log by itself.
package loglimit

import (
	"sync"
	"time"
)

const (
	// interval is how often the budget of a Limit is renewed.
	interval = time.Second
	// maxLines bounds the lines of one kind in an interval. Further ones are counted.
	maxLines = 20
)

// Limit bounds the lines of one kind. The zero value has its whole budget. One goroutine at a time may use it.
type Limit struct {
	renewAt    time.Duration
	lines      int
	suppressed int
}

// Admit reports whether a line may be logged at a time on the caller's clock, and how many were suppressed since the
// last one.
func (l *Limit) Admit(now time.Duration) (suppressed int, ok bool) {
	if now >= l.renewAt {
		l.renewAt = now + interval
		l.lines = 0
	}
	if l.lines >= maxLines {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed = l.suppressed
	l.suppressed = 0
	return suppressed, true
}

// Shared is a Limit that any goroutine may use. The zero value has its whole budget.
type Shared struct {
	mu    sync.Mutex
	limit Limit
}

// started is the origin of the clock of all Shared limits.
var started = time.Now()

// Admit reports whether a line may be logged now, and how many were suppressed since the last one.
func (s *Shared) Admit() (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Admit(time.Since(started))
}
