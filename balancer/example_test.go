package balancer_test

import (
	"fmt"
	"time"

	"olivearch/balancer"
)

// proxy is a Host that prints the balancer's sends. The embedded Host stands for the actions not shown.
type proxy struct{ balancer.Host }

func (proxy) Send(id balancer.RequestID, up balancer.UpstreamID, timeout time.Duration) {
	fmt.Printf("request %d goes to upstream %d\n", id, up)
}

func (proxy) SetTimer(after time.Duration, token uint64) {} // call b.TimerFired(now, token) when the time has passed

func Example() {
	settings := balancer.Settings{
		Balancers: 1,
		Classes: []balancer.Class{{
			Name: "lookup", LatencyObjective: 300 * time.Millisecond,
			Deadline: time.Second, Idempotency: balancer.Idempotent, PriorityWeight: 1,
		}},
		Limits: balancer.Limits{MaxAttempts: 3, Cancel: true},
		Rules: balancer.Rules{
			SlowStartFloor: 0.3, SlowStartDuration: 9 * time.Second,
			OverloadMultiple: 3, OverloadWindow: 2 * time.Second,
		},
	}
	b, err := balancer.New(settings, 1, 0, proxy{})
	if err != nil {
		panic(err)
	}
	b.EndpointsUpdated(0, balancer.ListFull, []balancer.Upstream{{ID: 7, Weight: 1}})
	b.RequestArrived(time.Millisecond, balancer.Request{ID: 1, Class: "lookup", Budget: time.Second})
	b.AttemptFinished(21*time.Millisecond, balancer.AttemptResult{
		ID: 1, Upstream: 7, Latency: 20 * time.Millisecond,
		Status: balancer.OK, Closed: true,
	})
	// Output: request 1 goes to upstream 7
}
