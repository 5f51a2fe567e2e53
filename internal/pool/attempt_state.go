package pool

// attemptState is where an attempt stands for the loop. The zero value is that of one that has just been made.
type attemptState uint8

const (
	// attemptPending: the balancer has not had an outcome.
	attemptPending attemptState = iota
	// attemptStreaming: the outcome was reported with the response's first bytes; the connection carries the rest, or a
	// tunnel.
	attemptStreaming
	// attemptAbandoned: an outcome was reported without waiting for the connection, which is still in use.
	attemptAbandoned
	// attemptEnded: an outcome was reported, and the connection was returned or there never was one.
	attemptEnded
)

// attemptChange is what changes an attemptState.
type attemptChange uint8

const (
	// responseHeadReceived: the first bytes of a response have come that goes on as it comes.
	responseHeadReceived attemptChange = iota
	// waitStopped: the loop waits no longer for an attempt that holds a connection.
	waitStopped
	// connectionDenied: there was no connection for the attempt.
	connectionDenied
	// connectionReturned: the attempt has ended on its connection.
	connectionReturned
)

// reported reports whether the balancer has had the attempt's outcome.
func (s attemptState) reported() bool { return s != attemptPending }

// after is the state after a change. A change that the state does not know has no effect: the loop may stop waiting for
// an attempt of which the outcome is on its way.
func (s attemptState) after(change attemptChange) attemptState {
	if change == connectionReturned {
		return attemptEnded
	}
	if s != attemptPending {
		return s
	}
	switch change {
	case responseHeadReceived:
		return attemptStreaming
	case waitStopped:
		return attemptAbandoned
	default:
		return attemptEnded
	}
}
