package faulttest

import (
	"time"

	"olivearch/internal/loadspread"
)

// evenness adds how even the fleet's requests are over its nodes: by whole seconds after the first, which belongs to the start, and
// in the first part of a second with requests, in which a herd shows.
func evenness(c *loadspread.Counts, length time.Duration, into map[string]float64) {
	e := c.Windows(time.Second, length.Truncate(time.Second), time.Second, nil)
	into["spread"], into["busiest"], into["idle_node_seconds"] = e.Deviation, e.Busiest, float64(e.Idle)
	into["first_busiest"] = c.First(100 * time.Millisecond).Busiest
}
