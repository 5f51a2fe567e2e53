package balancer

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"olivearch/internal/golden"
)

// TestGoldenMemoryKeys pins the keys of what a Balancer hands to the process that takes its place.
func TestGoldenMemoryKeys(t *testing.T) {
	var b Balancer
	var u upstreamState
	var text strings.Builder
	text.WriteString(golden.Keys(reflect.TypeFor[Snapshot](), "json"))
	fmt.Fprintln(&text, "fleet", slices.Sorted(maps.Keys(b.figures())))
	fmt.Fprintln(&text, "upstream", slices.Sorted(maps.Keys(u.figures())))
	golden.Compare(t, "memory-keys.txt", text.String())
}

// TestGoldenMemory pins what is handed over after a fixed course of events: each learnt figure under its own key.
func TestGoldenMemory(t *testing.T) {
	b := learntBalancer(t)
	text, err := json.MarshalIndent(b.Snapshot(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "memory.json", string(text)+"\n")

	var m Snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	fresh := goldenBalancer(t)
	fresh.Restore(3*time.Second, m)
	again, err := json.MarshalIndent(fresh.Snapshot(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "memory-recalled.json", string(again)+"\n")
}

// goldenBalancer returns a Balancer that has been told three upstreams.
func goldenBalancer(t *testing.T) *Balancer {
	t.Helper()
	b, err := New(settings(), 1, 0, &silentHost{})
	if err != nil {
		t.Fatal(err)
	}
	b.EndpointsUpdated(0, ListFull, fleet(3))
	return b
}

// learntBalancer returns one that has seen answers with and without load reports, errors and a timeout.
func learntBalancer(t *testing.T) *Balancer {
	t.Helper()
	b := goldenBalancer(t)
	sent := &sendRecorder{}
	b.host = sent
	for i := range 400 {
		now := time.Duration(i) * 5 * time.Millisecond
		if i%4 == 0 {
			b.TimerFired(now, tickToken)
		}
		id := RequestID(i + 1)
		sent.upstream = 0
		class, cost := []string{"read", "keyed", "write"}[i%3], time.Duration(i%5)*time.Millisecond
		b.RequestArrived(now, Request{ID: id, Class: class, Budget: time.Second, Cost: cost})
		if sent.upstream == 0 {
			continue
		}
		latency := time.Duration(15+i%7) * time.Millisecond
		outcome := AttemptResult{ID: id, Upstream: sent.upstream, Latency: latency, Closed: true}
		switch {
		case i%50 == 49:
			outcome.Status = Error
		case i%90 == 89:
			outcome.Status = Timeout
		case i%2 == 0:
			outcome.Load = Load{Fields: HasUtil, Util: float64(i%10) / 10}
		}
		b.AttemptFinished(now+time.Millisecond, outcome)
	}
	return b
}

// sendRecorder is a Host that notes to which upstream the last request went.
type sendRecorder struct {
	silentHost
	upstream UpstreamID
}

func (h *sendRecorder) Send(_ RequestID, upstream UpstreamID, _ time.Duration) { h.upstream = upstream }
