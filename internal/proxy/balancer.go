package proxy

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"olivearch/internal/budget"
	"olivearch/internal/frontend"
	"olivearch/internal/override"
	"olivearch/internal/pool"
)

// transferLimit is how long a shutdown waits for bodies that still move: the platform's SIGKILL may come 3.7 s after
// SIGTERM, of which the server's first steps take 0.65 s.
const transferLimit = 3 * time.Second

// Balancer is a platform's balancer: one frontend server and one pool. The methods for operators' commands may be
// called from any goroutine.
type Balancer struct {
	config          Config // at the start
	pool            *pool.Pool
	router          *platformRouter
	server          *frontend.Server
	cancel          context.CancelFunc          // stops the pool and the shared overrides
	previous        *PreviousProcess            // to take over from; nil: none
	peer            atomic.Pointer[peerProcess] // nil: no hot restart is in progress
	serving         atomic.Bool                 // clients are served, or are about to be
	responseMemory  *budget.Budget              // bytes of responses that the pool holds
	sharedOverrides *sharedOverrides            // nil: no coordination cluster is configured
}

// Start creates a balancer for the clients of a listener and starts its pool, which follows discovery. Run serves the
// clients. previous is the process to take over from, which also serves the listener; nil: none. Start fails if the
// settings are not valid.
func Start(config Config, listener net.Listener, previous *PreviousProcess) (*Balancer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var overrides map[string]override.Entry
	var standby bool
	if previous != nil {
		overrides, standby = previous.state.Overrides, previous.state.Standby
	}
	responseMemory := budget.New(config.responseBytes())
	upstreamPool, err := pool.New(ctx, config.poolSpec(responseMemory), nil, overrides)
	if err != nil {
		cancel()
		return nil, err
	}
	started := &Balancer{
		config:   config,
		pool:     upstreamPool,
		router:   newPlatformRouter(config.Settings.Classes, upstreamPool),
		cancel:   cancel,
		previous: previous,

		responseMemory: responseMemory,
	}
	if config.Coordination != nil {
		started.sharedOverrides = newSharedOverrides(config.Name, config.Coordination)
		started.sharedOverrides.attach(started.applySharedOverrides, upstreamPool.ReleaseLocalOverride)
		context.AfterFunc(ctx, started.sharedOverrides.close)
	}
	started.server = frontend.New(started.router, listener, frontend.DefaultLimits(config.maxClientConns()))
	started.server.SetKeepAliveLimit(config.keepAliveLimit())
	started.server.SetSpoolBytes(config.spoolBytes())
	started.server.SetUploadPlaces(config.maxUploads())
	started.server.SetTransferLimit(transferLimit)
	started.server.Drain(standby)
	return started, nil
}

// Run serves clients until ctx ends, and returns once all accepted requests are answered. Each configuration from
// reloads replaces the current one.
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

// reload gives the pool a new configuration, and then the router its classes: a class must be known to the decision
// module before clients may name it.
func (b *Balancer) reload(config Config) {
	b.pool.Reload(config.poolSpec(b.responseMemory), func() { b.router.setClasses(config.Settings.Classes) })
}

// stopServing returns once all accepted requests are answered. Client connections without a request are handed over to
// the peer process if it has begun to serve, and closed otherwise.
func (b *Balancer) stopServing() {
	if peer := b.peer.Load(); peer != nil && peer.hasServed() {
		b.server.HandOver(peer.link)
	} else {
		b.server.Stop()
	}
}
