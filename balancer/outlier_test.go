package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestOutlierErrorRate(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed []bool
		rate   float64
	}{
		{"no answers", nil, 0},
		{"a success", []bool{false}, 0},
		{"an error", []bool{true}, 0.125},
		{"two errors", []bool{true, true}, 0.234375},
		{"an error, then a success", []bool{true, false}, 0.109375},
	} {
		var o outlierDetector
		for _, failed := range c.failed {
			o.recordAnswer(failed)
		}
		if !near(o.errorRate, c.rate) || o.answers != len(c.failed) {
			t.Errorf("%s: rate %v of %d, want %v", c.name, o.errorRate, o.answers, c.rate)
		}
	}
}

// Errors up to the mean rate of the fleet cut no share, and neither does an excess of up to a quarter, which may be
// chance. Beyond it the share falls with the fourth power.
func TestOutlierShareFactor(t *testing.T) {
	for _, c := range []struct{ rate, fleet, excess, factor float64 }{
		{0, 0, 0, 1},
		{0.25, 0, 0.25, 1},
		{0.625, 0, 0.625, 0.0625},
		{0.8, 0.6, 0.2, 1},
		{0.5, 0.6, 0, 1},
		{1, 0, 1, 0.015625},
		{0.99, 0, 0.99, 0.015625},
	} {
		o := outlierDetector{errorRate: c.rate}
		if !near(o.excessErrorRate(c.fleet), c.excess) || !near(o.shareFactor(c.fleet), c.factor) {
			t.Errorf("%+v: excess %v, factor %v", c, o.excessErrorRate(c.fleet), o.shareFactor(c.fleet))
		}
	}
}

// An upstream is ejected for 1 s. After that a request of the safest class may be the trial, and 1 s later a request of
// any class. Each trial doubles the wait.
func TestOutlierTrials(t *testing.T) {
	var o outlierDetector
	o.eject(time.Hour, time.Second)
	for i, c := range []struct {
		after          time.Duration
		safest, others bool // whether a trial is due for the safest class and for others
	}{
		{time.Second - 1, false, false},
		{time.Second, true, false},
		{2*time.Second - 1, true, false},
		{2 * time.Second, true, true},
	} {
		now := time.Hour + c.after
		if o.trialDue(true, now) != c.safest || o.trialDue(false, now) != c.others {
			t.Errorf("case %d: due for the safest class %v, for others %v", i, o.trialDue(true, now), o.trialDue(false, now))
		}
	}
	o.trialSent(2 * time.Hour)
	if o.trialAt != 2*time.Hour+time.Second || o.backoff != 2*time.Second || !o.unresponsive {
		t.Errorf("after a trial: %+v", o)
	}
	o.responded(3*time.Hour, 20*ms)
	if o.unresponsive || o.backoff != 20*ms || o.lastResponseAt != 3*time.Hour {
		t.Errorf("after a response: %+v", o)
	}
}

func TestOutlierConnectFailed(t *testing.T) {
	o := outlierDetector{backoff: 100 * ms}
	for i, want := range []struct{ wait, backoff time.Duration }{
		{100 * ms, 200 * ms},
		{200 * ms, 400 * ms},
		{400 * ms, 500 * ms}, // the limit
		{500 * ms, 500 * ms},
	} {
		retryAt := o.connectFailed(time.Hour, 500*ms)
		if retryAt != time.Hour+want.wait || o.backoff != want.backoff {
			t.Errorf("failure %d: retry after %v, next backoff %v; want %+v", i, retryAt-time.Hour, o.backoff, want)
		}
	}
}

func TestOutlierRestart(t *testing.T) {
	o := outlierDetector{answers: 7, errorRate: 0.5, unresponsive: true, backoff: time.Second}
	o.restart()
	if o.answers != 0 || o.errorRate != 0 || !o.unresponsive || o.backoff != time.Second {
		t.Errorf("after a restart: %+v", o)
	}
}

