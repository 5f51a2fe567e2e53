package balancer

import "time"

// Snapshot is what a Balancer has learnt, for one that takes its place while both run, or soon after. Times
// are on the owners'
// clock, which both must share. It can be written as JSON. What a later version does not know it passes over.
type Snapshot struct {
	Figures   map[string]float64 `json:"figures"` // of the fleet
	Classes   map[string]float64 `json:"classes"` // usual latency, ns
	Upstreams []UpstreamSnapshot `json:"upstreams"`
}

// UpstreamSnapshot is what a Balancer has learnt of one upstream.
type UpstreamSnapshot struct {
	ID           UpstreamID         `json:"id"`
	StartedAt    time.Duration      `json:"started_at"` // its process: of another nothing is known
	Unresponsive bool               `json:"silent,omitempty"`
	TrialAt      time.Duration      `json:"trial_at,omitempty"`
	Wait         time.Duration      `json:"wait"`
	Readings     int                `json:"readings"`
	Answers      int                `json:"answers"`
	Unreported   int                `json:"mute"`
	Window       []float64          `json:"window"`
	Figures      map[string]float64 `json:"figures"`
}

// figures are the learnt figures of the fleet, by name.
func (b *Balancer) figures() map[string]*float64 {
	return map[string]*float64{
		"lat": &b.lat, "cost": &b.cost, "ceiling": &b.ceiling, "carry": &b.carry,
		"failing": &b.failing, "least": &b.least, "calm": &b.calm,
	}
}

// figures are those of an upstream.
func (u *upstream) figures() map[string]*float64 {
	return map[string]*float64{
		"factor": &u.factor, "failing": &u.failing, "mean": &u.mean, "dev": &u.dev, "area": &u.area,
		"lat": &u.lat, "lat_dev": &u.latDev, "units": &u.units, "least": &u.least, "slow": &u.slow, "calm": &u.calm,
		"bound": &u.bound, "most": &u.most, "work": &u.work, "carried": &u.carried, "spent": &u.spent,
	}
}

func copied(from map[string]*float64) map[string]float64 {
	to := make(map[string]float64, len(from))
	for name, x := range from {
		if amount(*x) {
			to[name] = *x
		}
	}
	return to
}

// Figures from outside are of use within these: over the one (0 is not learnt), and under the other, which is some days
// in nanoseconds. Nothing else is taken, so that no mean is poisoned.
const least, most = 1e-9, 1e15

func adoptFigures(to map[string]*float64, from map[string]float64) {
	for name, x := range to {
		if y, ok := from[name]; ok && y > least && y < most {
			*x = y
		}
	}
}

// Snapshot returns what b has learnt.
func (b *Balancer) Snapshot() Snapshot {
	m := Snapshot{Figures: copied(b.figures()), Classes: map[string]float64{}}
	for name, c := range b.classes {
		m.Classes[name] = c.lat
	}
	for _, u := range b.near {
		m.Upstreams = append(m.Upstreams, UpstreamSnapshot{
			ID: u.ID, StartedAt: u.StartedAt, Unresponsive: u.silent, TrialAt: u.trialAt, Wait: u.wait,
			Readings: u.readings, Answers: u.answers, Unreported: u.mute,
			Window: u.window[:min(u.readings, bandWindow)], Figures: copied(u.figures()),
		})
	}
	return m
}

// Restore takes what another Balancer has learnt in the place of what this one has, upstream by upstream. Of
// a process that
// has been started since nothing counts, so a cold start stays one.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.catchUp(now)
	adoptFigures(b.figures(), m.Figures)
	for name, lat := range m.Classes {
		if c := b.classes[name]; c != nil && lat > least && lat < most {
			c.lat = lat
		}
	}
	for _, l := range m.Upstreams {
		u := b.byID[l.ID]
		if u == nil || u.StartedAt != l.StartedAt || len(l.Window) > bandWindow || l.Readings < len(l.Window) ||
			l.Answers < 0 || l.Unreported < 0 || l.Wait < 0 {
			continue
		}
		adoptFigures(u.figures(), l.Figures)
		u.readings, u.answers, u.mute, u.spentAt, u.answeredAt = l.Readings, l.Answers, l.Unreported, now, now
		for i, x := range l.Window {
			if amount(x) && x < most {
				u.window[i] = x
			}
		}
		// The bound is of this balancer's part: never over what was learnt, nor under what any may have.
		u.bound = max(u.bound, b.start*boundLeast/boundStart)
		if u.factor = min(1, max(shareFloor, u.factor)); l.Unresponsive {
			u.silent, u.trialAt, u.wait = true, min(l.TrialAt, now+b.s.Rules.SlowStartDuration), max(b.tick, l.Wait)
		}
	}
	b.gather(now)
	b.dispatch(now)
}
