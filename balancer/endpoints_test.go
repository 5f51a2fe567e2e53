package balancer

import (
	"testing"
	"time"
)

func TestFailedDiscoveryCallBacksOff(t *testing.T) {
	s := settings()
	s.PollDiscovery = true
	b, h := start(t, s, fleet(1))
	if h.count("watch") != 1 {
		t.Fatal("discovery is not watched from the start")
	}
	var last time.Duration
	for range 3 {
		b.EndpointsUpdated(time.Hour, ListFailed, nil)
		if b.watchBackoff <= last {
			t.Errorf("backoff %v after a backoff of %v, want a longer one", b.watchBackoff, last)
		}
		last = b.watchBackoff
	}
	b.TimerFired(time.Hour, watchToken)
	if h.count("watch") != 2 || len(b.upstreams) != 1 {
		t.Error("discovery was not called again, or the endpoint list was lost")
	}
}

// A request without budget or of an unknown class is rejected at once. Once an empty endpoint list has replaced the
// last one, a request is rejected within its budget. Events of unknown requests are ignored.
func TestRequestWithoutUpstreamIsRejected(t *testing.T) {
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
		t.Errorf("with an empty endpoint list, want one rejection and no send: %v", h.lines)
	}
}
