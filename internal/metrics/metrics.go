// Package metrics exposes a process's counters and gauges in Prometheus's text format, version 0.0.4
// (https://prometheus.io/docs/instrumenting/exposition_formats/). The size of a response grows with the pools that are
// in use, not with endpoints, routes or tenants: pools without requests are only counted in sums.
package metrics

import (
	"time"

	"olivearch/internal/live"
	"olivearch/internal/pool"
)

// Snapshot has the values of all metrics at a moment.
type Snapshot struct {
	Version   string
	Started   time.Time
	Reloads   int // configurations applied since the first
	Listeners []live.Listener
	Pools     []Pool
	Promises  *live.Promises // nil: the process follows no coordination cluster
}

// Pool has the values of one pool, by its name.
type Pool struct {
	Name string
	pool.Stats
}
