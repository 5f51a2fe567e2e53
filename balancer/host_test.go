package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// recorder is a Host that records each action as a line that begins with its kind, such as "send". Reject is
// recorded as refuse, HealthCheck as probe and CloseIdle as disconnect.
type recorder struct {
	lines []string
	hook  func(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64)
}

func (h *recorder) record(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64) {
	h.lines = append(h.lines, fmt.Sprintf("%s id=%d up=%d d=%v n=%d", kind, id, up, d, n))
	if h.hook != nil {
		h.hook(kind, id, up, d, n)
	}
}

func (h *recorder) Send(id RequestID, up UpstreamID, d time.Duration) { h.record("send", id, up, d, 0) }

func (h *recorder) Reject(id RequestID, d time.Duration) { h.record("refuse", id, 0, d, 0) }

func (h *recorder) Fail(id RequestID) { h.record("fail", id, 0, 0, 0) }

func (h *recorder) Cancel(id RequestID, n int) { h.record("cancel", id, 0, 0, uint64(n)) }

func (h *recorder) HealthCheck(up UpstreamID) { h.record("probe", 0, up, 0, 0) }

func (h *recorder) CloseIdle(up UpstreamID) { h.record("disconnect", 0, up, 0, 0) }

func (h *recorder) WatchEndpoints(on bool) { h.record("watch", 0, 0, 0, 0) }

func (h *recorder) FetchEndpoints() { h.record("fetch", 0, 0, 0, 0) }

func (h *recorder) SetTimer(d time.Duration, n uint64) { h.record("timer", 0, 0, d, n) }

func (h *recorder) Log(text string) { h.record("log: "+text, 0, 0, 0, 0) }

// count returns how many recorded lines begin with prefix.
func (h *recorder) count(prefix string) int {
	n := 0
	for _, l := range h.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

const ms = time.Millisecond

// settings returns valid settings with one class of each kind of idempotency.
func settings() Settings {
	return Settings{
		Zone: "near", Balancers: 2, OverQuotaWeightFactor: 0.1, WeightByWork: true, WarmKeys: true,
		Classes: []Class{
			{
				Name: "read", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: Idempotent,
				PriorityWeight: 1, LateWeightFactor: 0.5,
			},
			{
				Name: "keyed", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: IdempotentWithKey,
				KeyScope: KeyScopeZone, DeduplicationWindow: 400 * ms, PriorityWeight: 3,
			},
			{Name: "write", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: NonIdempotent, PriorityWeight: 2},
		},
		Tenants: NewTenants([]Tenant{{Name: "big", Quota: 200}, {Name: "small", Quota: 20}}),
		Limits:  Limits{Cancel: true, HealthChecks: true, MaxAttempts: 4},
		Rules: Rules{
			PollInterval: 10 * time.Second, SlowStartFloor: 0.3, SlowStartDuration: 9 * time.Second,
			OverloadMultiple: 3, OverloadWindow: 1500 * ms, DrainGrace: time.Second, AnswerSlack: 20 * ms,
		},
		Weights:     WeightNominal,
		Reports:     ReportAnswers,
		Granularity: 5 * ms,
	}
}

// fleet returns n active upstreams in two zones and three cells, which started long ago.
func fleet(n int) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{ID: UpstreamID(i + 1), Zone: []string{"near", "far"}[i%2], Cell: i % 3, Weight: 1}
	}
	return list
}

// start returns a Balancer with an endpoint list, and the recorder of its actions.
func start(t *testing.T, s Settings, list []Upstream) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(s, 1, time.Hour, h)
	if err != nil {
		t.Fatal(err)
	}
	b.EndpointsUpdated(time.Hour, ListCached, list)
	return b, h
}

// serve passes a request to b, which must send it at once, answers it, and returns the upstream that got it.
func serve(t *testing.T, b *Balancer, now time.Duration, id RequestID) *upstreamState {
	t.Helper()
	b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
	r := b.requests[id]
	if r == nil || r.inFlight != 1 {
		t.Fatalf("request %d was not sent", id)
	}
	u := r.attempts[0].upstream
	b.AttemptFinished(now, AttemptResult{ID: id, Upstream: u.ID, Latency: 50 * ms, Status: OK, Closed: true})
	return u
}

// answerAfter records an answer of an upstream to a request of class write and mean work.
func answerAfter(b *Balancer, u *upstreamState, latency, now time.Duration) {
	a := &attempt{request: &request{class: b.classes["write"], work: 1}, upstream: u}
	b.recordOutcome(a, AttemptResult{Latency: latency, Status: OK}, now)
}

// answerIfSent answers the first attempt of a request that has an attempt in flight.
func answerIfSent(b *Balancer, now time.Duration, id RequestID, latency time.Duration) {
	if r := b.requests[id]; r != nil && r.inFlight > 0 {
		upstream := r.attempts[0].upstream.ID
		b.AttemptFinished(now, AttemptResult{ID: id, Upstream: upstream, Latency: latency, Status: OK, Closed: true})
	}
}
