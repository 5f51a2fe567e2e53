package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// BenchmarkBusyClientAlone measures what busy clients get from a balancer that has nothing else to do: a balancer that
// makes hot connections wait for others must not slow them down beside nobody.
func BenchmarkBusyClientAlone(b *testing.B) {
	const bodyLength = 200 << 10
	text := make([]byte, bodyLength)
	process := startPlatform(b, hotUpstreams, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the client has left
		}
		if r.Header.Get("X-Long") != "" {
			_, _ = w.Write(text) // the client's side is checked
		}
	})
	const check = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	var serial atomic.Int64
	next := func(fields string, length int) string {
		return platformHead(fmt.Sprintf("%016x", serial.Add(1)), fields, length)
	}
	for _, load := range []struct {
		name  string
		burst int
		text  func() string
	}{
		{"health checks", 1, func() string { return check }},
		{"health checks, 50 at once", 50, func() string { return strings.Repeat(check, 50) }},
		{"requests", 1, func() string { return next("", 0) }},
		{"uploads of 200 KB", 1, func() string { return next("", bodyLength) + string(text) }},
		{"downloads of 200 KB", 1, func() string { return next("X-Long: 1\r\n", 0) }},
	} {
		for _, clients := range []int{1, 6} {
			b.Run(load.name+", clients "+strconv.Itoa(clients), func(b *testing.B) {
				runClients(b, process, clients, load.text, load.burst)
			})
		}
	}
	b.Run("connect, check, close", func(b *testing.B) {
		for range b.N {
			if !isHealthyOnce(process.listen, check) {
				b.Fatal("not healthy")
			}
		}
	})
}

// runClients lets clients send b.N bursts together.
func runClients(b *testing.B, process *platformProcess, clients int, text func() string, burst int) {
	b.Helper()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	done := make(chan error, clients)
	for range clients {
		go func() { done <- sendBursts(process, text, burst, &remaining) }()
	}
	for range clients {
		if err := <-done; err != nil {
			b.Error(err)
		}
	}
	b.ReportMetric(float64(b.N*burst)/b.Elapsed().Seconds(), "responses/s")
}

// sendBursts sends bursts on one connection and reads the responses to each, until none remain.
func sendBursts(process *platformProcess, text func() string, burst int, remaining *atomic.Int64) error {
	conn, err := net.Dial("tcp", process.listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for remaining.Add(-1) >= 0 {
		if _, err := io.WriteString(conn, text()); err != nil {
			return err
		}
		for range burst {
			got, err := readAnswer(reader)
			if err == nil && got.status != http.StatusOK {
				err = fmt.Errorf("status %d", got.status)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// isHealthyOnce makes a health check on a new connection.
func isHealthyOnce(address, check string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, check); err != nil {
		return false
	}
	got, err := readAnswer(bufio.NewReader(conn))
	return err == nil && got.status == http.StatusOK
}
