package proxy

import (
	"context"
	"net"
)

// Balancer is a platform's balancer: one front and one pool.
type Balancer struct {
	config Config
	loop   *loop
	desk   *platform
	front  *frontend
	end    context.CancelFunc
}

// Start makes a balancer for the clients of a listener. Its pool follows discovery at once, and clients are served by Run.
func Start(c Config, listener net.Listener) (*Balancer, error) {
	life, end := context.WithCancel(context.Background())
	l := newLoop(life, c.spec())
	if err := l.start(c.Seed, &c.Known); err != nil {
		end()
		return nil, err
	}
	go l.run()
	b := &Balancer{config: c, loop: l, desk: newPlatform(c.Settings.Classes, l), end: end}
	b.front = newFrontend(b.desk, listener, c.clientConns())
	b.front.spare = c.requestConns()
	return b, nil
}

// Run serves clients until ctx ends, and then until all that was taken is answered. Each configuration from reloads takes
// the place of the one before.
func (b *Balancer) Run(ctx context.Context, reloads <-chan Config) error {
	defer b.end()
	served := make(chan error, 1)
	go func() { served <- b.front.serve() }()
	for {
		select {
		case c := <-reloads:
			b.loop.post(reloaded{c, b.desk})
		case err := <-served:
			return err
		case <-ctx.Done():
			b.front.stop()
			return nil
		}
	}
}
