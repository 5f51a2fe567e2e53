package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/standin/peers"
)

// Traffic is what requests saw, without changes and while one came every second.
type Traffic struct {
	Rate    float64 `json:"requests_a_second"`
	Without Seen    `json:"without_changes"`
	With    Seen    `json:"with_changes"`
	Rounds  []Seen  `json:"rounds_with_changes"` // With is the one in which the relay added least
	Changes int     `json:"changes"`
	WaitP99 float64 `json:"wait_p99_ms"` // what changes add at p99
}

// all are what was seen without and with changes, in order.
func (t *Traffic) all() []Seen {
	if len(t.Rounds) == 0 { // of an earlier form
		return []Seen{t.Without, t.With}
	}
	return append([]Seen{t.Without}, t.Rounds...)
}

// wrong is how many requests were not answered 200.
func (t *Traffic) wrong() (n int) {
	for _, s := range t.all() {
		n += s.Wrong
	}
	return n
}

// Seen are latencies in ms. Added is what the balancer adds: the requests' quantile less that of as many sent to a node straight, at
// the same time. Relay is what a bare relay of bytes adds to as many, the least that anything between them can on this machine then.
type Seen struct {
	Asked    int            `json:"asked"`
	Wrong    int            `json:"wrong"` // not answered 200
	How      map[string]int `json:"wrong_by_answer,omitempty"`
	P50      float64        `json:"p50_ms"`
	P99      float64        `json:"p99_ms"`
	Most     float64        `json:"most_ms"`
	Direct99 float64        `json:"direct_p99_ms"`
	AddedP50 float64        `json:"added_p50_ms"`
	AddedP99 float64        `json:"added_p99_ms"`
	Relay50  float64        `json:"relay_added_p50_ms"`
	Relay99  float64        `json:"relay_added_p99_ms"`
	Resident float64        `json:"resident_mb"` // at the end
	CPU      float64        `json:"cpu"`         // part of a core
}

// Rounds go on until a relay alone adds at most so much at p99, in ms, or there are so many: a machine shared with others has seconds in which
// it adds 2 ms, and what the balancer adds can't be told then.
const (
	relayQuiet = 0.4
	roundsMost = 4
)

// The traffic of one of 1,500 balancers of a fleet with 250,000 requests a second.
const rate = 167

func (r *rig) trafficFor() time.Duration {
	if r.full {
		return 12 * time.Second
	}
	return 3 * time.Second
}

// traffic sends requests over all services, first without and then with changes.
func (r *rig) traffic(ctx context.Context, b *balancer) (*Traffic, error) {
	t := &Traffic{Rate: rate}
	bare, err := peers.StartRelay([]string{r.nodes.At(0)})
	if err != nil {
		return nil, err
	}
	defer bare.Stop()
	relay := bare.Named(peers.Relay).Address
	if _, err := r.seen(ctx, b, relay, 1, time.Second); err != nil { // the client's own first connections
		return nil, err
	}
	if t.Without, err = r.seen(ctx, b, relay, 2, r.trafficFor()); err != nil {
		return nil, err
	}
	changing, end := context.WithCancel(ctx)
	var failed error
	var changer sync.WaitGroup
	changer.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for i := 0; ; i++ {
			kind := kinds[i%len(kinds)]
			if kind == quota && b.site.Tenants == 0 {
				kind = comment
			}
			if _, err := b.change(changing, kind); err != nil {
				if changing.Err() == nil {
					failed = fmt.Errorf("%s: %w", kind, err)
				}
				return
			}
			t.Changes++
			select {
			case <-tick.C:
			case <-changing.Done():
				return
			}
		}
	})
	for n := range roundsMost {
		var s Seen
		if s, err = r.seen(ctx, b, relay, 3+uint64(n), r.trafficFor()); err != nil {
			break
		}
		if t.Rounds = append(t.Rounds, s); n == 0 || s.Relay99 < t.With.Relay99 {
			t.With = s
		}
		if t.With.Relay99 <= relayQuiet {
			break
		}
	}
	end()
	changer.Wait()
	if err == nil {
		err = failed
	}
	t.WaitP99 = t.With.AddedP99 - t.Without.AddedP99
	say("  traffic without changes: p50 %.2f, p99 %.2f (added %.2f, a relay %.2f) ms; with %d changes, the quietest of %d rounds: p50 %.2f, p99 %.2f (added %.2f, a relay %.2f) ms; %d wrong", t.Without.P50,
		t.Without.P99, t.Without.AddedP99, t.Without.Relay99, t.Changes, len(t.Rounds), t.With.P50, t.With.P99, t.With.AddedP99, t.With.Relay99, t.wrong())
	return t, err
}

// seen sends requests for a time, at drawn moments whether or not others are answered, and as many to a node straight and by a relay.
func (r *rig) seen(ctx context.Context, b *balancer, relay string, seed uint64, length time.Duration) (s Seen, err error) {
	s.How = map[string]int{}
	runtime.GC() // what is measured is not this process's collector
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	arrivals := b.site.Arrivals(int(rate*length.Seconds()), seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	var through, direct, relayed []float64
	var senders sync.WaitGroup
	began, used := time.Now(), b.cpu()
	at := time.Duration(0)
	straight := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer straight.CloseIdleConnections()
	get := func(address string) (float64, error) {
		sent := time.Now()
		resp, err := straight.Get("http://" + address + "/")
		took := ms(time.Since(sent))
		if err == nil {
			resp.Body.Close()
		}
		return took, err
	}
	for _, a := range arrivals {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if err := rest(ctx, time.Until(began.Add(at))); err != nil {
			return s, err
		}
		tenant := ""
		if a.Tenant >= 0 {
			tenant = capacity.Tenant(a.Tenant)
		}
		order := rng.Perm(3) // what comes first finds processors asleep
		senders.Go(func() {
			var status int
			var took, tookDirect, tookRelay float64
			var err, directErr, relayErr error
			for _, way := range order {
				switch way {
				case 0:
					sent := time.Now()
					status, _, err = b.ask(capacity.Host(a.Service), tenant, 5*time.Second)
					took = ms(time.Since(sent))
				case 1:
					tookDirect, directErr = get(r.nodes.At(0))
				case 2:
					tookRelay, relayErr = get(relay)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			through = append(through, took)
			if err != nil || status != http.StatusOK {
				s.Wrong++
				how := fmt.Sprint(status)
				if err != nil {
					how = "no answer"
				}
				s.How[how]++
			}
			if directErr == nil {
				direct = append(direct, tookDirect)
			}
			if relayErr == nil {
				relayed = append(relayed, tookRelay)
			}
		})
	}
	senders.Wait()
	s.Asked = len(through)
	s.P50, s.P99, s.Most = capacity.Quantile(through, 0.5), capacity.Quantile(through, 0.99), capacity.Quantile(through, 1)
	s.Direct99 = capacity.Quantile(direct, 0.99)
	s.AddedP50, s.AddedP99 = s.P50-capacity.Quantile(direct, 0.5), s.P99-s.Direct99
	s.Relay50, s.Relay99 = capacity.Quantile(relayed, 0.5)-capacity.Quantile(direct, 0.5), capacity.Quantile(relayed, 0.99)-s.Direct99
	s.Resident, s.CPU = usage(b).ResidentMB, (b.cpu()-used).Seconds()/time.Since(began).Seconds()
	return s, nil
}
