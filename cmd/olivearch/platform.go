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

	"clayladder/internal/manage"
	"clayladder/internal/proxy"
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
	slog.Info("starting", "name", c.Name, "listen", c.Listen, "known", len(c.Known.Members))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	b, err := proxy.Start(c, listener)
	if err != nil {
		return err
	}
	if c.Management != "" {
		calls, err := net.Listen("tcp", c.Management)
		if err != nil {
			return fmt.Errorf("listening for the staff's calls: %w", err)
		}
		go manage.Serve(context.Background(), calls, b) // to the end: staff may ask while what was taken is answered
	}
	reloads := make(chan proxy.Config, 1)
	go reload(hangups, c, reloads)
	if err := b.Run(ctx, reloads); err != nil {
		return err
	}
	slog.Info("stopped", "name", c.Name)
	return nil
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
