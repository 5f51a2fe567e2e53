package client

import (
	"bytes"
	"fmt"
	"testing"

	"olivearch/internal/coordination/state"
)

// BenchmarkMessages measures the size of messages, in bytes. Each follower receives a heartbeat and sends a ping twice
// a second, receives a command whenever an override is set, and receives the whole state when it connects.
func BenchmarkMessages(b *testing.B) {
	b.Run("heartbeat", benchmarkHeartbeat)
	for _, overrides := range []int{0, 1, 100, 4000} {
		b.Run(fmt.Sprint("state of ", overrides), func(b *testing.B) { benchmarkState(b, overrides) })
	}
}

func benchmarkHeartbeat(b *testing.B) {
	heartbeat := Update{
		Heartbeat: true, Index: 812_345, Leader: "k3", Cluster: 0x9e3779b97f4a7c15, Voters: 5,
		ReachableVoters: 5, Ping: 172_800,
	}
	size := 0.0
	for b.Loop() {
		size = framedSize(b, heartbeat.Encode())
		if _, err := DecodeUpdate(heartbeat.Encode()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(size, "bytes")
	b.ReportMetric(framedSize(b, EncodePing(172_800)), "bytes/ping")
}

func benchmarkState(b *testing.B, overrides int) {
	s, commandSize := state.NewState(), 0
	for i := range overrides {
		command := outOfService(fmt.Sprintf("s-%08x", i))
		command.By, command.Reason = "eva", "disk swap, second try"
		envelope := state.Envelope{Clock: uint64(i) * 1000, Command: command}
		commandSize = len(envelope.Encode())
		if _, err := s.Apply(uint64(i+1), uint64(i)*1000, command); err != nil {
			b.Fatal(err)
		}
	}
	encoded := s.Encode()
	for b.Loop() {
		if _, err := state.DecodeState(encoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "bytes")
	b.ReportMetric(float64(s.UsedBytes()), "bytes-used")
	b.ReportMetric(float64(commandSize), "bytes/command")
}

// framedSize returns the size of a message with its frame, in bytes.
func framedSize(b *testing.B, message []byte) float64 {
	b.Helper()
	var out bytes.Buffer
	if err := WriteFrame(&out, message); err != nil {
		b.Fatal(err)
	}
	return float64(out.Len())
}
