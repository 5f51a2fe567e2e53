package balancer

import (
	"testing"
	"time"
)

func TestFailedDiscoveryIsAskedAgainLaterEachTime(t *testing.T) {
	s := settings()
	s.PollDiscovery = true
	b, h := start(t, s, fleet(1))
	if h.count("watch") != 1 {
		t.Fatal("did not subscribe at the start")
	}
	var last time.Duration
	for range 3 {
		b.EndpointsUpdated(time.Hour, ListFailed, nil)
		if b.watchBackoff <= last {
			t.Errorf("wait %v after %v", b.watchBackoff, last)
		}
		last = b.watchBackoff
	}
	b.TimerFired(time.Hour, watchToken)
	if h.count("watch") != 2 || len(b.upstreams) != 1 {
		t.Error("did not ask again, or lost the list")
	}
}

// Without a list, with an emptied one, and for a budget that is used up, the answer is true and comes at once or
// within the budget.
func TestNobodyToSendTo(t *testing.T) {
	b, h := start(t, settings(), nil)
	b.RequestArrived(time.Hour, Request{ID: 1, Class: "write", Budget: 0})
	b.RequestArrived(time.Hour, Request{ID: 2, Class: "write", Budget: -time.Second})
	b.RequestArrived(time.Hour, Request{ID: 3, Class: "no such class", Budget: time.Second})
	if h.count("refuse") != 3 {
		t.Errorf("not rejected at once: %v", h.lines)
	}
	b.EndpointsUpdated(time.Hour, ListFull, fleet(4))
	b.EndpointsUpdated(time.Hour, ListFull, nil)
	b.RequestArrived(time.Hour, Request{ID: 4, Class: "write", Budget: time.Second})
	for now := time.Hour; now < time.Hour+time.Second; now += 10 * ms {
		b.TimerFired(now, tickToken)
	}
	b.ClientLeft(time.Hour+time.Second, 77)
	b.ResponseStarted(time.Hour+time.Second, 77, 0)
	b.AttemptFinished(time.Hour+time.Second, AttemptResult{ID: 4, Attempt: -1})
	if h.count("refuse id=4") != 1 || h.count("send") != 0 {
		t.Errorf("with an emptied list: %v", h.lines)
	}
}
