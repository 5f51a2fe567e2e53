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
	config Config
	pool   *pool.Pool
	desk   *platform
	front  *frontend.Server
	end    context.CancelFunc
	before *PreviousProcess // nil: no other process served before this one
	other  atomic.Pointer[sibling]
	began  atomic.Bool // to serve clients

	promises *promises // nil: it takes no part in a ledger
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
	b := &Balancer{config: c, pool: p, desk: newPlatform(c.Settings.Classes, p), end: end, before: before}
	if c.Promises != nil {
		b.promises = newPromises(c.Name, c.Promises)
		b.promises.attach(b.govern, p.ReleaseLocalOverride)
		context.AfterFunc(life, b.promises.close)
	}
	b.front = frontend.New(b.desk, listener, frontend.Usual(c.clientConns()))
	b.front.Spare(c.requestConns())
	b.front.Spool(int64(c.MemoryMB) << 20 / 8)
	b.front.Drain(before != nil && before.state.Standby)
	return b, nil
}

// Run serves clients until ctx ends, and then until all that was taken is answered. Each configuration from reloads takes
// the place of the one before.
func (b *Balancer) Run(ctx context.Context, reloads <-chan Config) error {
	defer b.end()
	if b.before != nil {
		b.succeed(ctx, b.before)
	}
	b.began.Store(true)
	if b.config.Meeting != "" {
		if err := b.await(ctx, b.config.Meeting); err != nil {
			slog.Warn("a later process can't take this one's place", "why", err)
		}
	}
	served := make(chan error, 1)
	go func() { served <- b.front.Serve() }()
	for {
		select {
		case c := <-reloads:
			b.pool.Reload(c.spec(), func() { b.desk.adopt(c.Settings.Classes) }) // after the module: what a client may ask for it knows
		case err := <-served:
			return err
		case <-ctx.Done():
			if s := b.other.Load(); s != nil && s.ready.Load() {
				b.front.HandOver(s.link)
			} else {
				b.front.Stop()
			}
			return nil
		}
	}
}
