package upstream

import (
	"testing"
	"time"
)

// An attempt leaves its first stage once. Whether a later call succeeds depends on the stage that was entered.
func TestAttemptStages(t *testing.T) {
	drop := func(a *Attempt) bool { return a.Drop() }
	claim := func(a *Attempt) bool { return a.Claim(new(recordingWaiter)) }
	giveUp := func(a *Attempt) bool { return a.GiveUp(longAgo) }
	for _, c := range []struct {
		name     string
		previous func(*Attempt) bool // nil: the attempt is in its first stage
		call     func(*Attempt) bool
		succeeds bool
	}{
		{name: "drop", call: drop, succeeds: true},
		{name: "claim", call: claim, succeeds: true},
		{name: "give up", call: giveUp},
		{name: "drop, then drop", previous: drop, call: drop},
		{name: "drop, then claim", previous: drop, call: claim},
		{name: "drop, then give up", previous: drop, call: giveUp},
		{name: "claim, then drop", previous: claim, call: drop},
		{name: "claim, then claim", previous: claim, call: claim},
		{name: "claim, then give up", previous: claim, call: giveUp, succeeds: true},
	} {
		attempt := new(Attempt)
		if c.previous != nil {
			want(t, c.name+": the first call", c.previous(attempt), true)
		}
		want(t, c.name, c.call(attempt), c.succeeds)
	}
}

// recordingWaiter is a ResponseWaiter that records until when it shall wait.
type recordingWaiter struct{ until time.Time }

func (w *recordingWaiter) GiveUp(at time.Time) { w.until = at }

func (w *recordingWaiter) HasUnread() bool { return true }

// GiveUp passes its time to the waiter that the transport has passed to Claim.
func TestGiveUpReachesTheTransport(t *testing.T) {
	attempt := new(Attempt)
	waiter := new(recordingWaiter)
	want(t, "unread before the claim", attempt.HasUnreadResponse(), false)
	attempt.Claim(waiter)
	attempt.GiveUp(longAgo)
	want(t, "time", waiter.until, longAgo)
	want(t, "unread", attempt.HasUnreadResponse(), true)
}
