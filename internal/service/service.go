// Package service runs the load balancer that a configuration describes: client listeners, routes, pools, endpoint
// lists and the admin listener. It applies later configurations without interrupting traffic. The olivearch command
// uses it. It does not read configuration files or handle signals, and it leaves load balancing decisions to package
// balancer.
package service

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/budget"
	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/pool"
	"olivearch/internal/proxy"
)

// listPollInterval is how often the file of an endpoint list is read even without a change notification.
const listPollInterval = 5 * time.Second

// Service is a running load balancer. Apply and Stop must be called from one goroutine. The other methods may be called
// from any goroutine.
type Service struct {
	version         string
	started         time.Time
	ctx             context.Context
	cancel          context.CancelFunc
	endpoints       *pool.EndpointRegistry
	responseMemory  *budget.Budget // bytes of responses that all pools hold
	listWatcher     *endpointlist.Watcher
	routeTable      *proxy.RouteTable // nil until the first configuration is applied
	state           atomic.Pointer[runtimeState]
	sharedOverrides *sharedOverrides
	failed          chan error
	retiring        sync.WaitGroup // listeners and pools that are shutting down after a reload or Stop
}

// runtimeState is the configuration in force and everything that runs for it. It is immutable once stored: Apply stores
// a new one.
type runtimeState struct {
	config    *config.Loaded             // nil before the first configuration
	listeners map[string]*clientListener // by the address in the configuration
	pools     map[string]*runningPool    // by name
	admin     *adminListener             // nil: no admin listener
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

// Start starts a service with its first configuration. The live view and the metrics show the version.
func Start(c *config.Loaded, version string) (*Service, error) {
	s := &Service{version: version, started: time.Now(), failed: make(chan error, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.responseMemory = budget.New(0)
	s.endpoints = pool.NewEndpointRegistry(s.ctx, c.Limits.NodeConnections)
	s.listWatcher = endpointlist.NewWatcher(s.ctx, listPollInterval, logWatchState)
	s.state.Store(newRuntimeState(nil, -1)) // the first configuration does not count as a reload
	s.sharedOverrides = &sharedOverrides{pools: func() map[string]*runningPool { return s.state.Load().pools }}
	if err := s.Apply(c); err != nil {
		s.cancel()
		return nil, err
	}
	return s, nil
}

// Failed returns the channel that receives the error of a client listener that stopped serving unexpectedly. It keeps
// one error; further ones are dropped until that one is received.
func (s *Service) Failed() <-chan error { return s.failed }

// Stop shuts down gracefully: it returns once all accepted requests are answered.
func (s *Service) Stop() {
	current := s.state.Load()
	var listeners sync.WaitGroup
	for _, l := range current.listeners {
		listeners.Go(l.Stop)
	}
	listeners.Wait()
	for _, p := range current.pools {
		s.retirePool(p)
	}
	s.retiring.Wait()
	if current.admin != nil {
		current.admin.stop()
	}
	s.sharedOverrides.close()
	s.cancel()
}

// Address returns the address that a client listener is bound to, given the one in the configuration. The two differ if
// the configuration leaves the port to the system. It returns nil if there is no such listener.
func (s *Service) Address(configured string) net.Addr {
	if l := s.state.Load().listeners[configured]; l != nil {
		return l.address
	}
	return nil
}

// AdminAddress returns the address that the admin listener is bound to, or nil if there is none.
func (s *Service) AdminAddress() net.Addr {
	if a := s.state.Load().admin; a != nil {
		return a.address
	}
	return nil
}
