package balancer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures the arrival of a request and the end of its attempt, by the number of upstreams. A request
// arrives every millisecond, and every twentieth comes with a tick.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := settings()
			s.Balancers = 1
			bal, err := New(s, 1, 0, &silentHost{})
			if err != nil {
				b.Fatal(err)
			}
			bal.EndpointsUpdated(0, ListCached, fleet(n))
			now := time.Duration(0)
			for i := range b.N {
				now += ms
				if i%20 == 0 {
					bal.TimerFired(now, tickToken)
				}
				id := RequestID(i + 1)
				bal.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second})
				if r := bal.requests[id]; r != nil && r.inFlight > 0 {
					upstream := r.attempts[0].upstream.ID
					bal.AttemptFinished(now, AttemptResult{ID: id, Upstream: upstream, Latency: 50 * ms, Status: OK, Closed: true})
				}
			}
		})
	}
}
