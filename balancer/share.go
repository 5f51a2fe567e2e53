// An upstream's share of the traffic, which saturation cuts.

package balancer

import "time"

const (
	minCutFactor   = 0.8  // least factor of a share cut in one period: load reports lag, so steps are small
	restoreFactor  = 1.04 // shares are restored more slowly than they are cut
	minShareFactor = 0.1  // least part of its share that an upstream keeps despite saturation
)

// share is an upstream's part of the traffic, before errors and slow start reduce it.
type share struct {
	weight     float64 // size of the server; over 0
	factor     float64 // product of the share cuts, minShareFactor to 1
	subsetPart float64 // part of the upstream in this balancer's subset, over 0; may exceed 1 while it warms up
}

// uncut returns the share without the cuts.
func (s *share) uncut() float64 { return s.weight * s.subsetPart }

// value returns the share with the cuts. Shares are relative to each other; their sum is not 1.
func (s *share) value() float64 { return s.weight * s.subsetPart * s.factor }

// endPeriod cuts the share by one step if the upstream is saturated, and otherwise restores it by one step.
func (s *share) endPeriod(band *bollingerBand, threshold float64) {
	if !band.saturated(threshold) {
		s.factor = min(1, s.factor*restoreFactor)
		return
	}
	cut := max(minCutFactor, threshold/band.area)
	s.factor = max(minShareFactor, s.factor*cut)
}

// trafficShare returns the share of an upstream, reduced while it answers with errors or warms up. Like share.value it
// is relative to the shares of others.
func (b *Balancer) trafficShare(upstream *upstreamState, now time.Duration) float64 {
	errorFactor := upstream.outlier.shareFactor(b.fleet.errorRate)
	return upstream.share.value() * errorFactor * upstream.slowStart.capacity(&b.settings.Rules, now)
}
