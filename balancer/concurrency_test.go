package balancer

import (
	"math"
	"testing"
	"time"
)

func TestConcurrencyLimitPermits(t *testing.T) {
	for _, c := range []struct {
		allowed  float64
		inFlight int
		wait     time.Duration
		permits  bool
	}{
		{3, 2, 0, true},
		{3, 3, 0, false},
		{1.5, 1, 0, true}, // rounded
		{1.4, 1, 0, false},
		{0.1, 0, 0, true}, // under 1: one attempt at a time, at intervals
		{0.1, 1, 0, false},
		{3, 0, time.Nanosecond, false},
	} {
		limit := concurrencyLimit{allowed: c.allowed, nextSendAt: time.Hour + c.wait}
		if limit.permits(c.inFlight, time.Hour) != c.permits {
			t.Errorf("%+v: permits %v", c, !c.permits)
		}
	}
}

func TestConcurrencyLimitInterval(t *testing.T) {
	for _, c := range []struct {
		allowed  float64
		latency  time.Duration
		interval time.Duration
	}{
		{3, 100 * ms, 0},
		{1, 100 * ms, 0},
		{0.5, 100 * ms, 100 * ms},
		{0.25, 100 * ms, 300 * ms},
	} {
		limit := concurrencyLimit{allowed: c.allowed}
		if got := limit.interval(float64(c.latency)); got != c.interval {
			t.Errorf("%+v: interval %v", c, got)
		}
	}
}

func TestConcurrencyLimitCut(t *testing.T) {
	for _, c := range []struct {
		name     string
		allowed  float64
		inFlight int
		since    time.Duration // time since the last cut
		want     float64
	}{
		{"by the factor", 5, 9, time.Second, 4},
		{"from the slots in use", 100, 4, time.Second, 4},
		{"one cut for attempts in flight at the same time", 5, 9, 99 * ms, 5},
		{"another cut after one latency", 5, 9, 100 * ms, 4},
		{"to the minimum", 0.3, 0, time.Second, 0.25},
	} {
		limit := concurrencyLimit{allowed: c.allowed, cutAt: time.Hour - c.since}
		limit.cut(0.8, c.inFlight, 0.25, float64(100*ms), time.Hour)
		if !near(limit.allowed, c.want) {
			t.Errorf("%s: limit %v, want %v", c.name, limit.allowed, c.want)
		}
	}
}

func TestConcurrencyLimitGrows(t *testing.T) {
	for _, c := range []struct {
		name                         string
		allowed, spare, growth, most float64
		want                         float64
	}{
		{"by a fiftieth with one spare objective", 2, 1, 1, 10, 2.02},
		{"by the square of the spare objectives", 2, 3, 1, 10, 2.18},
		{"by one at most", 2, 100, 1, 10, 3},
		{"by less where more balancers share the upstream", 2, 100, 0.25, 10, 2.25},
		{"up to the bound", 9.5, 100, 1, 10, 10},
		{"a bound under the limit does not lower it", 12, 100, 1, 10, 12},
		{"without bound", 12, 100, 1, math.Inf(1), 13},
	} {
		limit := concurrencyLimit{allowed: c.allowed}
		limit.grow(c.spare, c.growth, c.most)
		if !near(limit.allowed, c.want) {
			t.Errorf("%s: limit %v, want %v", c.name, limit.allowed, c.want)
		}
	}
}

func TestConcurrencyLimitHalfUsed(t *testing.T) {
	for _, c := range []struct {
		allowed  float64
		inFlight int
		halfUsed bool
	}{{1, 0, true}, {2, 0, false}, {3, 1, true}, {16, 7, false}, {16, 8, true}} {
		limit := concurrencyLimit{allowed: c.allowed}
		if limit.halfUsed(c.inFlight) != c.halfUsed {
			t.Errorf("%+v: half used %v", c, !c.halfUsed)
		}
	}
}

func TestConcurrencyLimitPeriodMax(t *testing.T) {
	for _, c := range []struct{ allowed, before, raised, after float64 }{
		{1, 3, 3, 3},
		{4, 3, 8, 8},
		{4, 20, 20, 8},
	} {
		limit := concurrencyLimit{allowed: c.allowed, periodMax: c.before}
		if limit.raisePeriodMax(); limit.periodMax != c.raised {
			t.Errorf("%+v: bound raised to %v", c, limit.periodMax)
		}
		if limit.endPeriod(); limit.periodMax != c.after {
			t.Errorf("%+v: bound %v in the next period", c, limit.periodMax)
		}
	}
}

// next is the earliest time of another attempt, as set before this attempt ended.
func TestConcurrencyLimitSpacesAttempts(t *testing.T) {
	for _, c := range []struct {
		name               string
		next, sentAt, now  time.Duration
		interval, wantNext time.Duration
	}{
		{"no interval: at once", 0, 100 * ms, 150 * ms, 0, 150 * ms},
		{"idle for an interval or more: one attempt without a wait", 0, 1000 * ms, 1100 * ms, 400 * ms, 1100 * ms},
		{"sent as early as permitted: an interval after the answer", 1000 * ms, 1000 * ms, 1100 * ms, 400 * ms, 1500 * ms},
		{"sent half an interval later than permitted", 800 * ms, 1000 * ms, 1100 * ms, 400 * ms, 1300 * ms},
	} {
		limit := concurrencyLimit{nextSendAt: c.next}
		if limit.attemptEnded(c.sentAt, c.interval, c.now); limit.nextSendAt != c.wantNext {
			t.Errorf("%s: next attempt at %v, want %v", c.name, limit.nextSendAt, c.wantNext)
		}
	}
}

func TestLimitMinimumIsATwelfthOfTheInitialLimit(t *testing.T) {
	for initial, want := range map[float64]float64{3: 0.25, 1.5: 0.125, 0.12: 0.01} {
		if settings := (limitSettings{initial: initial}); !near(settings.minimum(), want) {
			t.Errorf("initial limit %v: minimum %v, want %v", initial, settings.minimum(), want)
		}
	}
}
