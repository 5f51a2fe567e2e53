package pool

import (
	"net/http"
	"time"

	"olivearch/balancer"
)

// The loop is the balancer's Host. Further methods of balancer.Host are in attempt.go (Send), connection_pool.go
// (CloseIdle), health_check.go (HealthCheck), list_source.go (WatchEndpoints, FetchEndpoints) and log.go (Log).
var _ balancer.Host = (*loop)(nil)

// Reject responds to a client that its request has not been run and may be sent again.
func (l *loop) Reject(id balancer.RequestID, retryAfter time.Duration) {
	request := l.requests[id]
	if request == nil {
		return
	}
	limits := &l.settings.Limits
	if !limits.RetryAfter {
		retryAfter = 0
	}
	l.respond(request, Response{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: min(retryAfter, limits.MaxRetryAfter),
	})
}

// Fail responds to a client that its request has failed and may have been run.
func (l *loop) Fail(id balancer.RequestID) {
	request := l.requests[id]
	if request == nil {
		return
	}
	status := http.StatusBadGateway
	if l.now() >= request.deadline {
		status = http.StatusGatewayTimeout
	}
	l.respond(request, Response{Status: status})
}

// Cancel stops waiting for an attempt. The attempts of a request are numbered from 0.
func (l *loop) Cancel(id balancer.RequestID, number int) {
	request := l.requests[id]
	if request == nil {
		return
	}
	if number >= 0 && number < len(request.attempts) {
		l.deferOutcome(request.attempts[number], balancer.Cancelled)
	}
}

// SetTimer schedules a call of Balancer.TimerFired.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.timers.schedule(&timer{at: l.now() + max(after, 0), token: token})
}
