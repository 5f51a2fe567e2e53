package service

import (
	"math"
	"runtime/debug"
	"runtime/metrics"

	"olivearch/internal/config"
)

const (
	// responseMemoryFraction is the part of the configured memory that responses may take while they are held: a tenth.
	responseMemoryFraction = 10
	// heapHeadroom is how far the heap may grow beyond the live heap before a collection starts, in bytes. It
	// equals the growth that a small configuration gets: maxGCPercent of Go's minimum heap of 4 MiB. The same
	// percentage of a large live heap would use more memory than is needed to collect as infrequently.
	heapHeadroom = 16 << 20
	// maxGCPercent is the percentage for debug.SetGCPercent if the live heap is minLiveHeap or smaller.
	maxGCPercent = 400
	// minLiveHeap is the live heap, in bytes, below which the percentage does not rise any further.
	minLiveHeap = heapHeadroom * 100 / maxGCPercent
	// largeConfig is the size of a configuration file, in bytes, from which on the memory that was used to read it
	// is returned to the system at once.
	largeConfig = 256 << 10
)

// LimitMemory sets the soft memory limit of the garbage collector to 80 % of the configured memory, which bounds the
// memory that a high GC percentage costs. It is only for a process that runs nothing but one service.
func LimitMemory(c *config.Loaded) {
	debug.SetMemoryLimit(int64(c.Limits.Memory) / 10 * 8)
}

// PrepareConfigLoad bounds the garbage that accumulates while the first configuration is read. Reloads do not need it:
// the percentage that FinishConfigLoad has set by then fits the live heap.
func PrepareConfigLoad() { debug.SetGCPercent(100) }

// FinishConfigLoad bounds the growth of the heap beyond the live heap by heapHeadroom. After a large configuration it
// first returns the memory that was used to read it to the system, which takes one collection.
func FinishConfigLoad(c *config.Loaded) {
	if c.BytesRead() >= largeConfig {
		debug.FreeOSMemory()
	}
	debug.SetGCPercent(gcPercent(liveHeap()))
}

// gcPercent returns the headroom over the live heap as a percentage of it, for debug.SetGCPercent.
func gcPercent(liveBytes uint64) int {
	return int(math.Ceil(float64(heapHeadroom) / float64(max(liveBytes, minLiveHeap)) * 100))
}

// liveHeap returns the size of the live heap at the end of the last collection, in bytes.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
