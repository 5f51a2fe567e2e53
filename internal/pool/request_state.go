package pool

// requestState is where a request stands. The zero value is that of a request that has just arrived.
type requestState uint8

const (
	// requestOpen: the client waits for the final response.
	requestOpen requestState = iota
	// requestClosed: nothing more is owed to the client. Outcomes of attempts may still have to be reported to the
	// balancer.
	requestClosed
	// requestReleased: the balancer has had all outcomes, and the loop has forgotten the request.
	requestReleased
)

// requestChange is what changes a requestState.
type requestChange uint8

const (
	// finalResponseSent: the client has its final response.
	finalResponseSent requestChange = iota
	// clientDeparted: the client has left, and gets no response.
	clientDeparted
	// outcomesReported: the balancer has had the outcomes of all attempts.
	outcomesReported
)

// after is the state after a change. A change that the state does not know has no effect: a client may leave as its
// response is sent.
func (s requestState) after(change requestChange) requestState {
	switch {
	case s == requestOpen && change == finalResponseSent:
		return requestClosed
	case s == requestOpen && change == clientDeparted:
		return requestClosed
	case s == requestClosed && change == outcomesReported:
		return requestReleased
	}
	return s
}
