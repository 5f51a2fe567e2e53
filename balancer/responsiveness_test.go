package balancer

import (
	"testing"
	"time"
)

// When the deviation of the latency began at 0, a restarted proxy ejected healthy upstreams at their second answer, and
// the remaining upstreams were overloaded.
func TestFirstAnswersDoNotShortenResponseTimeout(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	serve(t, b, time.Hour, 1)
	serve(t, b, time.Hour, 2)
	if timeout := b.responseTimeout(b.upstreams[0], 1); timeout < 150*ms {
		t.Errorf("timeout %v after an answer in 50 ms, want at least 150 ms", timeout)
	}
}

func TestRequestsOfUnresponsiveUpstreamAreRetriedElsewhere(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	for i := range 40 {
		serve(t, b, time.Hour, RequestID(i+1))
	}
	b.RequestArrived(time.Hour, Request{ID: 100, Class: "read", Budget: time.Second})
	u := b.requests[100].attempts[0].upstream
	now := time.Hour + b.responseTimeout(u, 1) + 20*ms
	b.TimerFired(now, tickToken)
	if !u.outlier.unresponsive || h.count("cancel id=100") != 1 {
		t.Fatalf("unresponsive %v; %v", u.outlier.unresponsive, h.lines[len(h.lines)-4:])
	}
	b.AttemptFinished(now, AttemptResult{ID: 100, Upstream: u.ID, Latency: 400 * ms, Status: Cancelled})
	if r := b.requests[100]; r == nil || r.inFlight != 1 || r.attempts[1].upstream == u {
		t.Error("the request was not retried at another upstream")
	}
}

// Where an upstream's answers are rare, its mean latency is close to that of its last answer. After one fast answer, an
// answer of usual latency came after the timeout, and the upstream was ejected.
func TestOneFastAnswerDoesNotShortenResponseTimeout(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(1))
	u := b.upstreams[0]
	for i, latency := range []time.Duration{100, 110, 100, 90, 10, 10} {
		answerAfter(b, u, latency*ms, time.Hour+time.Duration(i)*time.Second)
	}
	if timeout := b.responseTimeout(u, 1); timeout < 200*ms {
		t.Errorf("timeout %v where most answers take about 100 ms, want at least 200 ms", timeout)
	}
}

// While an upload is forwarded, no answer is expected, however long that takes. The response timeout runs from its last
// byte on.
func TestResponseTimeoutStartsAfterUpload(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	for i := range RequestID(40) { // so that the upstream has a mean latency
		at := time.Hour + time.Duration(i)*20*ms
		b.RequestArrived(at, Request{ID: i + 1, Class: "write", Budget: time.Second})
		b.AttemptFinished(at+10*ms, AttemptResult{ID: i + 1, Upstream: 1, Latency: 10 * ms, Status: OK})
	}
	at := time.Hour + time.Second
	b.RequestArrived(at, Request{ID: 100, Class: "write", Budget: time.Minute, BodyStreaming: true})
	if h.count("send id=100") != 1 {
		t.Fatalf("not sent: %v", h.lines[max(0, len(h.lines)-4):])
	}
	u := b.byID[1]
	b.checkResponsive(u, at+30*time.Second)
	if u.outlier.unresponsive {
		t.Error("unresponsive during the upload")
	}
	b.BodySent(at+30*time.Second, 100, 0)
	if b.checkResponsive(u, at+30*time.Second+5*ms); u.outlier.unresponsive {
		t.Error("unresponsive 5 ms after the last byte")
	}
	if b.checkResponsive(u, at+40*time.Second); !u.outlier.unresponsive {
		t.Error("not unresponsive ten seconds after the last byte")
	}
}

// The timeout is five deviations over the upstream's mean latency, but at least 3.5 times the fleet's mean latency,
// plus a tick of 18.75 ms.
func TestResponseTimeout(t *testing.T) {
	const tick = 18750 * time.Microsecond
	for _, c := range []struct {
		name                   string
		mean, deviation, fleet time.Duration
		work                   float64
		want                   time.Duration
	}{
		{"from its own latency", 100 * ms, 20 * ms, 10 * ms, 1, 200*ms + tick},
		{"from the fleet's latency", 10 * ms, 0, 100 * ms, 1, 350*ms + tick},
		{"three times the work", 100 * ms, 20 * ms, 10 * ms, 3, 600*ms + tick},
		{"less work does not shorten it", 100 * ms, 20 * ms, 10 * ms, 0.1, 200*ms + tick},
	} {
		b, _ := start(t, settings(), fleet(1))
		b.latency = float64(c.fleet)
		b.upstreams[0].latency = latencyStats{mean: float64(c.mean), deviation: float64(c.deviation)}
		if got := b.responseTimeout(b.upstreams[0], c.work); got != c.want {
			t.Errorf("%s: timeout %v, want %v", c.name, got, c.want)
		}
	}
}

func TestOldestAwaited(t *testing.T) {
	at := func(sentAt time.Duration, streaming bool) *attempt {
		return &attempt{request: &request{Request: Request{BodyStreaming: streaming}}, sentAt: sentAt}
	}
	early, late, upload := at(1, false), at(2, false), at(0, true)
	for _, c := range []struct {
		name     string
		inFlight []*attempt
		want     *attempt
	}{
		{"no attempts", nil, nil},
		{"the earliest", []*attempt{late, early}, early},
		{"no answer is expected during an upload", []*attempt{upload, late}, late},
		{"uploads only", []*attempt{upload}, nil},
	} {
		if got := (&upstreamState{inFlight: c.inFlight}).oldestAwaited(); got != c.want {
			t.Errorf("%s: not the attempt expected", c.name)
		}
	}
}

// A request at an unresponsive upstream is hedged or, where hedging is not permitted, cancelled so that it is retried.
func TestRetryElsewhere(t *testing.T) {
	for _, c := range []struct {
		name            string
		class           string
		hedging, cancel bool
		done            bool
		sent, cancelled int
	}{
		{"hedged", "read", true, true, false, 1, 0},
		{"cancelled", "read", false, true, false, 0, 1},
		{"neither is permitted", "read", false, false, false, 0, 0},
		{"non-idempotent", "write", true, true, false, 0, 0},
		{"already answered", "read", true, true, true, 0, 0},
	} {
		s := settings()
		s.Limits.Hedging, s.Limits.Cancel = c.hedging, c.cancel
		b, h := start(t, s, fleet(4))
		b.RequestArrived(time.Hour, Request{ID: 1, Class: c.class, Budget: time.Second})
		r := b.requests[1]
		r.done = c.done
		h.lines = nil
		b.retryElsewhere(r.attempts[0], time.Hour+ms)
		if h.count("send id=1") != c.sent || h.count("cancel id=1") != c.cancelled {
			t.Errorf("%s: unexpected actions: %v", c.name, h.lines)
		}
	}
}
