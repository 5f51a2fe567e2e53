package balancer

import "time"

// UpstreamView shows the state of an upstream on which a Balancer's decisions depend.
type UpstreamView struct {
	ID                      UpstreamID
	State                   State
	InSubset                bool    // this Balancer uses it
	Share                   float64 // of this Balancer's traffic, 0 to 1
	ShareFactor             float64 // product of its share cuts, 0 to 1
	Mean                    float64 // mean utilisation in the band's window
	Upper, Lower            float64 // bounds of the band around Mean
	Area                    float64 // band area of this period
	Readings                int
	Estimated               bool // readings are estimated from latency, since it sends no load reports
	WarmingUp, Unresponsive bool
	InFlight                int     // attempts in flight
	ConcurrencyLimit        float64 // attempts that may be in flight
	Latency                 time.Duration
}

// View returns the upstreams in the order in which they were first listed, and how many requests wait for a slot.
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

// viewOf returns the view of an upstream without its Share.
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
