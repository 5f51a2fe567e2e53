package server

import (
	"testing"
	"time"

	"olivearch/internal/coordination/client"
)

// A request is stale if it was delayed for longer than its client waits.
func TestStaleRequest(t *testing.T) {
	const tick = 1000
	maxDelay := uint64((time.Second + client.StaleAfter) / time.Millisecond)
	cases := []struct {
		name  string
		tick  uint64
		now   uint64
		delay uint64 // 0: not stale
	}{
		{"tick unknown", 0, 1 << 40, 0},
		{"at once", tick, tick, 0},
		{"in time", tick, tick + maxDelay, 0},
		{"late", tick, tick + maxDelay + 1, maxDelay + 1},
	}
	for _, c := range cases {
		r := request{Request: client.Request{Tick: c.tick, Within: time.Second}}
		if delay, stale := r.stale(c.now); delay != c.delay || stale != (c.delay > 0) {
			t.Errorf("%s: delay %d ms, stale %v", c.name, delay, stale)
		}
	}
}
