// The tick timer, and the timer for discovery calls after a failed one.

package balancer

import "time"

// The tokens of a Balancer's timers.
const (
	tickToken  = 1
	watchToken = 2
)

// TimerFired handles a timer that the Balancer has set.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	if token != tickToken { // watchToken; an unknown token must not start a second series of ticks
		b.host.WatchEndpoints(true)
		return
	}
	if b.idle.suspended { // ignore a tick timer from before the suspension
		return
	}
	b.scheduleTick(now)
	if now-b.periodStartedAt >= bandPeriod {
		b.endPeriod(now)
	}
	checksHealth := b.settings.Reports == ReportHealthChecks && b.settings.Limits.HealthChecks
	for _, upstream := range b.subset.upstreams {
		b.checkResponsive(upstream, now)
		if checksHealth && upstream.inSubset && now-upstream.healthCheckedAt >= bandPeriod {
			upstream.healthCheckedAt = now
			b.host.HealthCheck(upstream.ID)
		}
	}
	b.dispatchQueued(now)
}
