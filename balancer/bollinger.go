// The Bollinger band of utilisation readings, by which a saturated upstream is told from the rest of the fleet.

package balancer

import (
	"math"
	"time"
)

const (
	bandWindow     = 8           // N: readings in an upstream's moving window
	bandAlpha      = 2.0         // α: half the band gap in standard deviations, as usual for these bands
	bandPeriod     = time.Second // the band gap is integrated over it, then shares move
	minExcessLevel = 0.5         // utilisation below it never counts as excess level
)

// bollingerBand is the moving window of an upstream's utilisation readings, their mean and deviation, and the band
// gap integrated over the present period. The window holds the last min(readings, bandWindow) readings.
type bollingerBand struct {
	window          [bandWindow]float64
	readings        int     // ever taken
	mean, deviation float64 // of the window
	area            float64 // band gap integrated since the period began
	integratedAt    time.Duration
}

// add takes a reading into the window. The gap until now must have been integrated before.
func (band *bollingerBand) add(utilisation float64) {
	band.window[band.readings%bandWindow] = utilisation
	band.readings++
	band.mean, band.deviation = meanAndDeviation(band.filled())
}

// filled is the part of the window that holds readings.
func (band *bollingerBand) filled() []float64 { return band.window[:min(band.readings, bandWindow)] }

// integrate adds the band gap of the time since the last call. A server pinned at full load reads flat, so its level
// over the fleet's counts as deviation does.
func (band *bollingerBand) integrate(fleetUtilisation float64, now time.Duration) {
	excess := max(0, band.mean-max(minExcessLevel, fleetUtilisation))
	gap := 2 * bandAlpha * (band.deviation + excess)
	elapsed := (now - band.integratedAt).Seconds()
	band.area += gap * elapsed / bandPeriod.Seconds()
	band.integratedAt = now
}

// saturated reports whether the period's area is over a threshold. Few readings prove nothing.
func (band *bollingerBand) saturated(threshold float64) bool {
	return band.readings >= bandWindow/2 && band.area > threshold
}

// upper and lower bound the band.
func (band *bollingerBand) upper() float64 { return band.mean + bandAlpha*band.deviation }
func (band *bollingerBand) lower() float64 { return band.mean - bandAlpha*band.deviation }

// meanAndDeviation returns the moving average and the population standard deviation.
func meanAndDeviation(samples []float64) (mean, deviation float64) {
	for _, x := range samples {
		mean += x / float64(len(samples))
	}
	for _, x := range samples {
		deviation += (x - mean) * (x - mean) / float64(len(samples))
	}
	return mean, math.Sqrt(deviation)
}

// restart forgets what an earlier process of the upstream has shown.
func (band *bollingerBand) restart() {
	band.readings = 0
	band.mean, band.deviation, band.area = 0, 0, 0
}

// restore takes a window of readings, of which odd ones are left out.
func (band *bollingerBand) restore(readings int, window []float64) {
	band.readings = readings
	for i, utilisation := range window {
		if amount(utilisation) && utilisation < maxFigure {
			band.window[i] = utilisation
		}
	}
}
