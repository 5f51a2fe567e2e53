package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Hostile clients run in a process of their own: beside them in one process, the honest clients and the upstreams of a
// test would be late by themselves. The test binary is that process if these variables are set.
const (
	hostileVariable        = "OLIVEARCH_TEST_HOSTILE"         // the name of hostileClients
	hostileAddressVariable = "OLIVEARCH_TEST_HOSTILE_ADDRESS" // of the balancer
)

// hostileTime is how long hostile clients go on.
const hostileTime = 3 * time.Second

// hostileClients are clients that each send a request again on a new connection whenever their connection is closed.
type hostileClients struct {
	name    string
	count   int
	limitMB int                                // memory_mb of the balancer
	request func(conn net.Conn, serial string) // sends a request
	answer  func(conn net.Conn)                // receives what comes

	// upstreamsBusy tells that the upstreams' connections are taken, so that only the memory is checked.
	upstreamsBusy bool
}

// run keeps the clients going until ctx ends.
func (h hostileClients) run(ctx context.Context, address string) {
	var clients sync.WaitGroup
	var serial atomic.Int64
	var dialer net.Dialer
	for range h.count {
		clients.Go(func() {
			for ctx.Err() == nil {
				conn, err := dialer.DialContext(ctx, "tcp", address)
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				h.request(conn, fmt.Sprintf("h%015x", serial.Add(1)))
				h.answer(conn)
				stop()
				conn.Close()
			}
		})
	}
	clients.Wait()
}

func TestMain(m *testing.M) {
	name := os.Getenv(hostileVariable)
	if name == "" {
		os.Exit(m.Run())
	}
	ctx, cancel := context.WithTimeout(context.Background(), hostileTime)
	defer cancel()
	for _, hostile := range slices.Concat(unfinishedRequests, hotClients, hotCoordinationClients) {
		if hostile.name == name {
			hostile.run(ctx, os.Getenv(hostileAddressVariable))
		}
	}
}

// playBeside lets honest clients send requests beside hostile ones and returns what became of them.
func playBeside(t *testing.T, hostile hostileClients, honest honestLoad, address string) *honestOutcomes {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	process := startHostile(ctx, t, hostile, address)
	var outcomes honestOutcomes
	var running sync.WaitGroup
	running.Go(func() { honest.run(ctx, address, &outcomes) })
	if err := process.Wait(); err != nil {
		t.Errorf("hostile clients: %v", err)
	}
	cancel()
	running.Wait()
	return &outcomes
}

// startHostile starts the process of hostile clients, which is killed when ctx ends.
func startHostile(ctx context.Context, t testing.TB, hostile hostileClients, address string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	process := exec.CommandContext(ctx, self)
	process.Env = append(os.Environ(), "GODEBUG=", hostileVariable+"="+hostile.name, hostileAddressVariable+"="+address)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	return process
}
