// Bollinger bands of utilisation readings, which show the upstreams that are saturated compared with the fleet.

package balancer

import (
	"math"
	"time"
)

const (
	bandWindow     = 8           // readings in an upstream's moving window (N of the paper by Badea and Borcoci)
	bandAlpha      = 2.0         // half the band gap in standard deviations (α of the paper); usual for Bollinger bands
	bandPeriod     = time.Second // time over which the band gap is integrated before shares are adjusted
	minExcessLevel = 0.5         // utilisation below it is never in excess of the fleet's
)

// bollingerBand is a moving window of an upstream's utilisation readings with their mean and standard deviation, and
// the band gap integrated over the current period. The window holds the last min(readings, bandWindow) readings.
type bollingerBand struct {
	window          [bandWindow]float64
	readings        int     // taken since the upstream's process started
	mean, deviation float64 // of the readings in the window
	area            float64 // band gap integrated since the start of the period, in utilisation × bandPeriod
	integratedAt    time.Duration
}

// add puts a reading into the window. Call integrate first, since add changes the band gap.
func (band *bollingerBand) add(utilisation float64) {
	band.window[band.readings%bandWindow] = utilisation
	band.readings++
	band.mean, band.deviation = meanAndDeviation(band.filled())
}

// filled returns the part of the window that holds readings.
func (band *bollingerBand) filled() []float64 { return band.window[:min(band.readings, bandWindow)] }

// integrate adds the band gap over the time since the last call to the area. The readings of a server at full load
// hardly vary, so its utilisation in excess of the fleet's counts like a deviation.
func (band *bollingerBand) integrate(fleetUtilisation float64, now time.Duration) {
	excess := max(0, band.mean-max(minExcessLevel, fleetUtilisation))
	gap := 2 * bandAlpha * (band.deviation + excess)
	elapsed := (now - band.integratedAt).Seconds()
	band.area += gap * elapsed / bandPeriod.Seconds()
	band.integratedAt = now
}

// saturated reports whether the area is over the threshold. It takes at least half a window of readings.
func (band *bollingerBand) saturated(threshold float64) bool {
	return band.readings >= bandWindow/2 && band.area > threshold
}

// upper and lower return the bounds of the band.
func (band *bollingerBand) upper() float64 { return band.mean + bandAlpha*band.deviation }
func (band *bollingerBand) lower() float64 { return band.mean - bandAlpha*band.deviation }

// meanAndDeviation returns the mean and the population standard deviation of the samples.
func meanAndDeviation(samples []float64) (mean, deviation float64) {
	for _, x := range samples {
		mean += x / float64(len(samples))
	}
	for _, x := range samples {
		deviation += (x - mean) * (x - mean) / float64(len(samples))
	}
	return mean, math.Sqrt(deviation)
}

// restart discards the readings of the upstream's previous process.
func (band *bollingerBand) restart() {
	band.readings = 0
	band.mean, band.deviation, band.area = 0, 0, 0
}

// restore takes over the readings of a snapshot, except values that are out of range.
func (band *bollingerBand) restore(readings int, window []float64) {
	band.readings = readings
	for i, utilisation := range window {
		if isFiniteNonNegative(utilisation) && utilisation < maxFigure {
			band.window[i] = utilisation
		}
	}
}
