package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

// HealthCheck sends a health check to an endpoint. The check asks for the endpoint's load, or, if the settings use no
// load reports, only whether the endpoint is running. It is part of balancer.Host.
func (l *loop) HealthCheck(id balancer.UpstreamID) {
	endpoint := l.endpoints[id]
	if endpoint == nil || endpoint.state != balancer.Active {
		return
	}
	sentAt := l.now()
	acquired, replace := l.acquireConnection(endpoint, sentAt)
	if acquired == nil {
		return
	}
	probe := upstream.Probe{
		Address:      endpoint.address,
		Load:         l.settings.Reports != balancer.ReportNone,
		Conn:         acquired.transportConn,
		ReplaceConn:  replace,
		SkipRepeated: acquired.skipRepeated,
	}
	transport := l.connections.transport
	go func() {
		result := transport.Probe(probe)
		l.enqueue(healthCheckFinished{endpoint: endpoint, connection: acquired, sentAt: sentAt, result: result})
	}()
}

// healthCheckFinished is the event that the transport has finished a health check.
type healthCheckFinished struct {
	endpoint   *endpoint
	connection *connection
	sentAt     time.Duration
	result     upstream.Result
}

func (e healthCheckFinished) apply(l *loop) {
	l.returnConnection(e.endpoint, e.connection, &e.result)
	e.endpoint.countFaults(&e.result)
	now := l.now()
	l.balancer.HealthCheckFinished(now, balancer.HealthCheckResult{
		Upstream: e.endpoint.id,
		Latency:  now - e.sentAt,
		Status:   e.result.Status,
		Load:     e.result.Load,
	})
}
