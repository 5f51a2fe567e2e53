package body

import (
	"errors"
	"time"
)

const (
	// overdueStallTimeout is the longest silence of an upstream once the body is due, if nothing has come since. The
	// response has then been silent across its due time, and its client must see an end within the 0.5 s after which the
	// platform counts a request as lost.
	overdueStallTimeout = 1200 * time.Millisecond
	// lateStallTimeout is the longest silence of an upstream that has sent bytes after the body was due: a slow one,
	// which writes in pieces.
	lateStallTimeout = 3 * time.Second
	// dueGrace is the time after the due time in which no silence ends a response.
	dueGrace = 350 * time.Millisecond
)

// errUpstreamSilent is the error of a response whose upstream has sent nothing for too long.
var errUpstreamSilent = errors.New("upstream has stopped sending")

// stallRule decides when an upstream that sends nothing has stopped, as opposed to being slow. Only silence ends a
// response: one whose bytes still come has no end in time.
type stallRule struct {
	timeout      time.Duration // Limits.StallTimeout
	total        time.Time     // by which the whole body must have been received; zero: none
	due          time.Time     // see Download.SetDue; zero: none
	waitingSince time.Time     // when the wait for the next byte began; not while the client is the slower side
	lastByte     time.Time     // when the upstream sent something
}

func newStallRule(timeout time.Duration) stallRule {
	now := time.Now()
	return stallRule{timeout: timeout, waitingSince: now, lastByte: now}
}

// end returns the time at which the current wait for the next byte ends the response.
func (r *stallRule) end() time.Time {
	end := r.waitingSince.Add(r.timeout)
	if !r.total.IsZero() {
		end = earlier(end, r.total)
	}
	if r.due.IsZero() {
		return end
	}
	silence := overdueStallTimeout
	if r.lastByte.After(r.due) {
		silence = lateStallTimeout
	}
	return earlier(end, later(r.due.Add(dueGrace), r.waitingSince.Add(silence)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
