package fleet

import (
	"runtime"
	"testing"
	"time"
)

// TestClockStandsStillWhileProcessIsHeldUp guards against an answer that counts as late because this process, with its
// clients, was held up.
func TestClockStandsStillWhileProcessIsHeldUp(t *testing.T) {
	start := time.Now()
	clock := &processClock{tickedAt: start}
	for _, step := range []struct {
		name string
		at   time.Duration // since the start
		tick bool
		want time.Duration
	}{
		{"between two ticks", 3 * time.Millisecond, false, 3 * time.Millisecond},
		{"a tick in time", 5 * time.Millisecond, true, 5 * time.Millisecond},
		{"a tick that is a little late", 25 * time.Millisecond, true, 25 * time.Millisecond},
		{"held up for 140 ms", 165 * time.Millisecond, false, 50 * time.Millisecond},
		{"the tick after it", 166 * time.Millisecond, true, 50 * time.Millisecond},
		{"from then on as before", 170 * time.Millisecond, true, 54 * time.Millisecond},
	} {
		at := start.Add(step.at)
		if got := clock.at(at); got != step.want {
			t.Errorf("%s: got %v, want %v", step.name, got, step.want)
		}
		if step.tick {
			clock.tick(at)
		}
	}
}

// TestClockRunsWithItsProcess guards against a clock that stands still although the process runs.
func TestClockRunsWithItsProcess(t *testing.T) {
	clock := newProcessClock()
	defer clock.stopTicking()
	const length = 200 * time.Millisecond
	limit := time.Now().Add(20 * time.Second)
	for clock.now() < length {
		if time.Now().After(limit) {
			t.Fatalf("the clock shows %v after 20 s", clock.now())
		}
		runtime.Gosched()
	}
}
