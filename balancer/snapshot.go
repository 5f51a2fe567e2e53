package balancer

import "time"

// Snapshot is what a Balancer has learnt, for one that takes its place while both run, or soon after. Times
// are on the owners' clock, which both must share. It can be written as JSON. What a later version does not know it
// passes over.
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

// Figures from outside are of use within these bounds: 0 is not learnt, and the upper one is some days in nanoseconds.
// Nothing else is taken, so that no mean is poisoned.
const minFigure, maxFigure = 1e-9, 1e15

// figures are the learnt figures of the fleet, by name.
func (b *Balancer) figures() map[string]*float64 {
	return map[string]*float64{
		"lat":     &b.latency,
		"cost":    &b.meanCost,
		"ceiling": &b.fleet.utilisation,
		"carry":   &b.fleet.workPerWeight,
		"failing": &b.fleet.errorRate,
		"least":   &b.fleet.bestLatency,
		"calm":    &b.fleet.unloadedLatency,
	}
}

// figures are those of an upstream.
func (u *upstreamState) figures() map[string]*float64 {
	return map[string]*float64{
		"factor":  &u.share.factor,
		"failing": &u.outlier.errorRate,
		"mean":    &u.band.mean,
		"dev":     &u.band.deviation,
		"area":    &u.band.area,
		"lat":     &u.latency.mean,
		"lat_dev": &u.latency.deviation,
		"units":   &u.latency.work,
		"least":   &u.latency.best,
		"slow":    &u.latency.smoothed,
		"calm":    &u.latency.unloaded,
		"bound":   &u.limit.allowed,
		"most":    &u.limit.periodMax,
		"work":    &u.workload.mean,
		"carried": &u.workload.sent,
		"spent":   &u.slowStart.sentWork,
	}
}

// copyFigures returns the figures that JSON can hold.
func copyFigures(from map[string]*float64) map[string]float64 {
	to := make(map[string]float64, len(from))
	for name, figure := range from {
		if amount(*figure) {
			to[name] = *figure
		}
	}
	return to
}

// adoptFigures takes the figures that are within bounds.
func adoptFigures(to map[string]*float64, from map[string]float64) {
	for name, figure := range to {
		if learnt, ok := from[name]; ok && learnt > minFigure && learnt < maxFigure {
			*figure = learnt
		}
	}
}

// Snapshot returns what b has learnt.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{Figures: copyFigures(b.figures()), Classes: map[string]float64{}}
	for name, c := range b.classes {
		snapshot.Classes[name] = c.latency
	}
	for _, upstream := range b.subset.upstreams {
		snapshot.Upstreams = append(snapshot.Upstreams, upstream.snapshot())
	}
	return snapshot
}

// snapshot returns what has been learnt of an upstream.
func (u *upstreamState) snapshot() UpstreamSnapshot {
	return UpstreamSnapshot{
		ID:           u.ID,
		StartedAt:    u.StartedAt,
		Unresponsive: u.outlier.unresponsive,
		TrialAt:      u.outlier.trialAt,
		Wait:         u.outlier.backoff,
		Readings:     u.band.readings,
		Answers:      u.outlier.answers,
		Unreported:   u.unreportedAnswers,
		Window:       u.band.filled(),
		Figures:      copyFigures(u.figures()),
	}
}

// Restore takes what another Balancer has learnt in the place of what this one has, upstream by upstream. Of a process
// that has been started since nothing counts, so it still has to warm up.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.catchUp(now)
	adoptFigures(b.figures(), m.Figures)
	for name, latency := range m.Classes {
		if c := b.classes[name]; c != nil && latency > minFigure && latency < maxFigure {
			c.latency = latency
		}
	}
	for i := range m.Upstreams {
		learnt := &m.Upstreams[i]
		upstream := b.byID[learnt.ID]
		if upstream != nil && upstream.StartedAt == learnt.StartedAt && learnt.isValid() {
			b.restoreUpstream(upstream, learnt, now)
		}
	}
	b.chooseSubset(now)
	b.dispatchQueued(now)
}

// isValid reports whether counts and waits are such as a Balancer can have.
func (s *UpstreamSnapshot) isValid() bool {
	window := len(s.Window) <= bandWindow && s.Readings >= len(s.Window)
	counts := s.Answers >= 0 && s.Unreported >= 0 && s.Wait >= 0
	return window && counts
}

// restoreUpstream takes what has been learnt of an upstream.
func (b *Balancer) restoreUpstream(upstream *upstreamState, learnt *UpstreamSnapshot, now time.Duration) {
	adoptFigures(upstream.figures(), learnt.Figures)
	upstream.band.restore(learnt.Readings, learnt.Window)
	upstream.unreportedAnswers = learnt.Unreported
	upstream.slowStart.sentWorkAt = now
	upstream.outlier.answers = learnt.Answers
	upstream.outlier.answeredAt = now
	// The limit is of this balancer's part: never over what was learnt, nor under what any may have.
	upstream.limit.allowed = max(upstream.limit.allowed, b.limits.minimum())
	upstream.share.factor = min(1, max(minShareFactor, upstream.share.factor))
	if learnt.Unresponsive {
		upstream.outlier.unresponsive = true
		upstream.outlier.trialAt = min(learnt.TrialAt, now+b.settings.Rules.SlowStartDuration)
		upstream.outlier.backoff = max(b.tickInterval, learnt.Wait)
	}
}
