package discovery

import "time"

// NotifiedWithin is when a change counts as notified after the service had it and could be reached, whether or not it
// arrived (PROTOCOL, Figures). The worst case is a watch that becomes unresponsive as soon as it is open, right before
// the change: this is noticed after WatchWait and WatchGrace, then the decision module's first backoff passes, and the
// next call waits in the service's queue. docs/design/membership.md has the sum; TestChangeIsNotifiedInTime checks it.
const NotifiedWithin = 6 * time.Second

// The bounds of calls to a discovery service that is polled.
const (
	// WatchWait is how long the service may hold a watch call until there is a change. An unresponsive watch is
	// noticed by nothing else: the system of a machine whose service hangs still answers TCP keep-alive.
	WatchWait = 2 * time.Second
	// WatchGrace is how much later than WatchWait the answer may come.
	WatchGrace = 1200 * time.Millisecond
	// ListTimeout bounds a call for the complete list. The service rejects or abandons it before that.
	ListTimeout = 2500 * time.Millisecond
)

// The bounds of calls to an agent that pushes, which answers at once or not at all.
const (
	// PushWait is WatchWait at an agent.
	PushWait = time.Second
	// PushGrace is WatchGrace at an agent, and bounds a call for the complete list too.
	PushGrace = 500 * time.Millisecond
)

// WatchPause is the least time from one watch call to the next: an agent that answers at once must not keep the
// processor busy. The service takes a call up to 200 ms after its last answer for the same watch.
const WatchPause = 100 * time.Millisecond

// callLimits are the bounds of the calls of one watch.
type callLimits struct {
	wait        time.Duration // for a change, by the service
	grace       time.Duration // after wait, until the answer is here
	listTimeout time.Duration // of a call for the complete list
}

var (
	pollLimits = callLimits{wait: WatchWait, grace: WatchGrace, listTimeout: ListTimeout}
	pushLimits = callLimits{wait: PushWait, grace: PushGrace, listTimeout: PushGrace}
)
