package discovery

import (
	"testing"
	"time"
)

// TestChangeIsNotifiedInTime checks the worst cases from a change to its event against what the protocol allows, by the
// bounds of this package and of the decision module (docs/design/membership.md).
func TestChangeIsNotifiedInTime(t *testing.T) {
	const (
		firstBackoff = 470 * time.Millisecond  // of the decision module: up to 3/2 of a 32nd of 10 s
		lastBackoff  = 2250 * time.Millisecond // up to 3/2 of maxWatchBackoff
		queueTime    = 2 * time.Second         // for which the service lets a call wait before it rejects it
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
