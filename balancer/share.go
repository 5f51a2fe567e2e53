// An upstream's share of the traffic: cuts by saturation, and their restoration.

package balancer

import "time"

const (
	deepestCut     = 0.8  // the deepest cut in one period: reports lag, so steps are small
	restoreFactor  = 1.04 // shares come back more slowly than they go
	minShareFactor = 0.1  // saturation never cuts a share below this part of it
)

// share is an upstream's part of the traffic before errors and slow start lower it. weight is over zero; factor lies
// in [minShareFactor, 1]; subsetPart lies in (0, 1] while the upstream is in the subset, and over 1 while it warms up
// there for few balancers.
type share struct {
	weight     float64 // size
	factor     float64 // what saturation has left of it
	subsetPart float64 // part of the upstream that this balancer's subset has
}

// inSubset is the share without the cuts.
func (s *share) inSubset() float64 { return s.weight * s.subsetPart }

// value is the share with the cuts, not scaled.
func (s *share) value() float64 { return s.weight * s.subsetPart * s.factor }

// endPeriod cuts the share of a saturated upstream by degrees, and restores that of another one.
func (s *share) endPeriod(band *bollingerBand, threshold float64) {
	if !band.saturated(threshold) {
		s.factor = min(1, s.factor*restoreFactor)
		return
	}
	cut := max(deepestCut, threshold/band.area)
	s.factor = max(minShareFactor, s.factor*cut)
}

// trafficShare is an upstream's part of the traffic, not scaled: less while it answers with errors or warms up.
func (b *Balancer) trafficShare(upstream *upstreamState, now time.Duration) float64 {
	errorFactor := upstream.outlier.shareFactor(b.fleet.errorRate)
	return upstream.share.value() * errorFactor * upstream.slowStart.capacity(&b.settings.Rules, now)
}
