package pool

import (
	"net/http"
	"time"

	"olivearch/balancer"
	"olivearch/internal/loglimit"
	"olivearch/internal/upstream"
)

// tracing holds the limits of each kind of line. The loop owns it.
type tracing struct {
	attempts, connections, responses, wakeups loglimit.Limit
}

// traceAttempt logs an attempt that was not served, or whose connection carried unsolicited bytes.
func (l *loop) traceAttempt(a *attempt, result *upstream.Result) {
	if result.Status == balancer.OK && !result.Unsolicited {
		return
	}
	l.trace(&l.tracing.attempts, "attempt ended",
		"request", a.request.ClientRequestID, "attempt", a.number, "endpoint", a.endpoint.name,
		"status", result.Status, "err", result.Err, "after", l.now()-a.sentAt, "reported", a.state.reported(),
		"connection", a.connection.number, "use", a.connection.uses, "idle", a.connection.lastIdle,
		"previous", a.connection.previousRequest, "unsolicited", result.Unsolicited, "kept", result.Conn != nil)
}

// traceClose logs that the pool closes connections to an endpoint.
func (l *loop) traceClose(endpoint *endpoint, count int, reason string) {
	if count > 0 {
		l.trace(&l.tracing.connections, "connections closed",
			"endpoint", endpoint.name, "count", count, "reason", reason)
	}
}

// traceResponse logs a final response that rejects or fails a request.
func (l *loop) traceResponse(request *Request, response *Response, now time.Duration) {
	age := now - request.ReceivedAt
	switch response.Status {
	case http.StatusServiceUnavailable:
		l.trace(&l.tracing.responses, "request rejected", "request", request.ClientRequestID,
			"class", request.Class, "attempts", len(request.attempts), "age", age)
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		l.trace(&l.tracing.responses, "request failed", "request", request.ClientRequestID,
			"class", request.Class, "attempts", len(request.attempts), "age", age, "code", response.Status)
	}
}

// traceRetry logs that a request is sent again.
func (l *loop) traceRetry(a *attempt) {
	if a.number == 0 {
		return
	}
	l.trace(&l.tracing.attempts, "request sent again",
		"request", a.request.ClientRequestID, "attempt", a.number, "endpoint", a.endpoint.name)
}
