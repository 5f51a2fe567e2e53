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

// Values of keys in a pool's configuration.
const (
	drainsOwnOnly              = "own"         // of the key drains
	reuseDelayAfterUnsolicited = "after_stray" // of the key rest
)

// runningPool is a pool with its specification and the source of its endpoint list.
type runningPool struct {
	*pool.Pool
	spec       pool.Spec
	source     config.NodeSource
	stopFollow func() // stops updates from the list file, and returns once none is under way
}

// newPoolSpec returns the specification of the pool that a configuration has under a name.
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
		ReuseDelayOnlyAfterUnsolicited: settings.Rest == reuseDelayAfterUnsolicited,
		Tunnels: pool.TunnelLimits{
			Total:       settings.Tunnels.Most,
			PerEndpoint: settings.Tunnels.PerNode,
		},
		FullResponses: true,
	}
}

// sameSpec reports whether a running pool with the old specification needs no update for the next one. Tenant tables
// are compared by identity, since comparing their entries for each pool would take too long.
func sameSpec(old, next *pool.Spec) bool {
	if old.Settings.Tenants != next.Settings.Tenants {
		return false
	}
	a, b := *old, *next
	a.Settings.Tenants, b.Settings.Tenants = nil, nil
	// These fields are used only when a pool starts.
	a.Seed = b.Seed
	a.InitialEndpoints = b.InitialEndpoints
	a.EndpointStore = b.EndpointStore
	return reflect.DeepEqual(a, b)
}

// openPool starts a pool of a plan with its endpoint list and shared overrides, and adds it to the plan's next state.
func (s *Service) openPool(plan *plan, name string) error {
	spec := plan.specs[name]
	source := plan.next.config.Pools[name].Nodes
	spec.Seed = rand.Uint64()
	if source.Keep != "" {
		cached, err := endpointcache.Load(source.Keep)
		if err != nil { // a damaged cache must not prevent the process from serving
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
		stopFollow: s.followList(name, opened, source, list.fileState),
	}
	plan.next.pools[name] = next
	s.sharedOverrides.applyTo(name, next)
	return nil
}

// updatePool updates a running pool to the configuration of a plan.
func (s *Service) updatePool(plan *plan, name string, old *runningPool) {
	list := plan.lists[name]
	next := *old
	next.spec = plan.specs[name]
	next.source = plan.next.config.Pools[name].Nodes
	plan.next.pools[name] = &next

	usedDiscovery := old.source.Discovery != ""
	usesDiscovery := next.source.Discovery != ""
	sourceChanged := old.source.File != next.source.File || usedDiscovery != usesDiscovery
	if sourceChanged { // first, so that a late update from the old source cannot overwrite the new list
		old.stopFollow()
	}
	if !plan.unchanged[name] {
		if err := old.Configure(next.spec); err != nil { // the settings are valid, so the pool has ended
			slog.Error("pool configuration not changed", "pool", name, "err", err)
		}
	}
	staticChanged := next.source.File == "" && !slices.Equal(old.source.Static, next.source.Static)
	if !usesDiscovery && (sourceChanged || staticChanged) {
		old.UpdateEndpoints(list.endpoints)
	}
	if sourceChanged {
		next.stopFollow = s.followList(name, old.Pool, next.source, list.fileState)
	}
}

// retirePool shuts a pool down gracefully: it ends once its requests are answered. retirePool does not wait for the
// end.
func (s *Service) retirePool(p *runningPool) {
	p.stopFollow()
	p.Shutdown()
	s.retiring.Go(func() { <-p.Done() })
}
