package balancer

import "time"

// Snapshot holds the statistics of a Balancer for another one that replaces it, while both run or soon after. Times are
// on the owners' clock, which both must share. It can be encoded as JSON. Restore ignores statistics that it does not
// know.
type Snapshot struct {
	Figures   map[string]float64 `json:"figures"` // statistics of the fleet, by name
	Classes   map[string]float64 `json:"classes"` // mean latency by class, ns
	Upstreams []UpstreamSnapshot `json:"upstreams"`
}

// UpstreamSnapshot holds a Balancer's statistics of one upstream.
type UpstreamSnapshot struct {
	ID                UpstreamID         `json:"id"`
	StartedAt         time.Duration      `json:"started_at"` // start of the process to which the statistics apply
	Unresponsive      bool               `json:"silent,omitempty"`
	TrialAt           time.Duration      `json:"trial_at,omitempty"`
	Backoff           time.Duration      `json:"wait"`
	Readings          int                `json:"readings"`
	Answers           int                `json:"answers"`
	UnreportedAnswers int                `json:"mute"`
	Window            []float64          `json:"window"`
	Figures           map[string]float64 `json:"figures"`
}

// Restore takes only figures between these bounds, so that no invalid value gets into a running mean. A figure of 0 has
// no sample yet; maxFigure is about 12 days in ns.
const minFigure, maxFigure = 1e-9, 1e15

// figures returns the statistics of the fleet, by their names in a Snapshot.
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

// figures returns the statistics of an upstream, by their names in an UpstreamSnapshot.
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

// copyFigures returns the values that are finite and not negative. JSON can't encode NaN or infinity.
func copyFigures(from map[string]*float64) map[string]float64 {
	to := make(map[string]float64, len(from))
	for name, figure := range from {
		if isFiniteNonNegative(*figure) {
			to[name] = *figure
		}
	}
	return to
}

// restoreFigures sets the statistics for which from has a value between minFigure and maxFigure.
func restoreFigures(to map[string]*float64, from map[string]float64) {
	for name, figure := range to {
		if value, ok := from[name]; ok && value > minFigure && value < maxFigure {
			*figure = value
		}
	}
}

// Snapshot returns the statistics of b.
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

// snapshot returns the statistics of an upstream.
func (u *upstreamState) snapshot() UpstreamSnapshot {
	return UpstreamSnapshot{
		ID:                u.ID,
		StartedAt:         u.StartedAt,
		Unresponsive:      u.outlier.unresponsive,
		TrialAt:           u.outlier.trialAt,
		Backoff:           u.outlier.backoff,
		Readings:          u.band.readings,
		Answers:           u.outlier.answers,
		UnreportedAnswers: u.unreportedAnswers,
		Window:            u.band.filled(),
		Figures:           copyFigures(u.figures()),
	}
}

// Restore replaces b's statistics by those of a snapshot, for each class and upstream that both have. Statistics of an
// upstream whose process has restarted since are ignored, so it still warms up.
func (b *Balancer) Restore(now time.Duration, m Snapshot) {
	b.catchUp(now)
	restoreFigures(b.figures(), m.Figures)
	for name, latency := range m.Classes {
		if c := b.classes[name]; c != nil && latency > minFigure && latency < maxFigure {
			c.latency = latency
		}
	}
	for i := range m.Upstreams {
		saved := &m.Upstreams[i]
		upstream := b.byID[saved.ID]
		if upstream != nil && upstream.StartedAt == saved.StartedAt && saved.isValid() {
			b.restoreUpstream(upstream, saved, now)
		}
	}
	b.chooseSubset(now)
	b.dispatchQueued(now)
}

// isValid reports whether the counts and the wait are possible values.
func (s *UpstreamSnapshot) isValid() bool {
	window := len(s.Window) <= bandWindow && s.Readings >= len(s.Window)
	counts := s.Answers >= 0 && s.UnreportedAnswers >= 0 && s.Backoff >= 0
	return window && counts
}

// restoreUpstream replaces the statistics of an upstream.
func (b *Balancer) restoreUpstream(upstream *upstreamState, saved *UpstreamSnapshot, now time.Duration) {
	restoreFigures(upstream.figures(), saved.Figures)
	upstream.band.restore(saved.Readings, saved.Window)
	upstream.unreportedAnswers = saved.UnreportedAnswers
	upstream.slowStart.sentWorkAt = now
	upstream.outlier.answers = saved.Answers
	upstream.outlier.lastResponseAt = now
	// The limit is not scaled to this balancer's subset, only raised to its minimum.
	upstream.limit.allowed = max(upstream.limit.allowed, b.limits.minimum())
	upstream.share.factor = min(1, max(minShareFactor, upstream.share.factor))
	if saved.Unresponsive {
		upstream.outlier.unresponsive = true
		upstream.outlier.trialAt = min(saved.TrialAt, now+b.settings.Rules.SlowStartDuration)
		upstream.outlier.backoff = max(b.tickInterval, saved.Backoff)
	}
}
