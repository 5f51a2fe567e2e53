package server

import (
	"testing"
	"time"

	"olivearch/internal/coordination/client"
)

// A request is stale once it has waited for longer than its client does.
func TestStaleRequest(t *testing.T) {
	const tick = 1000
	patience := uint64((time.Second + client.StaleAfter) / time.Millisecond)
	cases := []struct {
		name  string
		tick  uint64
		now   uint64
		delay uint64 // 0: not stale
	}{
		{"no time is known", 0, 1 << 40, 0},
		{"at once", tick, tick, 0},
		{"in time", tick, tick + patience, 0},
		{"late", tick, tick + patience + 1, patience + 1},
	}
	for _, c := range cases {
		r := request{Request: client.Request{Tick: c.tick, Within: time.Second}}
		if delay, stale := r.stale(c.now); delay != c.delay || stale != (c.delay > 0) {
			t.Errorf("%s: %d %v", c.name, delay, stale)
		}
	}
}
