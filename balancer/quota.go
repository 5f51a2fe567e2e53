// Quotas: tenants' requests are counted against this balancer's part of them.

package balancer

import (
	"math"
	"time"
)

const (
	// sweepSize is how many levels are looked at for each request: more than the one that it may add.
	sweepSize = 2
	// maxQuotaHorizon bounds the time to the next look at what a tenant of no quota has had: that is never forgotten.
	maxQuotaHorizon = 24 * time.Hour
)

// quota counts tenants' requests against this balancer's part of their quotas, by a leaky bucket for each tenant that
// has sent lately. levels and sweepOrder hold the same ones; those that have run dry are forgotten as the sweep comes
// by.
type quota struct {
	levels     map[string]*tenantLevel
	sweepOrder []*tenantLevel
	sweepNext  int     // where the sweep goes on
	evenRate   float64 // this balancer's even part of all quotas, requests a second
}

// tenantLevel is a leaky bucket: it counts a tenant's requests and leaks at this balancer's part of the quota. One that
// has run dry counts as one that has not sent.
type tenantLevel struct {
	name      string
	rate      float64 // requests a second
	level     float64
	updatedAt time.Duration // of the level
}

// drain lowers the level to what it is by now.
func (l *tenantLevel) drain(now time.Duration) {
	l.level = max(0, l.level-l.leaked(now))
	l.updatedAt = now
}

// isDry reports whether the level has come to nothing by now.
func (l *tenantLevel) isDry(now time.Duration) bool { return l.level <= l.leaked(now) }

// leaked is what has leaked since the level was updated.
func (l *tenantLevel) leaked(now time.Duration) float64 {
	return l.rate * (now.Seconds() - l.updatedAt.Seconds())
}

// dryAt is when the level will have run dry.
func (l *tenantLevel) dryAt() time.Duration {
	seconds := min(l.level/max(l.rate, math.SmallestNonzeroFloat32), maxQuotaHorizon.Seconds())
	return l.updatedAt + time.Duration(seconds*float64(time.Second))
}

// count counts a request and reports whether its tenant is over its quota.
func (q *quota) count(tenants *Tenants, balancers int, name string, now time.Duration) (over bool) {
	level := q.levels[name]
	if level == nil {
		bought, known := tenants.Quota(name)
		if !known {
			return false
		}
		level = &tenantLevel{name: name, rate: bought / float64(balancers), updatedAt: now}
		q.levels[name] = level
		q.sweepOrder = append(q.sweepOrder, level)
	}
	level.drain(now)
	level.level++
	q.sweep(now)
	return level.level > max(level.rate, 1)
}

// sweep looks at the next few levels and forgets those that have run dry.
func (q *quota) sweep(now time.Duration) {
	for range min(sweepSize, len(q.sweepOrder)) {
		if q.sweepNext >= len(q.sweepOrder) {
			q.sweepNext = 0
		}
		if q.sweepOrder[q.sweepNext].isDry(now) {
			q.forget(q.sweepNext)
		} else {
			q.sweepNext++
		}
	}
}

// forget forgets a level.
func (q *quota) forget(at int) {
	last := len(q.sweepOrder) - 1
	delete(q.levels, q.sweepOrder[at].name)
	q.sweepOrder[at] = q.sweepOrder[last]
	q.sweepOrder[last] = nil
	q.sweepOrder = q.sweepOrder[:last]
}

// hasLevels reports whether some tenant's level has not run dry, so that it must not be forgotten.
func (q *quota) hasLevels(now time.Duration) bool {
	for before := -1; len(q.sweepOrder) > 0 && len(q.sweepOrder) != before; { // until a sweep forgets none
		before = len(q.sweepOrder)
		q.sweep(now)
	}
	return len(q.sweepOrder) > 0
}

// dryAt is when all levels will have run dry, and not before earliest.
func (q *quota) dryAt(earliest time.Duration) time.Duration {
	latest := earliest
	for _, level := range q.sweepOrder {
		latest = max(latest, level.dryAt())
	}
	return latest
}

// update moves to other quotas. A level that has been counted stays as it is by now, and goes on at the new rate.
func (q *quota) update(tenants *Tenants, balancers int, now time.Duration) {
	for i := len(q.sweepOrder) - 1; i >= 0; i-- {
		level := q.sweepOrder[i]
		bought, known := tenants.Quota(level.name)
		if !known {
			q.forget(i)
			continue
		}
		if rate := bought / float64(balancers); rate != level.rate {
			level.drain(now)
			level.rate = rate
		}
	}
	q.evenRate = tenants.evenPart(balancers)
}

// overQuota counts a request and reports whether its tenant is over its quota.
func (b *Balancer) overQuota(tenant string, now time.Duration) bool {
	return b.quota.count(b.settings.Tenants, b.settings.Balancers, tenant, now)
}
