package discovery

import "time"

// NotifiedWithin is the time after which a balancer counts as notified of a change, whether or not the change arrived.
// It runs from when the service has the change and can be reached (PROTOCOL, Figures).
//
// In the worst case a watch becomes unresponsive as soon as it is open, right before the change. This is noticed after
// WatchWait and WatchGrace. Then the decision module's first backoff passes, and the next call waits in the service's
// queue. docs/design/membership.md has the sum; TestChangeIsNotifiedInTime checks it.
const NotifiedWithin = 6 * time.Second

// The time limits of calls to a discovery service that is polled.
const (
	// WatchWait is how long the service may hold a watch call until there is a change. Only this limit detects an
	// unresponsive watch: the kernel of a machine whose service hangs still answers TCP keep-alive probes.
	WatchWait = 2 * time.Second
	// WatchGrace is how long after WatchWait the answer may arrive.
	WatchGrace = 1200 * time.Millisecond
	// ListTimeout bounds a call for the complete list. The service rejects or abandons the call before that.
	ListTimeout = 2500 * time.Millisecond
)

// The time limits of calls to an agent that pushes lists. An agent answers immediately or not at all.
const (
	// PushWait is the WatchWait of calls to an agent.
	PushWait = time.Second
	// PushGrace is the WatchGrace of calls to an agent. It also bounds a call for the complete list.
	PushGrace = 500 * time.Millisecond
)

// WatchPause is the minimum time from the start of one watch call to the next, so that an agent that answers
// immediately does not keep a processor busy. It must stay below 200 ms: the service takes the next call of a watch
// only up to that long after its last answer.
const WatchPause = 100 * time.Millisecond

// callLimits are the time limits of the calls of one watch.
type callLimits struct {
	wait        time.Duration // how long the service may wait for a change
	grace       time.Duration // how long after wait the answer may arrive
	listTimeout time.Duration // for a call for the complete list
}

var (
	pollLimits = callLimits{wait: WatchWait, grace: WatchGrace, listTimeout: ListTimeout}
	pushLimits = callLimits{wait: PushWait, grace: PushGrace, listTimeout: PushGrace}
)
