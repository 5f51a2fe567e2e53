package service

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/metrics"
)

// View returns the live view of all listeners and pools.
func (s *Service) View() live.View {
	v, _ := s.PartialView(live.Part{}) // it fails only for an unknown pool that was selected
	return v
}

// PartialView returns the selected part of the live view. It does not involve the event loops of pools that are not
// selected. It returns an error if a selected pool does not exist.
func (s *Service) PartialView(part live.Part) (live.View, error) {
	current := s.state.Load()
	view := live.View{
		Version:   s.version,
		UptimeMS:  time.Since(s.started).Milliseconds(),
		Reloads:   current.reloads,
		Listeners: current.listenerViews(),
		Pools:     []live.Pool{},
	}
	names := part.Pools
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(current.pools))
	}
	for _, name := range names {
		p := current.pools[name]
		if p == nil {
			return view, fmt.Errorf("there is no pool %.64q", name)
		}
		view.Pools = append(view.Pools, p.PartialView(part))
	}
	view.Coordination = s.sharedOverrides.view()
	return view, nil
}

// Metrics returns the process's counters and gauges. It does not involve the pools' event loops.
func (s *Service) Metrics() metrics.Snapshot {
	current := s.state.Load()
	snapshot := metrics.Snapshot{
		Version:      s.version,
		Started:      s.started,
		Reloads:      current.reloads,
		Listeners:    current.listenerViews(),
		Budgets:      current.listenerBudgets(),
		Coordination: s.sharedOverrides.view(),
	}
	for _, name := range slices.Sorted(maps.Keys(current.pools)) {
		snapshot.Pools = append(snapshot.Pools, metrics.Pool{Name: name, Stats: current.pools[name].Stats()})
	}
	return snapshot
}