// flow sends n requests, 5 ms apart. Each is answered after 20 ms, or at once with an error by an upstream for which
// failing returns true. It returns the numbers of attempts to the first upstream, of failures, and of all attempts.
func flow(
	t *testing.T, b *Balancer, from time.Duration, first RequestID, n int, failing func(u *upstreamState) bool,
) (toFirst, failed, sent int) {
	t.Helper()
	f := flowState{b: b, failing: failing, now: from, seen: map[*attempt]bool{}}
	for i := range n {
		f.now += 5 * ms
		for len(f.due) > 0 && f.due[0].at <= f.now {
			b.AttemptFinished(f.now, f.due[0].o)
			f.due = f.due[1:]
		}
		if i%3 == 0 {
			b.TimerFired(f.now, tickToken)
		}
		b.RequestArrived(f.now, Request{ID: first + RequestID(i), Class: "write", Budget: time.Second})
		for f.answerNew(i) { // a failure may lead to another attempt
		}
	}
	for _, d := range f.due {
		b.AttemptFinished(f.now+20*ms, d.o)
	}
	return f.toFirst, f.failed, f.sent
}

// flowState is the state of a call of flow.
type flowState struct {
	b                     *Balancer
	failing               func(u *upstreamState) bool
	now                   time.Duration
	due                   []scheduledResult
	seen                  map[*attempt]bool
	toFirst, failed, sent int
}

// answerNew answers the attempts in flight that it has not seen before, and reports whether there were any.
func (f *flowState) answerNew(i int) (found bool) {
	for _, u := range f.b.upstreams {
		for _, a := range slices.Clone(u.inFlight) {
			if f.seen[a] {
				continue
			}
			f.seen[a], found = true, true
			f.answer(a, i)
		}
	}
	return found
}

// answer lets an attempt fail at once, or schedules its answer.
func (f *flowState) answer(a *attempt, i int) {
	f.sent++
	if a.upstream == f.b.upstreams[0] {
		f.toFirst++
	}
	o := AttemptResult{
		ID: a.request.ID, Upstream: a.upstream.ID, Latency: 20 * ms, Status: OK, Closed: true,
		Load: Load{Fields: HasUtilisation, Utilisation: 0.3 + float64(i%7)/1000},
	}
	if f.failing(a.upstream) {
		o.Status, o.Latency, o.Closed = Error, ms, false
		f.failed++
		f.b.AttemptFinished(f.now, o)
		return
	}
	f.due = append(f.due, scheduledResult{f.now + 20*ms, o})
}

// An upstream that answers all requests with errors gets only trial requests, at growing intervals. Once it answers
// without errors it gets its share again.
func TestFailingUpstreamGetsOnlyTrials(t *testing.T) {
	b, _ := start(t, settings(), fleet(5))
	none := func(*upstreamState) bool { return false }
	flow(t, b, time.Hour, 1, 1000, none)
	first := func(u *upstreamState) bool { return u == b.upstreams[0] }
	_, failed, sent := flow(t, b, time.Hour+10*time.Second, 10000, 2000, first)
	if failed == 0 || failed > 20 || sent < 1990 {
		t.Errorf("%d of %d sent failed within 10 s, want a few trials", failed, sent)
	}
	flow(t, b, time.Hour+30*time.Second, 20000, 2000, none)
	toFirst, _, sent := flow(t, b, time.Hour+50*time.Second, 30000, 1000, none)
	if toFirst < sent/8 {
		t.Errorf("%d of %d sent to it after its recovery, want about a fifth", toFirst, sent)
	}
}

// Errors that all upstreams return are due to the requests, so no share is cut and all requests are sent.
func TestErrorsOfAllUpstreamsCutNoShare(t *testing.T) {
	for _, n := range []int{1, 2, 5} {
		b, _ := start(t, settings(), fleet(n))
		flow(t, b, time.Hour, 1, 600, func(*upstreamState) bool { return true })
		_, _, sent := flow(t, b, time.Hour+10*time.Second, 10000, 600, func(*upstreamState) bool { return true })
		if sent < 590 {
			t.Errorf("%d upstreams: %d of 600 sent", n, sent)
		}
	}
}
