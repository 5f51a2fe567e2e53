package proxy

import (
	"context"
	"fmt"
	"net"
)

// Run serves until ctx ends, and then until all that was taken is answered.
func Run(ctx context.Context, c Config) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	l := newLoop(life, &c)
	if err := l.start(&c); err != nil {
		return err
	}
	go l.run()
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	f := newFrontend(&c, listener, l.post, l.now)
	served := make(chan error, 1)
	go func() { served <- f.serve() }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
		f.stop()
		return nil
	}
}
