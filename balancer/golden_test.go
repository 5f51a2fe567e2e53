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

// TestGoldenSnapshotKeys pins the JSON keys and the names of statistics in a Snapshot, which processes of other
// versions may read.
func TestGoldenSnapshotKeys(t *testing.T) {
	var b Balancer
	var u upstreamState
	var text strings.Builder
	text.WriteString(golden.Keys(reflect.TypeFor[Snapshot](), "json"))
	fmt.Fprintln(&text, "fleet", slices.Sorted(maps.Keys(b.figures())))
	fmt.Fprintln(&text, "upstream", slices.Sorted(maps.Keys(u.figures())))
	golden.Compare(t, "memory-keys.txt", text.String())
}

// TestGoldenSnapshot pins the Snapshot after a fixed sequence of events, and that of a Balancer that has restored it.
func TestGoldenSnapshot(t *testing.T) {
	b := newBalancerWithHistory(t)
	text, err := json.MarshalIndent(b.Snapshot(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "memory.json", string(text)+"\n")

	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	restored := newBalancerWithUpstreams(t)
	restored.Restore(3*time.Second, snapshot)
	again, err := json.MarshalIndent(restored.Snapshot(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "memory-recalled.json", string(again)+"\n")
}

// newBalancerWithUpstreams returns a Balancer with three upstreams and no history.
func newBalancerWithUpstreams(t *testing.T) *Balancer {
	t.Helper()
	b, err := New(settings(), 1, 0, &silentHost{})
	if err != nil {
		t.Fatal(err)
	}
	b.EndpointsUpdated(0, ListFull, fleet(3))
	return b
}

// newBalancerWithHistory returns a Balancer that has recorded answers with and without load reports, errors and
// timeouts.
func newBalancerWithHistory(t *testing.T) *Balancer {
	t.Helper()
	b := newBalancerWithUpstreams(t)
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
			outcome.Load = Load{Fields: HasUtilisation, Utilisation: float64(i%10) / 10}
		}
		b.AttemptFinished(now+time.Millisecond, outcome)
	}
	return b
}

// sendRecorder is a Host that records the upstream of the last send.
type sendRecorder struct {
	silentHost
	upstream UpstreamID
}

func (h *sendRecorder) Send(_ RequestID, upstream UpstreamID, _ time.Duration) { h.upstream = upstream }
