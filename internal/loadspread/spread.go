// Package spread measures how even a fleet's requests are over its nodes: counts by node in equal bins of time, and from
// them the deviation over the mean, the busiest node over the mean, idle nodes, and whether a node's part swings.
package loadspread

import (
	"math"
	"time"
)

// Bin is the length of a bin.
const Bin = 20 * time.Millisecond

// Counts are requests by node and bin. It is not safe for concurrent use.
type Counts struct {
	nodes int
	bins  [][]int32
}

// New returns empty counts of so many nodes.
func New(nodes int) *Counts { return &Counts{nodes: nodes} }

// Add counts a request that came to a node so long after the load began; one from before is left out.
func (c *Counts) Add(node int, after time.Duration) {
	if after < 0 {
		return
	}
	at := int(after / Bin)
	for len(c.bins) <= at {
		c.bins = append(c.bins, make([]int32, c.nodes))
	}
	c.bins[at][node]++
}

// Between sums the requests by node from one time to another, both rounded down to bins.
func (c *Counts) Between(from, to time.Duration) []int {
	sums := make([]int, c.nodes)
	for at := max(0, int(from/Bin)); at < min(len(c.bins), int(to/Bin)); at++ {
		for n, x := range c.bins[at] {
			sums[n] += int(x)
		}
	}
	return sums
}

// Even is how even requests are.
type Even struct {
	Deviation float64 `json:"deviation"` // standard deviation over the mean
	Busiest   float64 `json:"busiest"`   // the busiest node over the mean
	Idle      int     `json:"idle"`      // nodes without a request
}

// Of returns how even counts are; zeros but for Idle where there is no request. Weights are the nodes' due parts, or nil
// if all are alike; a node whose weight is 0 is left out.
func Of(counts []int, weights []float64) Even {
	var e Even
	var n, sum, square, most float64
	weigh := 0.0
	for _, w := range weights {
		weigh += w
	}
	for i, count := range counts {
		x := float64(count)
		if weights != nil {
			if weights[i] == 0 {
				continue
			}
			x *= weigh / weights[i] / float64(len(weights))
		}
		n, sum, square, most = n+1, sum+x, square+x*x, max(most, x)
		if count == 0 {
			e.Idle++
		}
	}
	if sum > 0 {
		mean := sum / n
		e.Deviation, e.Busiest = math.Sqrt(max(0, square/n-mean*mean))/mean, most/mean
	}
	return e
}

// Windows returns the mean evenness over whole windows from one time to another, with the idle ones of all added up.
func (c *Counts) Windows(from, to, window time.Duration, weights []float64) Even {
	var e Even
	n := 0.0
	for at := from; at+window <= to; at += window {
		x := Of(c.Between(at, at+window), weights)
		e.Deviation, e.Busiest, e.Idle, n = e.Deviation+x.Deviation, e.Busiest+x.Busiest, e.Idle+x.Idle, n+1
	}
	if n > 0 {
		e.Deviation, e.Busiest = e.Deviation/n, e.Busiest/n
	}
	return e
}

// First returns how even the first requests are, over so long from the first bin that has any.
func (c *Counts) First(window time.Duration) Even {
	for at, bin := range c.bins {
		for _, x := range bin {
			if x > 0 {
				from := time.Duration(at) * Bin
				return Of(c.Between(from, from+window), nil)
			}
		}
	}
	return Even{}
}

// Parts returns, for each window from one time to another, the part of all requests that the chosen nodes got.
func (c *Counts) Parts(from, to, window time.Duration, chosen func(node int) bool) []float64 {
	var parts []float64
	for at := from; at+window <= to; at += window {
		all, some := 0, 0
		for n, x := range c.Between(at, at+window) {
			if all += x; chosen(n) {
				some += x
			}
		}
		parts = append(parts, float64(some)/float64(max(all, 1)))
	}
	return parts
}

// Correlation is the autocorrelation of a series at a lag: 1 means that it repeats itself, 0 that it does not, below 0
// that it swings. 0 for a series that is too short or flat.
func Correlation(xs []float64, lag int) float64 {
	if lag <= 0 || len(xs) <= lag+1 {
		return 0
	}
	mean := 0.0
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	var with, own float64
	for i, x := range xs {
		if own += (x - mean) * (x - mean); i >= lag {
			with += (x - mean) * (xs[i-lag] - mean)
		}
	}
	if own == 0 {
		return 0
	}
	return with / own
}
