package balancer

import (
	"testing"
	"time"
)

func TestOutlierErrorRate(t *testing.T) {
	for _, c := range []struct {
		name   string
		failed []bool
		rate   float64
	}{
		{"none", nil, 0},
		{"an answer", []bool{false}, 0},
		{"an error", []bool{true}, 0.125},
		{"two errors", []bool{true, true}, 0.234375},
		{"an error, then an answer", []bool{true, false}, 0.109375},
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

// Errors that all upstreams make cost nobody; a quarter more is chance; beyond it the share falls by the fourth power.
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
		if !near(o.excessErrors(c.fleet), c.excess) || !near(o.shareFactor(c.fleet), c.factor) {
			t.Errorf("%+v: excess %v, factor %v", c, o.excessErrors(c.fleet), o.shareFactor(c.fleet))
		}
	}
}

// Ejected for a second: the safest class has its trial then, others a wait later; each trial doubles the wait.
func TestOutlierTrials(t *testing.T) {
	var o outlierDetector
	o.eject(time.Hour, time.Second)
	for i, c := range []struct {
		after        time.Duration
		safest, rest bool // due for these
	}{
		{time.Second - 1, false, false},
		{time.Second, true, false},
		{2*time.Second - 1, true, false},
		{2 * time.Second, true, true},
	} {
		now := time.Hour + c.after
		if o.trialDue(true, now) != c.safest || o.trialDue(false, now) != c.rest {
			t.Errorf("case %d: due for the safest %v, for others %v", i, o.trialDue(true, now), o.trialDue(false, now))
		}
	}
	o.trialSent(2 * time.Hour)
	if o.trialAt != 2*time.Hour+time.Second || o.backoff != 2*time.Second || !o.unresponsive {
		t.Errorf("after a trial: %+v", o)
	}
	o.responded(3*time.Hour, 20*ms)
	if o.unresponsive || o.backoff != 20*ms || o.answeredAt != 3*time.Hour {
		t.Errorf("after an answer: %+v", o)
	}
}

func TestOutlierConnectFailed(t *testing.T) {
	o := outlierDetector{backoff: 100 * ms}
	for i, want := range []struct{ wait, backoff time.Duration }{
		{100 * ms, 200 * ms},
		{200 * ms, 400 * ms},
		{400 * ms, 500 * ms}, // the longest
		{500 * ms, 500 * ms},
	} {
		retryAt := o.connectFailed(time.Hour, 500*ms)
		if retryAt != time.Hour+want.wait || o.backoff != want.backoff {
			t.Errorf("failure %d: again after %v, then %v; want %+v", i, retryAt-time.Hour, o.backoff, want)
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
