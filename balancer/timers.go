// Ticks, and the timer after failed discovery calls.

package balancer

import "time"

// The tokens of the timers that a Balancer sets.
const (
	tickToken  = 1
	watchToken = 2
)

// TimerFired takes a timer that the Balancer has set.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	if token != tickToken { // watchToken; an unknown one must not start a second row of ticks
		b.host.WatchEndpoints(true)
		return
	}
	if b.idle.suspended { // no tick is owed
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
