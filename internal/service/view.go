package service

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/metrics"
)

// View returns the state of all listeners and pools.
func (s *Service) View() live.View {
	v, _ := s.PartialView(live.Part{}) // fails only for a pool that was asked for
	return v
}

// PartialView returns a part of the state. The goroutines of pools that are not asked for are not disturbed. The
// error names a pool that does not exist.
func (s *Service) PartialView(part live.Part) (live.View, error) {
	now := s.state.Load()
	view := live.View{
		Version:   s.version,
		UptimeMS:  time.Since(s.started).Milliseconds(),
		Reloads:   now.reloads,
		Listeners: now.listenerViews(),
		Pools:     []live.Pool{},
	}
	names := part.Pools
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(now.pools))
	}
	for _, name := range names {
		p := now.pools[name]
		if p == nil {
			return view, fmt.Errorf("there is no pool %.64q", name)
		}
		view.Pools = append(view.Pools, p.PartialView(part))
	}
	view.Promises = s.sharedOverrides.view()
	return view, nil
}

// Metrics returns the process's counters and gauges. No pool's goroutine is asked for them.
func (s *Service) Metrics() metrics.Snapshot {
	now := s.state.Load()
	snapshot := metrics.Snapshot{
		Version:   s.version,
		Started:   s.started,
		Reloads:   now.reloads,
		Listeners: now.listenerViews(),
		Promises:  s.sharedOverrides.view(),
	}
	for _, name := range slices.Sorted(maps.Keys(now.pools)) {
		snapshot.Pools = append(snapshot.Pools, metrics.Pool{Name: name, Stats: now.pools[name].Stats()})
	}
	return snapshot
}
