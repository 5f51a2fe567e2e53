package balancer

import (
	"testing"
	"time"
)

// A restarted proxy once counted healthy upstreams as silent at their second answer, because usual
// latency began without a deviation; the rest of the fleet then choked.
func TestFirstAnswersDoNotShortenResponseTimeout(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	serve(t, b, time.Hour, 1)
	serve(t, b, time.Hour, 2)
	if p := b.responseTimeout(b.upstreams[0], 1); p < 150*ms {
		t.Errorf("timeout %v after an answer in 50ms", p)
	}
}

func TestUnresponsiveUpstreamIsSkippedAndItsRequestsRestart(t *testing.T) {
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
		t.Error("the request did not start again elsewhere")
	}
}

// Where flows are thin an upstream's mean is about its last answer; one quick answer once made the next, usual one
// look like silence, and the upstream's turns were skipped.
func TestOneQuickAnswerDoesNotShortenResponseTimeout(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(1))
	u := b.upstreams[0]
	for i, lat := range []time.Duration{100, 110, 100, 90, 10, 10} {
		answerAfter(b, u, lat*ms, time.Hour+time.Duration(i)*time.Second)
	}
	if p := b.responseTimeout(u, 1); p < 200*ms {
		t.Errorf("timeout %v where answers take 100ms as a rule", p)
	}
}

// An upload that is still coming owes no answer, whatever time it takes; from its last byte on it does.
func TestUploadOwesNothingUntilSent(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	for i := range RequestID(40) { // its usual latency is known
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
		t.Error("unresponsive while the body comes")
	}
	b.BodySent(at+30*time.Second, 100, 0)
	if b.checkResponsive(u, at+30*time.Second+5*ms); u.outlier.unresponsive {
		t.Error("unresponsive at once")
	}
	if b.checkResponsive(u, at+40*time.Second); !u.outlier.unresponsive {
		t.Error("not unresponsive ten seconds after the last byte")
	}
}

// Five deviations over the mean, at least three and a half times the fleet's mean, and a tick of 18.75 ms.
func TestResponseTimeout(t *testing.T) {
	const tick = 18750 * time.Microsecond
	for _, c := range []struct {
		name                   string
		mean, deviation, fleet time.Duration
		work                   float64
		want                   time.Duration
	}{
		{"by its own answers", 100 * ms, 20 * ms, 10 * ms, 1, 200*ms + tick},
		{"by the fleet's", 10 * ms, 0, 100 * ms, 1, 350*ms + tick},
		{"three times the work", 100 * ms, 20 * ms, 10 * ms, 3, 600*ms + tick},
		{"little work takes no less", 100 * ms, 20 * ms, 10 * ms, 0.1, 200*ms + tick},
	} {
		b, _ := start(t, settings(), fleet(1))
		b.latency = float64(c.fleet)
		b.upstreams[0].latency = latencyStats{mean: float64(c.mean), deviation: float64(c.deviation)}
		if got := b.responseTimeout(b.upstreams[0], c.work); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
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
		{"none", nil, nil},
		{"the earliest", []*attempt{late, early}, early},
		{"an upload owes nothing", []*attempt{upload, late}, late},
		{"uploads only", []*attempt{upload}, nil},
	} {
		if got := (&upstreamState{inFlight: c.inFlight}).oldestAwaited(); got != c.want {
			t.Errorf("%s: not the one", c.name)
		}
	}
}

// A request whose upstream is silent is hedged or, where that is not allowed, cancelled to start again.
func TestRestartElsewhere(t *testing.T) {
	for _, c := range []struct {
		name            string
		class           string
		hedging, cancel bool
		done            bool
		sent, cancelled int
	}{
		{"hedged", "read", true, true, false, 1, 0},
		{"cancelled", "read", false, true, false, 0, 1},
		{"neither is allowed", "read", false, false, false, 0, 0},
		{"it must not run twice", "write", true, true, false, 0, 0},
		{"it has its answer", "read", true, true, true, 0, 0},
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
			t.Errorf("%s: %v", c.name, h.lines)
		}
	}
}
