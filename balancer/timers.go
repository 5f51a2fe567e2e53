// Timers.

package balancer

import "time"

// TimerFired takes a timer that the Balancer has set.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	if token != tickToken { // watchToken; a stray one must not start a second row of ticks
		b.host.WatchEndpoints(true)
		return
	}
	if b.resting { // no tick is owed
		return
	}
	b.nextTick(now)
	if now-b.stepAt >= bandPeriod {
		b.step(now)
	}
	ask := b.s.Reports == ReportHealthChecks && b.s.Limits.HealthChecks
	for _, u := range b.near {
		b.quiet(u, now)
		if ask && u.member && now-u.probedAt >= bandPeriod {
			u.probedAt = now
			b.host.HealthCheck(u.ID)
		}
	}
	b.dispatch(now)
}
