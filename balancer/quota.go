// Quotas: each tenant's requests are counted against this balancer's equal part of its quota.

package balancer

import (
	"math"
	"time"
)

const (
	// sweepSize is how many levels are checked per request. It is over 1, since a request may add a level.
	sweepSize = 2
	// maxQuotaHorizon bounds tenantLevel.emptyAt: the level of a tenant with a quota of 0 never becomes empty.
	maxQuotaHorizon = 24 * time.Hour
)

// quota has a leaky bucket for each tenant with recent requests. levels and sweepOrder hold the same buckets; a sweep
// removes empty ones a few at a time.
type quota struct {
	levels     map[string]*tenantLevel // by name
	sweepOrder []*tenantLevel
	sweepNext  int     // index in sweepOrder
	fairRate   float64 // this balancer's equal part of the sum of all quotas, requests a second
}

// tenantLevel is the leaky bucket of a tenant: each request adds 1, and it leaks at this balancer's part of the quota.
// An empty one is the same as none.
type tenantLevel struct {
	name      string
	rate      float64 // requests a second
	level     float64
	updatedAt time.Duration // of the level
}

// drain lowers the level by what has leaked since it was updated.
func (l *tenantLevel) drain(now time.Duration) {
	l.level = max(0, l.level-l.leaked(now))
	l.updatedAt = now
}

// isEmpty reports whether the level has leaked to 0 by now.
func (l *tenantLevel) isEmpty(now time.Duration) bool { return l.level <= l.leaked(now) }

// leaked returns what has leaked since the level was updated.
func (l *tenantLevel) leaked(now time.Duration) float64 {
	return l.rate * (now.Seconds() - l.updatedAt.Seconds())
}

// emptyAt returns when the level will be empty, at most maxQuotaHorizon after its update.
func (l *tenantLevel) emptyAt() time.Duration {
	seconds := min(l.level/max(l.rate, math.SmallestNonzeroFloat32), maxQuotaHorizon.Seconds())
	return l.updatedAt + time.Duration(seconds*float64(time.Second))
}

// count counts a request and reports whether its tenant is over its quota.
func (q *quota) count(tenants *Tenants, balancers int, name string, now time.Duration) (over bool) {
	level := q.levels[name]
	if level == nil {
		tenantQuota, known := tenants.Quota(name)
		if !known {
			return false
		}
		level = &tenantLevel{name: name, rate: tenantQuota / float64(balancers), updatedAt: now}
		q.levels[name] = level
		q.sweepOrder = append(q.sweepOrder, level)
	}
	level.drain(now)
	level.level++
	q.sweep(now)
	return level.level > max(level.rate, 1)
}

// sweep removes the empty ones among the next sweepSize levels.
func (q *quota) sweep(now time.Duration) {
	for range min(sweepSize, len(q.sweepOrder)) {
		if q.sweepNext >= len(q.sweepOrder) {
			q.sweepNext = 0
		}
		if q.sweepOrder[q.sweepNext].isEmpty(now) {
			q.remove(q.sweepNext)
		} else {
			q.sweepNext++
		}
	}
}

// remove removes the level at an index of sweepOrder.
func (q *quota) remove(at int) {
	last := len(q.sweepOrder) - 1
	delete(q.levels, q.sweepOrder[at].name)
	q.sweepOrder[at] = q.sweepOrder[last]
	q.sweepOrder[last] = nil
	q.sweepOrder = q.sweepOrder[:last]
}

// hasNonEmptyLevels removes all empty levels and reports whether any are left.
func (q *quota) hasNonEmptyLevels(now time.Duration) bool {
	for before := -1; len(q.sweepOrder) > 0 && len(q.sweepOrder) != before; { // until a sweep removes none
		before = len(q.sweepOrder)
		q.sweep(now)
	}
	return len(q.sweepOrder) > 0
}

// emptyAt returns when all levels will be empty, but no time before earliest.
func (q *quota) emptyAt(earliest time.Duration) time.Duration {
	latest := earliest
	for _, level := range q.sweepOrder {
		latest = max(latest, level.emptyAt())
	}
	return latest
}

// update replaces the quotas. Levels of tenants that are still known are kept and leak at the new rate from now on.
func (q *quota) update(tenants *Tenants, balancers int, now time.Duration) {
	for i := len(q.sweepOrder) - 1; i >= 0; i-- {
		level := q.sweepOrder[i]
		tenantQuota, known := tenants.Quota(level.name)
		if !known {
			q.remove(i)
			continue
		}
		if rate := tenantQuota / float64(balancers); rate != level.rate {
			level.drain(now)
			level.rate = rate
		}
	}
	q.fairRate = tenants.ratePerBalancer(balancers)
}

// overQuota counts a request and reports whether its tenant is over its quota by the current settings.
func (b *Balancer) overQuota(tenant string, now time.Duration) bool {
	return b.quota.count(b.settings.Tenants, b.settings.Balancers, tenant, now)
}
