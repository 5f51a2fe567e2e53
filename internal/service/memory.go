package service

import (
	"math"
	"runtime/debug"
	"runtime/metrics"

	"olivearch/internal/config"
)

const (
	// heapHeadroom is what the heap may grow by over the live heap before the collector runs, in bytes: the least heap
	// of 4 MiB times the percentage that a small configuration has. A percentage of a large heap would allow more, which
	// is not needed to collect as seldom.
	heapHeadroom = 16 << 20
	// maxGCPercent is the percentage of a live heap of minLiveHeap and less.
	maxGCPercent = 400
	// minLiveHeap is the least live heap that the percentage is computed for, in bytes.
	minLiveHeap = heapHeadroom * 100 / maxGCPercent
	// largeConfig is the size of a configuration's file from which the memory that reading it took is returned to the
	// system at once, in bytes.
	largeConfig = 256 << 10
)

// LimitMemory sets the collector's soft limit to 80 % of the memory that the configuration gives. It bounds the cost of
// collecting less often. It is for a process that runs one service and nothing else.
func LimitMemory(c *config.Loaded) {
	debug.SetMemoryLimit(int64(c.Limits.Memory) / 10 * 8)
}

// PrepareConfigLoad keeps garbage from piling up while a configuration is read. It is for the start of a process: later
// FinishConfigLoad has set the percentage by the live heap.
func PrepareConfigLoad() { debug.SetGCPercent(100) }

// FinishConfigLoad returns the memory that reading a configuration took to the system if that was much, which takes one
// collection, and bounds the growth of the heap over the live heap.
func FinishConfigLoad(c *config.Loaded) {
	if c.Read() >= largeConfig {
		debug.FreeOSMemory()
	}
	debug.SetGCPercent(gcPercent(liveHeap()))
}

// gcPercent returns the headroom over the live heap as a percentage of it, for debug.SetGCPercent.
func gcPercent(liveBytes uint64) int {
	return int(math.Ceil(float64(heapHeadroom) / float64(max(liveBytes, minLiveHeap)) * 100))
}

// liveHeap returns what was live at the end of the last collection, in bytes.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
