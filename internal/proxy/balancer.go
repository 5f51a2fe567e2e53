package proxy

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"

	"olivearch/internal/frontend"
	"olivearch/internal/override"
	"olivearch/internal/pool"
)

// Balancer is a platform's balancer: one client server and one pool. Operators' commands may come from any goroutine.
type Balancer struct {
	config          Config // of the start
	pool            *pool.Pool
	router          *platformRouter
	server          *frontend.Server
	cancel          context.CancelFunc          // ends the pool and the shared overrides
	previous        *PreviousProcess            // nil: this process takes over from none
	peer            atomic.Pointer[peerProcess] // nil: there is no other process now
	serving         atomic.Bool                 // clients are served, or will be at once
	sharedOverrides *sharedOverrides            // nil: it takes no part in a coordination cluster
}

// Start makes a balancer for the clients of a listener. Its pool follows discovery at once; clients are served by Run.
// previous is the process that it takes over from, and whose listener this is; nil: none.
func Start(config Config, listener net.Listener, previous *PreviousProcess) (*Balancer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var overrides map[string]override.Entry
	var standby bool
	if previous != nil {
		overrides, standby = previous.state.Overrides, previous.state.Standby
	}
	upstreams, err := pool.New(ctx, config.poolSpec(), nil, overrides)
	if err != nil {
		cancel()
		return nil, err
	}
	started := &Balancer{
		config:   config,
		pool:     upstreams,
		router:   newPlatformRouter(config.Settings.Classes, upstreams),
		cancel:   cancel,
		previous: previous,
	}
	if config.Coordination != nil {
		started.sharedOverrides = newSharedOverrides(config.Name, config.Coordination)
		started.sharedOverrides.attach(started.applySharedOverrides, upstreams.ReleaseLocalOverride)
		context.AfterFunc(ctx, started.sharedOverrides.close)
	}
	started.server = frontend.New(started.router, listener, frontend.DefaultLimits(config.clientConns()))
	started.server.SetKeepAliveLimit(config.requestConns())
	started.server.SetSpoolBytes(config.bodyBufferBytes())
	started.server.Drain(standby)
	return started, nil
}

// Run serves clients until ctx ends, and then until all requests that were accepted are answered. Each configuration
// from reloads replaces the one before.
func (b *Balancer) Run(ctx context.Context, reloads <-chan Config) error {
	defer b.cancel()
	if b.previous != nil {
		b.takeOver(ctx, b.previous)
	}
	b.serving.Store(true)
	if b.config.TakeoverPath != "" {
		if err := b.listenForTakeover(ctx, b.config.TakeoverPath); err != nil {
			slog.Warn("takeover requests not accepted", "err", err)
		}
	}
	served := make(chan error, 1)
	go func() { served <- b.server.Serve() }()
	for {
		select {
		case config := <-reloads:
			b.reload(config)
		case err := <-served:
			return err
		case <-ctx.Done():
			b.stopServing()
			return nil
		}
	}
}

// reload gives the pool a new configuration, and then the router its classes: once clients may name a class, the
// decision module knows it.
func (b *Balancer) reload(config Config) {
	b.pool.Reload(config.poolSpec(), func() { b.router.setClasses(config.Settings.Classes) })
}

// stopServing returns once all requests are answered. Other client connections go to the peer process if that has begun
// to serve, and are closed if not.
func (b *Balancer) stopServing() {
	if peer := b.peer.Load(); peer != nil && peer.hasServed() {
		b.server.HandOver(peer.link)
	} else {
		b.server.Stop()
	}
}
