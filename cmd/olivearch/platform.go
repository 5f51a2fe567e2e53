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
	"olivearch/internal/cpushare"
	"olivearch/internal/proxy"
)

// platform runs the balancer that the RELAY_ environment variables configure, until SIGTERM or SIGINT.
func platform() error {
	// Signals are caught before anything slow, so that one during the start does not kill the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	configuration, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	limitResources(configuration.MemoryMB)
	slog.Info("balancer starting", "name", configuration.Name, "address", configuration.Listen,
		"endpoints", len(configuration.InitialEndpoints.Members))
	previous := takeOver(configuration)
	listener, err := clientListener(configuration, previous)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	balancer, err := proxy.Start(configuration, listener, previous)
	if err != nil {
		return err
	}
	if configuration.AdminAddress != "" {
		operators, err := net.Listen("tcp", configuration.AdminAddress)
		if err != nil {
			return fmt.Errorf("listening for operators' commands: %w", err)
		}
		// Serve runs until the process ends, since operators may send commands while the last requests are answered. It
		// never returns an error.
		go func() { _ = admincmd.Serve(context.Background(), cpushare.NewListener(operators), balancer) }()
	}
	reloads := make(chan proxy.Config, 1)
	go forwardReloads(hangups, configuration, reloads)
	if err := balancer.Run(ctx, reloads); err != nil {
		return err
	}
	slog.Info("balancer stopped", "name", configuration.Name)
	return nil
}

// limitResources adapts the Go runtime to the machine, which has one core. Less frequent garbage collection saves CPU
// time and costs memory, which the soft limit bounds.
func limitResources(memoryMB int) {
	const (
		gcPercent       = 400
		softLimitTenths = 6 // of the configured memory
	)
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMB) << 20 * softLimitTenths / 10)
}

// takeOver takes over from a process of this balancer that still serves. It returns nil if there is none or if that
// process does not hand over.
func takeOver(configuration proxy.Config) *proxy.PreviousProcess {
	if configuration.TakeoverPath == "" {
		return nil
	}
	previous, err := proxy.TakeOver(configuration.TakeoverPath, configuration.Listen)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		slog.Warn("previous process not taken over", "err", err)
		return nil
	}
	slog.Info("process taken over")
	return previous
}

// clientListener returns the listener that the previous process has handed over, or else a new one.
func clientListener(configuration proxy.Config, previous *proxy.PreviousProcess) (net.Listener, error) {
	if previous != nil && previous.Listener != nil {
		return previous.Listener, nil
	}
	return listenShared(configuration.Listen, configuration.Sockets)
}

// listenShared listens for clients with SO_REUSEPORT, beside a previous process that may still listen. At most backlog
// connections wait to be accepted: the queue is first come, first served, and the longer it is, the longer do clients
// wait behind others that connect without a pause.
func listenShared(address string, backlog int) (net.Listener, error) {
	listenConfig := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return withDescriptor(conn, func(descriptor int) error {
			return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
	}}
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := limitBacklog(listener, backlog); err != nil {
		slog.Warn("accept queue not limited", "err", err)
	}
	return listener, nil
}

// limitBacklog sets how many connections may wait to be accepted (listen(2)).
func limitBacklog(listener net.Listener, backlog int) error {
	socket, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	return withDescriptor(socket, func(descriptor int) error { return unix.Listen(descriptor, backlog) })
}

// withDescriptor calls use with the descriptor of a socket.
func withDescriptor(socket syscall.RawConn, use func(descriptor int) error) error {
	var useErr error
	err := socket.Control(func(descriptor uintptr) { useErr = use(int(descriptor)) })
	return errors.Join(err, useErr)
}

// forwardReloads loads the configuration at each SIGHUP and sends it on reloads. If it is invalid, the error is logged
// and the current one stays in force.
func forwardReloads(hangups <-chan os.Signal, current proxy.Config, reloads chan<- proxy.Config) {
	for range hangups {
		next, err := proxy.ReloadConfig(os.Getenv, current)
		if err != nil {
			slog.Error("configuration not reloaded", "err", err)
			continue
		}
		current = next
		reloads <- next
	}
}
