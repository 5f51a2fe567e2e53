// Package service runs what a configuration describes: listeners, routes, pools, endpoint lists and the admin listener.
// It moves from one configuration to the next while traffic flows.
package service

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/pool"
	"olivearch/internal/proxy"
)

// listPollInterval is how often the file of an endpoint list is read even if no change is notified.
const listPollInterval = 5 * time.Second

// Service is a running configuration. Apply and Stop belong to one goroutine. The other methods may be called from any.
type Service struct {
	version         string
	started         time.Time
	ctx             context.Context
	cancel          context.CancelFunc
	endpoints       *pool.EndpointRegistry
	listWatcher     *endpointlist.Watcher
	routeTable      *proxy.RouteTable // nil until the first configuration is applied
	state           atomic.Pointer[runtimeState]
	sharedOverrides *sharedOverrides
	failed          chan error
	retiring        sync.WaitGroup // listeners and pools that a reload has removed, or Stop ends
}

// runtimeState is what runs now. It never changes once stored: Apply makes another.
type runtimeState struct {
	config    *config.Loaded             // nil before the first
	listeners map[string]*clientListener // by the address in the configuration
	pools     map[string]*runningPool    // by name
	admin     *adminListener             // nil: none
	reloads   int                        // configurations applied since the first
}

func newRuntimeState(c *config.Loaded, reloads int) *runtimeState {
	return &runtimeState{
		config:    c,
		listeners: map[string]*clientListener{},
		pools:     map[string]*runningPool{},
		reloads:   reloads,
	}
}

// Start runs a configuration. Version is shown in the live view.
func Start(c *config.Loaded, version string) (*Service, error) {
	s := &Service{version: version, started: time.Now(), failed: make(chan error, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.endpoints = pool.NewEndpointRegistry(s.ctx, c.Limits.NodeConnections)
	s.listWatcher = endpointlist.NewWatcher(s.ctx, listPollInterval, logWatchState)
	s.state.Store(newRuntimeState(nil, -1)) // the first configuration is no reload
	s.sharedOverrides = &sharedOverrides{pools: func() map[string]*runningPool { return s.state.Load().pools }}
	if err := s.Apply(c); err != nil {
		s.cancel()
		return nil, err
	}
	return s, nil
}

// Failed receives the error of a listener that has ended by itself.
func (s *Service) Failed() <-chan error { return s.failed }

// Stop shuts down gracefully: it returns once the requests that were accepted are answered.
func (s *Service) Stop() {
	now := s.state.Load()
	var listeners sync.WaitGroup
	for _, l := range now.listeners {
		listeners.Go(l.Stop)
	}
	listeners.Wait()
	for _, p := range now.pools {
		s.retirePool(p)
	}
	s.retiring.Wait()
	if now.admin != nil {
		now.admin.stop()
	}
	s.sharedOverrides.close()
	s.cancel()
}

// Address returns where a listener of the configuration listens: its port may have been the system's to choose. It is
// nil if there is no such listener.
func (s *Service) Address(configured string) net.Addr {
	if l := s.state.Load().listeners[configured]; l != nil {
		return l.address
	}
	return nil
}

// AdminAddress returns where the admin listener listens; nil if there is none.
func (s *Service) AdminAddress() net.Addr {
	if a := s.state.Load().admin; a != nil {
		return a.address
	}
	return nil
}
