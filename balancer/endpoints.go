// The endpoint list.

package balancer

import (
	"math"
	"time"
)

// maxWatchBackoff bounds the wait after failed discovery calls: changes count as told after 6 s.
const maxWatchBackoff = 1500 * time.Millisecond

// EndpointsUpdated takes what discovery says of the upstreams.
func (b *Balancer) EndpointsUpdated(now time.Duration, mode ListMode, list []Upstream) {
	b.catchUp(now)
	if mode == ListFailed {
		b.retryDiscovery(now)
		return
	}
	b.watchBackoff = 0
	if len(b.upstreams) == 0 {
		b.preallocate(len(list))
	} else if mode != ListDelta {
		b.removeUnlisted(list)
	}
	for _, endpoint := range list {
		b.applyEndpoint(endpoint.clean(), now)
	}
	b.chooseSubset(now)
	b.dispatchQueued(now)
}

// retryDiscovery asks discovery again, later each time and never all instances at once.
func (b *Balancer) retryDiscovery(now time.Duration) {
	interval := b.settings.Rules.PollInterval
	b.watchBackoff = min(max(b.watchBackoff*backoffGrowth, interval/32), interval/2, maxWatchBackoff)
	wait := b.watchBackoff/2 + time.Duration(b.rng.Int64N(int64(b.watchBackoff)+1))
	b.host.SetTimer(wait, watchToken)
	b.log(now, "discovery", "discovery call failed: asking again in %v", wait)
}

// removeUnlisted takes upstreams out of service that a whole list lacks.
func (b *Balancer) removeUnlisted(list []Upstream) {
	listed := make(map[UpstreamID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for _, u := range b.upstreams {
		if !listed[u.ID] {
			u.State = Removed
		}
	}
}

// MaxInFlightChanged sets anew how many attempts may be in flight at an upstream at once; 0: any number.
func (b *Balancer) MaxInFlightChanged(now time.Duration, id UpstreamID, most int) {
	b.catchUp(now)
	if u := b.byID[id]; u != nil && u.MaxInFlight != most {
		u.MaxInFlight = most
		b.dispatchQueued(now)
	}
}

// applyEndpoint applies one list entry.
func (b *Balancer) applyEndpoint(endpoint Upstream, now time.Duration) {
	u := b.byID[endpoint.ID]
	if u == nil {
		if endpoint.State == Removed {
			return
		}
		u = b.addUpstream(endpoint.ID, endpoint.Weight, now)
	}
	if endpoint.StartedAt > u.StartedAt { // new, or restarted under the same id
		u.outlier.unresponsive = false
		u.limit.nextSendAt = now
		if now-endpoint.StartedAt < b.settings.Rules.SlowStartDuration {
			b.beginWarmUp(u, endpoint.StartedAt)
		}
	}
	u.Upstream = endpoint
	weight := endpoint.Weight
	if b.settings.Weights == WeightLive { // late and the same for all: only its slow mean is safe to follow
		weight = u.share.weight + sampleWeight*(weight-u.share.weight)
	}
	u.share.weight = max(weight, math.SmallestNonzeroFloat32)
}

// addUpstream adds an upstream of which nothing is known.
func (b *Balancer) addUpstream(id UpstreamID, weight float64, now time.Duration) *upstream {
	u := b.allocate()
	*u = upstream{
		ringPosition: hash64(uint64(id)),
		share:        share{weight: weight, factor: 1},
		limit:        concurrencyLimit{periodMax: initialLimitTotal, cutAt: now, nextSendAt: now},
		outlier:      outlierDetector{backoff: b.tickInterval, answeredAt: now},
		slowStart:    slowStart{sentWorkAt: now},
	}
	b.byID[id] = u
	b.upstreams = append(b.upstreams, u)
	return u
}

// preallocate makes room for the upstreams of a first list, all at once.
func (b *Balancer) preallocate(count int) {
	b.byID = make(map[UpstreamID]*upstream, count)
	b.upstreams = make([]*upstream, 0, count)
	b.preallocated = make([]upstream, count)
}

// allocate returns room for one upstream.
func (b *Balancer) allocate() *upstream {
	if len(b.preallocated) == 0 {
		return new(upstream)
	}
	u := &b.preallocated[0]
	b.preallocated = b.preallocated[1:]
	return u
}
