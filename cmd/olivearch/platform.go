package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"golang.org/x/sys/unix"

	"olivearch/internal/admincmd"
	"olivearch/internal/proxy"
)

// platform runs one pool as a platform tells by the RELAY_ environment variables.
func platform() error {
	// Signals are caught before anything slow: one that comes during the start must not end the program.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	c, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The machine has one core. Collecting later costs memory, which the soft limit bounds, and saves time.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	slog.Info("starting", "name", c.Name, "listen", c.Listen, "known", len(c.InitialEndpoints.Members))
	// An old process of this balancer may still serve: this one then takes its place.
	var before *proxy.PreviousProcess
	var listener net.Listener
	if c.TakeoverPath != "" {
		if before, err = proxy.TakeOver(c.TakeoverPath, c.Listen); err == nil {
			slog.Info("taking the place of a process that serves")
			listener = before.Listener
		} else if !errors.Is(err, os.ErrNotExist) {
			slog.Warn("no old process hands over", "why", err)
		}
	}
	if listener == nil {
		if listener, err = listen(c.Listen); err != nil {
			return fmt.Errorf("listening for clients: %w", err)
		}
	}
	b, err := proxy.Start(c, listener, before)
	if err != nil {
		return err
	}
	if c.AdminAddress != "" {
		calls, err := net.Listen("tcp", c.AdminAddress)
		if err != nil {
			return fmt.Errorf("listening for the staff's calls: %w", err)
		}
		go admincmd.Serve(context.Background(), calls, b) // to the end: staff may ask while what was taken is answered
	}
	reloads := make(chan proxy.Config, 1)
	go reload(hangups, c, reloads)
	if err := b.Run(ctx, reloads); err != nil {
		return err
	}
	slog.Info("stopped", "name", c.Name)
	return nil
}

// listen listens for clients beside an old process that may still do, where that does not hand its listener over.
func listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		if err := raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); err != nil {
			return err
		}
		return set
	}}
	return c.Listen(context.Background(), "tcp", address)
}

// reload reads the configuration again on each SIGHUP. A bad one is logged, and the one before stays.
func reload(hangups <-chan os.Signal, before proxy.Config, reloads chan<- proxy.Config) {
	for range hangups {
		c, err := proxy.ReloadConfig(os.Getenv, before)
		if err != nil {
			slog.Error("reading the configuration again: the old one stays", "err", err)
			continue
		}
		before = c
		reloads <- c
	}
}
