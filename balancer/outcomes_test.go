package balancer

import (
	"math"
	"testing"
	"time"
)

func TestRepeatedReportIsNoReading(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	for i, util := range []float64{0.5, 0.5, 0.6, 0.6, 0.5} {
		b.recordLoad(u, Load{Fields: HasUtil, Util: util}, true, 0, time.Hour+time.Duration(i)*ms)
	}
	if u.band.readings != 3 {
		t.Errorf("%d readings, want 3", u.band.readings)
	}
}

func TestStandInReadings(t *testing.T) {
	for _, c := range []struct {
		name string
		via  ReportVia
		load Load
		late float64
		want float64
	}{
		{"utilisation", ReportAnswers, Load{Fields: HasUtil | HasQueue, Util: 0.7, Queue: 9}, 0.2, 0.7},
		{"held", ReportAnswers, Load{Fields: HasInflight, Inflight: 3}, 0.2, 0.75},
		{"waiting", ReportAnswers, Load{Fields: HasQueue, Queue: 1}, 0.2, 0.5},
		{"no reports: latency against the aim", ReportNone, Load{}, 0.2, 0.2},
	} {
		s := settings()
		s.Reports = c.via
		b, _ := start(t, s, fleet(1))
		if b.recordLoad(b.upstreams[0], c.load, true, c.late, time.Hour); math.Abs(b.upstreams[0].band.mean-c.want) > 1e-9 {
			t.Errorf("%s: reading %v, want %v", c.name, b.upstreams[0].band.mean, c.want)
		}
	}
}

// Nodes that report nothing are judged by their latency: the one that a neighbour slows is cut, as with reports, and
// the others keep theirs. Once it reports, reports count.
func TestSilentUpstreamIsCutByItsLatency(t *testing.T) {
	s := settings()
	s.Reports = ReportAnswers
	b, h := start(t, s, fleet(4))
	now, id := time.Hour, RequestID(0)
	var sent UpstreamID
	h.hook = func(kind string, _ RequestID, up UpstreamID, _ time.Duration, _ uint64) {
		if kind == "send" {
			sent = up
		}
	}
	play := func(length time.Duration, load Load) {
		for end := now + length; now < end; now += 5 * ms {
			id++
			b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
			lat := 10 * ms
			if sent == 1 && id > 400 {
				lat = 45 * ms
			}
			b.AttemptFinished(now+lat, AttemptResult{ID: id, Upstream: sent, Latency: lat, Status: OK, Load: load})
			now += lat
			b.TimerFired(now, tickToken)
		}
	}
	play(16*time.Second, Load{})
	views, _ := b.View(now)
	for i, v := range views {
		if !v.Estimated || (v.ShareFactor < 0.5) != (i == 0) || (v.Mean > 0.6) != (i == 0) {
			t.Errorf("upstream %d: %+v", v.ID, v)
		}
	}
	play(time.Second, Load{Fields: HasUtil, Util: 0.3})
	if views, _ = b.View(now); views[1].Estimated {
		t.Error("an upstream that reports is estimated")
	}
}

// A restarted proxy once counted healthy upstreams as silent at their second answer, because usual
// latency began without a deviation; the rest of the fleet then choked.
func TestFirstAnswersDoNotMakePatienceShort(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	serve(t, b, time.Hour, 1)
	serve(t, b, time.Hour, 2)
	if p := b.responseTimeout(b.upstreams[0], 1); p < 150*ms {
		t.Errorf("patience %v after an answer in 50ms", p)
	}
}

func TestSilentUpstreamIsSkippedAndItsWorkRescued(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	for i := range 40 {
		serve(t, b, time.Hour, RequestID(i+1))
	}
	b.RequestArrived(time.Hour, Request{ID: 100, Class: "read", Budget: time.Second})
	u := b.requests[100].attempts[0].upstream
	now := time.Hour + b.responseTimeout(u, 1) + 20*ms
	b.TimerFired(now, tickToken)
	if !u.outlier.unresponsive || h.count("cancel id=100") != 1 {
		t.Fatalf("silent %v; %v", u.outlier.unresponsive, h.lines[len(h.lines)-4:])
	}
	b.AttemptFinished(now, AttemptResult{ID: 100, Upstream: u.ID, Latency: 400 * ms, Status: Cancelled})
	if r := b.requests[100]; r == nil || r.inFlight != 1 || r.attempts[1].upstream == u {
		t.Error("the request did not start again elsewhere")
	}
}

// Where flows are thin an upstream's mean is about its last answer; one quick answer once made the next, usual one
// look like silence, and the upstream's turns were skipped.
func TestOneQuickAnswerDoesNotMakePatienceShort(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(1))
	u := b.upstreams[0]
	for i, lat := range []time.Duration{100, 110, 100, 90, 10, 10} {
		answerAfter(b, u, lat*ms, time.Hour+time.Duration(i)*time.Second)
	}
	if p := b.responseTimeout(u, 1); p < 200*ms {
		t.Errorf("patience %v where answers take 100ms as a rule", p)
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
		t.Error("silent while the body comes")
	}
	b.BodySent(at+30*time.Second, 100, 0)
	if b.checkResponsive(u, at+30*time.Second+5*ms); u.outlier.unresponsive {
		t.Error("silent at once")
	}
	if b.checkResponsive(u, at+40*time.Second); !u.outlier.unresponsive {
		t.Error("not silent ten seconds after the last byte")
	}
}
