// Command olivearch is a load balancer for a fleet of HTTP servers. It is told what
// to do by the RELAY_ environment variables, and ends in good order on SIGTERM.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"clayladder/internal/proxy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "olivearch:", err)
		os.Exit(1)
	}
}

func run() error {
	c, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The machine has one core. Collecting later costs memory, which the soft limit bounds, and saves time.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	slog.Info("starting", "name", c.Name, "listen", c.Listen, "known", len(c.Known.Members))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	if err := proxy.Run(ctx, c, listener); err != nil {
		return err
	}
	slog.Info("stopped", "name", c.Name)
	return nil
}
