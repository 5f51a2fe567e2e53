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

// View returns the upstreams in order of arrival, and how many requests are held for a turn.
func (b *Balancer) View(now time.Duration) (views []UpstreamView, held int) {
	b.catchUp(now)
	var total float64
	for _, u := range b.near {
		if u.member && u.State == Active {
			total += b.share(u, now)
		}
	}
	for _, u := range b.ups {
		v := UpstreamView{
			ID: u.ID, State: u.State, InSubset: u.member, ShareFactor: u.factor, Mean: u.mean, Upper: u.mean + bandAlpha*u.dev,
			Lower: u.mean - bandAlpha*u.dev, Area: u.area, Readings: u.readings,
			Estimated: b.estimated(u), WarmingUp: u.cold, Unresponsive: u.silent, InFlight: len(u.outs),
			ConcurrencyLimit: u.bound, Latency: time.Duration(u.lat),
		}
		if u.member && u.State == Active {
			v.Share = b.share(u, now) / total
		}
		views = append(views, v)
	}
	return views, len(b.held)
}

// QueueLength is how many requests wait for a turn.
func (b *Balancer) QueueLength() int { return len(b.held) }
