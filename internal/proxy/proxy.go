package proxy

import (
	"context"
	"net"
)

// Run serves the clients of listener until ctx ends, and then until all that was taken is answered. Each
// configuration from reloads takes the place of the one before.
func Run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Config) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	l := newLoop(life, c.spec())
	if err := l.start(c.Seed, &c.Known); err != nil {
		return err
	}
	go l.run()
	f := newFrontend(newPlatform(c.Settings.Classes, l), listener, c.clientConns())
	f.spare = c.requestConns()
	served := make(chan error, 1)
	go func() { served <- f.serve() }()
	for {
		select {
		case c := <-reloads:
			l.post(reloaded{c})
		case err := <-served:
			return err
		case <-ctx.Done():
			f.stop()
			return nil
		}
	}
}
