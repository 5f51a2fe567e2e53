package balancer

import "time"

// UpstreamView is what a Balancer holds of an upstream at a moment: the figures behind its decisions.
type UpstreamView struct {
	ID                      UpstreamID
	State                   State
	InSubset                bool    // it is one of those that this Balancer uses
	Share                   float64 // of the traffic, 0 to 1, over all members
	ShareFactor             float64 // what is left of its share after cuts, 0 to 1
	Mean                    float64 // moving average of utilisation
	Upper, Lower            float64 // the band round it
	Area                    float64 // band gap integrated since the period began
	Readings                int
	Estimated               bool // the readings are estimates by latency: it reports nothing
	WarmingUp, Unresponsive bool
	InFlight                int     // attempts
	ConcurrencyLimit        float64 // attempts that may be in flight at once
	Latency                 time.Duration
}

// View returns the upstreams in order of arrival, and how many requests wait for a slot.
func (b *Balancer) View(now time.Duration) (views []UpstreamView, queued int) {
	b.catchUp(now)
	var total float64
	for _, upstream := range b.subset.upstreams {
		if upstream.inSubset && upstream.State == Active {
			total += b.trafficShare(upstream, now)
		}
	}
	for _, upstream := range b.upstreams {
		view := b.viewOf(upstream)
		if upstream.inSubset && upstream.State == Active {
			view.Share = b.trafficShare(upstream, now) / total
		}
		views = append(views, view)
	}
	return views, len(b.queue.waiting)
}

// viewOf is the view of an upstream but for its share.
func (b *Balancer) viewOf(upstream *upstreamState) UpstreamView {
	return UpstreamView{
		ID:               upstream.ID,
		State:            upstream.State,
		InSubset:         upstream.inSubset,
		ShareFactor:      upstream.share.factor,
		Mean:             upstream.band.mean,
		Upper:            upstream.band.upper(),
		Lower:            upstream.band.lower(),
		Area:             upstream.band.area,
		Readings:         upstream.band.readings,
		Estimated:        b.isEstimated(upstream),
		WarmingUp:        upstream.slowStart.warming,
		Unresponsive:     upstream.outlier.unresponsive,
		InFlight:         len(upstream.inFlight),
		ConcurrencyLimit: upstream.limit.allowed,
		Latency:          time.Duration(upstream.latency.mean),
	}
}
