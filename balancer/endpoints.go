// Changes of the endpoint list.

package balancer

import (
	"math"
	"time"
)

// maxWatchBackoff bounds the wait after a failed discovery call, since balancers must know of a change within 6 s.
const maxWatchBackoff = 1500 * time.Millisecond

// EndpointsUpdated applies an endpoint list from discovery, or the failure to get one.
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

// retryDiscovery schedules the next discovery call with exponential backoff. Jitter keeps the balancers from calling at
// the same time.
func (b *Balancer) retryDiscovery(now time.Duration) {
	interval := b.settings.Rules.PollInterval
	b.watchBackoff = min(max(b.watchBackoff*backoffGrowth, interval/32), interval/2, maxWatchBackoff)
	wait := b.watchBackoff/2 + time.Duration(b.rng.Int64N(int64(b.watchBackoff)+1))
	b.host.SetTimer(wait, watchToken)
	b.log(now, "discovery", "discovery call failed: asking again in %v", wait)
}

// removeUnlisted marks upstreams as removed that are missing from a complete list.
func (b *Balancer) removeUnlisted(list []Upstream) {
	listed := make(map[UpstreamID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
	}
	for _, upstream := range b.upstreams {
		if !listed[upstream.ID] {
			upstream.State = Removed
		}
	}
}

// MaxInFlightChanged changes how many attempts may be in flight at an upstream; 0: unlimited.
func (b *Balancer) MaxInFlightChanged(now time.Duration, id UpstreamID, most int) {
	b.catchUp(now)
	if upstream := b.byID[id]; upstream != nil && upstream.MaxInFlight != most {
		upstream.MaxInFlight = most
		b.dispatchQueued(now)
	}
}

// applyEndpoint applies one entry of the list.
func (b *Balancer) applyEndpoint(endpoint Upstream, now time.Duration) {
	upstream := b.byID[endpoint.ID]
	if upstream == nil {
		if endpoint.State == Removed {
			return
		}
		upstream = b.addUpstream(endpoint.ID, endpoint.Weight, now)
	}
	if endpoint.StartedAt > upstream.StartedAt { // new, or restarted under the same id
		upstream.outlier.unresponsive = false
		upstream.limit.nextSendAt = now
		if now-endpoint.StartedAt < b.settings.Rules.SlowStartDuration {
			b.beginWarmUp(upstream, endpoint.StartedAt)
		}
	}
	upstream.Upstream = endpoint
	weight := endpoint.Weight
	// A live weight is delayed and the same for all balancers, so that only its slow mean is safe to follow.
	if b.settings.Weights == WeightLive {
		weight = upstream.share.weight + sampleWeight*(weight-upstream.share.weight)
	}
	upstream.share.weight = max(weight, math.SmallestNonzeroFloat32)
}

// addUpstream adds an upstream without history.
func (b *Balancer) addUpstream(id UpstreamID, weight float64, now time.Duration) *upstreamState {
	upstream := b.allocate()
	*upstream = upstreamState{
		ringPosition: hash64(uint64(id)),
		share:        share{weight: weight, factor: 1},
		limit:        concurrencyLimit{periodMax: initialLimitTotal, cutAt: now, nextSendAt: now},
		outlier:      outlierDetector{backoff: b.tickInterval, lastResponseAt: now},
		slowStart:    slowStart{sentWorkAt: now},
	}
	b.byID[id] = upstream
	b.upstreams = append(b.upstreams, upstream)
	return upstream
}

// preallocate allocates the upstreams of the first list in one block.
func (b *Balancer) preallocate(count int) {
	b.byID = make(map[UpstreamID]*upstreamState, count)
	b.upstreams = make([]*upstreamState, 0, count)
	b.preallocated = make([]upstreamState, count)
}

// allocate returns an unused upstreamState.
func (b *Balancer) allocate() *upstreamState {
	if len(b.preallocated) == 0 {
		return new(upstreamState)
	}
	upstream := &b.preallocated[0]
	b.preallocated = b.preallocated[1:]
	return upstream
}
