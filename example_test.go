package clayladder_test

import (
	"fmt"
	"time"

	"clayladder"
)

// proxy carries out what the balancer decides; the embedded Host stands for the actions not shown.
type proxy struct{ clayladder.Host }

func (proxy) Send(id clayladder.RequestID, up clayladder.UpstreamID, timeout time.Duration) {
	fmt.Printf("request %d goes to upstream %d\n", id, up)
}

func (proxy) SetTimer(after time.Duration, token uint64) {} // call b.Timer(now, token) when it is due

func Example() {
	settings := clayladder.Settings{
		Balancers: 1,
		Classes: []clayladder.Class{{Name: "lookup", Aim: 300 * time.Millisecond,
			Deadline: time.Second, Repeat: clayladder.Safe, Worth: 1}},
		Limits: clayladder.Limits{MaxAttempts: 3, Cancel: true},
		Rules: clayladder.Rules{ColdFrom: 0.3, RampTime: 9 * time.Second,
			TipMultiple: 3, TipAfter: 2 * time.Second},
	}
	b, err := clayladder.New(settings, 1, 0, proxy{})
	if err != nil {
		panic(err)
	}
	b.Members(0, clayladder.ListFull, []clayladder.Upstream{{ID: 7, Weight: 1}})
	b.Request(time.Millisecond, clayladder.Request{ID: 1, Class: "lookup", Budget: time.Second})
	b.Outcome(21*time.Millisecond, clayladder.Outcome{ID: 1, Upstream: 7, Latency: 20 * time.Millisecond,
		Status: clayladder.OK, Closed: true})
	// Output: request 1 goes to upstream 7
}
