package service

import (
	"math"
	"runtime/debug"
	"runtime/metrics"

	"olivearch/internal/config"
)

// headroom is what the heap may grow by over what lives before the collector runs, in bytes: the least heap of 4 MiB times the percentage
// that a small configuration has. More of a large heap would be as many times more, and is not needed to collect as seldom.
const (
	headroom    = 16 << 20
	mostPercent = 400
	leastLive   = headroom * 100 / mostPercent
	// large is from what size of a configuration's file on what reading it took is given back at once, in bytes.
	large = 256 << 10
)

// LimitMemory tells the collector how much memory the configuration gives. Collecting later costs memory, which the soft
// limit bounds. It is for a process that runs one service and nothing else.
func LimitMemory(c *config.Loaded) {
	debug.SetMemoryLimit(int64(c.Limits.Memory) / 10 * 8)
}

// BeforeReading keeps what reading a configuration leaves behind from piling up. It is for the start: later the percentage is by what lives.
func BeforeReading() { debug.SetGCPercent(100) }

// AfterReading gives back what reading a configuration took, if that was much, which takes one collection; and bounds what the heap may
// grow by over what lives.
func AfterReading(c *config.Loaded) {
	if c.Read() >= large {
		debug.FreeOSMemory()
	}
	debug.SetGCPercent(percent(heap()))
}

// percent gives the headroom over what lives, as debug.SetGCPercent wants it.
func percent(live uint64) int {
	return int(math.Ceil(float64(headroom) / float64(max(live, leastLive)) * 100))
}

// heap is what lived at the end of the last collection, in bytes.
func heap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
