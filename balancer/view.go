package balancer

import "time"

// UpstreamView is what a Balancer holds of an upstream at a moment: the figures behind its decisions.
type UpstreamView struct {
	ID                      UpstreamID
	State                   State
	InSubset                bool    // in the subset that this Balancer uses
	Share                   float64 // of the traffic, 0 to 1, over all members
	ShareFactor             float64 // what is left of its share after cuts, 0 to 1
	Mean                    float64 // moving average of utilisation
	Upper, Lower            float64 // the band round it
	Area                    float64 // band gap integrated since the last step
	Readings                int
	Estimated               bool // the readings are estimates by latency: it reports nothing
	WarmingUp, Unresponsive bool
	InFlight                int     // attempts out
	ConcurrencyLimit        float64 // that may be out at once
	Latency                 time.Duration
}

// View returns the upstreams in order of arrival, and how many requests wait for a turn.
func (b *Balancer) View(now time.Duration) (views []UpstreamView, queued int) {
	b.catchUp(now)
	var total float64
	for _, u := range b.subset.upstreams {
		if u.inSubset && u.State == Active {
			total += b.trafficShare(u, now)
		}
	}
	for _, u := range b.upstreams {
		view := b.viewOf(u)
		if u.inSubset && u.State == Active {
			view.Share = b.trafficShare(u, now) / total
		}
		views = append(views, view)
	}
	return views, len(b.queue.waiting)
}

// viewOf is u's view but for its share.
func (b *Balancer) viewOf(u *upstream) UpstreamView {
	return UpstreamView{
		ID:               u.ID,
		State:            u.State,
		InSubset:         u.inSubset,
		ShareFactor:      u.share.factor,
		Mean:             u.band.mean,
		Upper:            u.band.upper(),
		Lower:            u.band.lower(),
		Area:             u.band.area,
		Readings:         u.band.readings,
		Estimated:        b.isEstimated(u),
		WarmingUp:        u.slowStart.warming,
		Unresponsive:     u.outlier.unresponsive,
		InFlight:         len(u.inFlight),
		ConcurrencyLimit: u.limit.allowed,
		Latency:          time.Duration(u.latency.mean),
	}
}
