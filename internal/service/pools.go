package service

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/endpointcache"
	"olivearch/internal/pool"
	"olivearch/internal/wire"
)

// Values of a pool's keys in the configuration.
const (
	drainsOwnOnly    = "own"         // of drains
	restsAfterStrays = "after_stray" // of rest
)

// runningPool is a pool with what follows its endpoint list.
type runningPool struct {
	*pool.Pool
	spec       pool.Spec
	source     config.NodeSource
	stopFollow func() // returns when the list is no longer followed
}

// newPoolSpec returns the specification of a pool in a configuration.
func newPoolSpec(c *config.Loaded, name string) pool.Spec {
	settings := c.Pools[name]
	return pool.Spec{
		Name:           name,
		Settings:       c.Settings(name),
		Discovery:      settings.Nodes.Discovery,
		MaxEndpointAge: time.Duration(settings.Nodes.Hold),
		Links: wire.ConnectionSettings{
			KeepAlive:      time.Duration(settings.IdleTimeout),
			ConnectTimeout: time.Duration(settings.ConnectTimeout),
		},
		MaxConnections:                 settings.Connections,
		MaxRequests:                    settings.Queue,
		SharedWeight:                   settings.Share,
		IgnoreDrainsOfOthers:           settings.Drains == drainsOwnOnly,
		ReuseDelayOnlyAfterUnsolicited: settings.Rest == restsAfterStrays,
		Tunnels: pool.TunnelLimits{
			Total:       settings.Tunnels.Most,
			PerEndpoint: settings.Tunnels.PerNode,
		},
		FullResponses: true,
	}
}

// sameSpec tells whether a pool that has the old specification needs nothing to follow the next. A table of tenants
// that was made anew counts as another: comparing its entries for each pool would take too long.
func sameSpec(old, next *pool.Spec) bool {
	if old.Settings.Tenants != next.Settings.Tenants {
		return false
	}
	a, b := *old, *next
	a.Settings.Tenants, b.Settings.Tenants = nil, nil
	// These are for the start of a pool only.
	a.Seed = b.Seed
	a.InitialEndpoints = b.InitialEndpoints
	a.EndpointStore = b.EndpointStore
	return reflect.DeepEqual(a, b)
}

// openPool starts a pool of a plan, and gives it its endpoint list and overrides.
func (s *Service) openPool(plan *plan, name string) error {
	spec := plan.specs[name]
	source := plan.next.config.Pools[name].Nodes
	spec.Seed = rand.Uint64()
	if source.Keep != "" {
		cached, err := endpointcache.Load(source.Keep)
		if err != nil { // a damaged cache must not keep the process from serving
			slog.Warn("cached endpoint list not loaded", "pool", name, "err", err)
		}
		spec.InitialEndpoints = cached
		spec.EndpointStore = endpointcache.NewWriter(source.Keep, cached)
	}
	opened, err := pool.New(s.ctx, spec, s.endpoints, nil)
	if err != nil {
		if spec.EndpointStore != nil {
			spec.EndpointStore.Close()
		}
		return fmt.Errorf("pool %s: %w", name, err)
	}
	list := plan.lists[name]
	if source.Discovery == "" {
		opened.UpdateEndpoints(list.endpoints)
	}
	next := &runningPool{
		Pool:       opened,
		spec:       spec,
		source:     source,
		stopFollow: s.followList(name, opened, source, list.reading),
	}
	plan.next.pools[name] = next
	s.sharedOverrides.applyTo(name, next)
	return nil
}

// updatePool brings a pool that stays to the configuration of a plan.
func (s *Service) updatePool(plan *plan, name string, old *runningPool) {
	list := plan.lists[name]
	next := *old
	next.spec = plan.specs[name]
	next.source = plan.next.config.Pools[name].Nodes
	plan.next.pools[name] = &next

	usedDiscovery := old.source.Discovery != ""
	usesDiscovery := next.source.Discovery != ""
	moved := old.source.File != next.source.File || usedDiscovery != usesDiscovery
	if moved { // so that a late update from the old source is not taken for one from the new
		old.stopFollow()
	}
	if !plan.unchanged[name] {
		if err := old.Configure(next.spec); err != nil { // its settings are valid: it has ended
			slog.Error("pool configuration not changed", "pool", name, "err", err)
		}
	}
	staticChanged := next.source.File == "" && !slices.Equal(old.source.Static, next.source.Static)
	if !usesDiscovery && (moved || staticChanged) {
		old.UpdateEndpoints(list.endpoints)
	}
	if moved {
		next.stopFollow = s.followList(name, old.Pool, next.source, list.reading)
	}
}

// retirePool ends a pool once its requests are answered. It does not wait for that.
func (s *Service) retirePool(p *runningPool) {
	p.stopFollow()
	p.Shutdown()
	s.retiring.Go(func() { <-p.Done() })
}
