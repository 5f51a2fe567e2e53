package pool

// attemptState is the state of an attempt as the loop sees it. The zero value is the state of a new attempt.
type attemptState uint8

const (
	// attemptPending: no outcome has been reported to the balancer.
	attemptPending attemptState = iota
	// attemptStreaming: the outcome was reported when the response began; the connection carries the rest of the
	// response, or a tunnel.
	attemptStreaming
	// attemptAbandoned: the outcome was reported while the connection was still in use.
	attemptAbandoned
	// attemptEnded: the outcome was reported, and the attempt holds no connection.
	attemptEnded
)

// attemptChange is an input of the state machine of attempts.
type attemptChange uint8

const (
	// responseHeadReceived: the first bytes of a streamed response have arrived.
	responseHeadReceived attemptChange = iota
	// waitStopped: the loop has stopped waiting for an attempt that holds a connection.
	waitStopped
	// connectionDenied: the attempt got no connection.
	connectionDenied
	// connectionReturned: the transport has finished the attempt.
	connectionReturned
)

// reported reports whether the outcome has been reported to the balancer.
func (s attemptState) reported() bool { return s != attemptPending }

// after returns the state that follows a change. Changes that don't apply to a state leave it as it is: the loop may
// stop waiting for an attempt whose outcome has just been reported.
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
