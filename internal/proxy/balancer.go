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

// Balancer is a platform's balancer: one front and one pool.
type Balancer struct {
	config   Config
	pool     *pool.Pool
	router   *platformRouter
	server   *frontend.Server
	cancel   context.CancelFunc
	previous *PreviousProcess // nil: no other process served before this one
	peer     atomic.Pointer[peerProcess]
	serving  atomic.Bool // to serve clients

	sharedOverrides *sharedOverrides // nil: it takes no part in a ledger
}

// Start makes a balancer for the clients of a listener. Its pool follows discovery at once, and clients are served by Run.
// before is the process whose place it takes, and whose listener this is; nil: none.
func Start(c Config, listener net.Listener, before *PreviousProcess) (*Balancer, error) {
	life, end := context.WithCancel(context.Background())
	var held map[string]override.Entry
	if before != nil {
		held = before.state.Overrides
	}
	p, err := pool.New(life, c.spec(), nil, held)
	if err != nil {
		end()
		return nil, err
	}
	b := &Balancer{config: c, pool: p, router: newPlatformRouter(c.Settings.Classes, p), cancel: end, previous: before}
	if c.Promises != nil {
		b.sharedOverrides = newSharedOverrides(c.Name, c.Promises)
		b.sharedOverrides.attach(b.applySharedOverrides, p.ReleaseLocalOverride)
		context.AfterFunc(life, b.sharedOverrides.close)
	}
	b.server = frontend.New(b.router, listener, frontend.Usual(c.clientConns()))
	b.server.Spare(c.requestConns())
	b.server.Spool(int64(c.MemoryMB) << 20 / 8)
	b.server.Drain(before != nil && before.state.Standby)
	return b, nil
}

// Run serves clients until ctx ends, and then until all that was taken is answered. Each configuration from reloads takes
// the place of the one before.
func (b *Balancer) Run(ctx context.Context, reloads <-chan Config) error {
	defer b.cancel()
	if b.previous != nil {
		b.takeOver(ctx, b.previous)
	}
	b.serving.Store(true)
	if b.config.Meeting != "" {
		if err := b.listenForTakeover(ctx, b.config.Meeting); err != nil {
			slog.Warn("failed to listen for takeover requests", "err", err)
		}
	}
	served := make(chan error, 1)
	go func() { served <- b.server.Serve() }()
	for {
		select {
		case c := <-reloads:
			b.pool.Reload(c.spec(), func() { b.router.adopt(c.Settings.Classes) }) // after the module: what a client may ask for it knows
		case err := <-served:
			return err
		case <-ctx.Done():
			if peer := b.peer.Load(); peer != nil && peer.hasServed() {
				b.server.HandOver(peer.link)
			} else {
				b.server.Stop()
			}
			return nil
		}
	}
}
