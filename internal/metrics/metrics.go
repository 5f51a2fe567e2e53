// Package metrics exposes a process's counters and gauges in Prometheus's text format, version 0.0.4
// (https://prometheus.io/docs/instrumenting/exposition_formats/). The admin listener serves it; the package collects no
// values itself. The size of a response grows with the number of pools in use, not with that of endpoints, routes or
// tenants: a pool that has had no requests is counted only in sums over all pools, unless its endpoint list has
// expired.
package metrics

import (
	"time"

	"olivearch/internal/budget"
	"olivearch/internal/live"
	"olivearch/internal/pool"
)

// Budget is what the clients of a listener share: memory for request bodies in bytes, or places for those that are
// streamed to upstreams.
type Budget struct {
	Listener, Resource string
	budget.Usage
}

// Snapshot has the values of all metrics at one point in time.
type Snapshot struct {
	Version      string
	Started      time.Time
	Reloads      int // configurations applied since the first
	Listeners    []live.Listener
	Budgets      []Budget // of the listeners
	Pools        []Pool
	Coordination *live.Coordination // nil: the process follows no coordination cluster
}

// Pool has the values of one pool.
type Pool struct {
	Name string
	pool.Stats
}
