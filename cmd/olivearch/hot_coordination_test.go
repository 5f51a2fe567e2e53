package main

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"olivearch/internal/coordination/client"
)

const manyIdentify = 500 // requests in one write

// identifyWithoutPause sends one request after another to a coordination server and reads the answers beside it.
func identifyWithoutPause(conn net.Conn, _ string) {
	hello := client.Hello{Role: client.RoleClient, Name: "hot"}
	if client.WriteFrame(conn, hello.Encode()) != nil {
		return
	}
	go func() { discardAnswer(conn) }()
	var requests strings.Builder
	for number := range manyIdentify {
		request := client.Request{Number: uint64(number + 1), Operation: client.OpIdentify, Within: time.Second}
		_ = client.WriteFrame(&requests, request.Encode()) // a strings.Builder takes everything
	}
	for {
		if _, err := io.WriteString(conn, requests.String()); err != nil {
			return
		}
	}
}

// hotCoordinationClients keep coordination servers busy without a pause.
var hotCoordinationClients = []hostileClients{
	{"identify requests without a pause", hotConnections, 0, identifyWithoutPause, leave, false},
	{"connect to a coordination server and close", hotConnections, 0, sendNothing, leave, false},
}

// TestHotClientsLeaveCoordinationServers guards against reads that fail or are late, and leaders that are lost, because
// other clients keep the servers busy.
func TestHotClientsLeaveCoordinationServers(t *testing.T) {
	const limit, pauses = 250 * time.Millisecond, 20 * time.Millisecond
	for _, hot := range hotCoordinationClients {
		t.Run(hot.name, func(t *testing.T) {
			cluster := startCoordinationCluster(t, t.TempDir())
			cluster.awaitLeader(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for _, address := range cluster.addresses {
				process := startHostile(ctx, t, hot, address)
				defer func() { _ = process.Wait() }() // it is killed
			}
			defer cancel()
			caller := client.New("test", cluster.addresses)
			defer caller.Close()
			var outcomes honestOutcomes
			for end := time.Now().Add(hostileTime); time.Now().Before(end); <-time.After(pauses) {
				began := time.Now()
				withLimit, release := context.WithTimeout(ctx, time.Second)
				_, _, err := caller.Read(withLimit)
				release()
				outcomes.note(honestOutcome{began, time.Now(), err == nil, limit})
			}
			t.Logf("reads: %v", &outcomes)
			if !outcomes.areInTime() {
				t.Errorf("reads: %v", &outcomes)
			}
		})
	}
}
