package discovery

import (
	"testing"
	"time"
)

// TestChangeIsNotifiedInTime adds up the worst cases from a change to its event, from the limits of this package and of
// the decision module (docs/design/membership.md). None may exceed NotifiedWithin.
func TestChangeIsNotifiedInTime(t *testing.T) {
	const (
		firstBackoff = 470 * time.Millisecond  // the decision module's: up to 3/2 of 1/32 of 10 s
		lastBackoff  = 2250 * time.Millisecond // up to 3/2 of maxWatchBackoff
		queueTime    = 2 * time.Second         // how long the service queues a call before it rejects it
	)
	for _, test := range []struct {
		name  string
		parts []time.Duration
	}{
		{
			"polled: a watch becomes unresponsive, the list changes, the next call is queued",
			[]time.Duration{WatchWait, WatchGrace, firstBackoff, queueTime},
		},
		{
			"polled: the service is back right after a call failed",
			[]time.Duration{lastBackoff, queueTime},
		},
		{
			"polled: a call for the complete list hangs while the service comes back",
			[]time.Duration{ListTimeout, firstBackoff, queueTime},
		},
		{
			"pushed: a watch becomes unresponsive",
			[]time.Duration{PushWait, PushGrace, WatchPause, PushGrace},
		},
	} {
		sum := time.Duration(0)
		for _, part := range test.parts {
			sum += part
		}
		if sum > NotifiedWithin {
			t.Errorf("%s: %v, want at most %v", test.name, sum, NotifiedWithin)
		}
	}
}
