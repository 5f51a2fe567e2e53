package pool

// requestState is the state of a request. The zero value is the state of a request that has just arrived.
type requestState uint8

const (
	// requestOpen: the client is waiting for the final response.
	requestOpen requestState = iota
	// requestClosed: the client gets no further response. Outcomes of attempts may still have to be reported to the
	// balancer.
	requestClosed
	// requestReleased: all outcomes have been reported to the balancer, and the loop has deleted the request.
	requestReleased
)

// requestChange is an input of the state machine of requests.
type requestChange uint8

const (
	// finalResponseSent: the final response was sent to the client.
	finalResponseSent requestChange = iota
	// clientDeparted: the client has left and gets no response.
	clientDeparted
	// outcomesReported: the outcomes of all attempts have been reported to the balancer.
	outcomesReported
)

// after returns the state that follows a change. Changes that don't apply to a state leave it as it is: a client may
// leave just as its response is sent.
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
