package proxy

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
)

// Balancer is a platform's balancer: one front and one pool.
type Balancer struct {
	config Config
	loop   *loop
	desk   *platform
	front  *frontend
	end    context.CancelFunc
	before *Predecessor // nil: no other process served before this one
	other  atomic.Pointer[sibling]
	began  atomic.Bool // to serve clients
}

// Start makes a balancer for the clients of a listener. Its pool follows discovery at once, and clients are served by Run.
// before is the process whose place it takes, and whose listener this is; nil: none.
func Start(c Config, listener net.Listener, before *Predecessor) (*Balancer, error) {
	life, end := context.WithCancel(context.Background())
	l := newLoop(life, c.spec())
	if before != nil {
		l.maint.Merge(before.state.Held)
	}
	if err := l.start(c.Seed, &c.Known); err != nil {
		end()
		return nil, err
	}
	go l.run()
	b := &Balancer{config: c, loop: l, desk: newPlatform(c.Settings.Classes, l), end: end, before: before}
	b.front = newFrontend(b.desk, listener, c.clientConns())
	b.front.spare = c.requestConns()
	b.front.spool.free.Store(int64(c.MemoryMB) << 20 / 8)
	b.front.drain(before != nil && before.state.Standby)
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
	go func() { served <- b.front.serve() }()
	for {
		select {
		case c := <-reloads:
			b.loop.post(reloaded{c, b.desk})
		case err := <-served:
			return err
		case <-ctx.Done():
			if s := b.other.Load(); s != nil && s.ready.Load() {
				b.front.handOver(s.link)
			} else {
				b.front.stop()
			}
			return nil
		}
	}
}
