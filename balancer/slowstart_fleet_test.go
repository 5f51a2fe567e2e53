package balancer

import (
	"fmt"
	"testing"
	"time"
)

// warmUpFleet is a set of balancers that share a warming upstream. Each has more requests than it may send there.
type warmUpFleet struct {
	t             *testing.T
	s             Settings
	instances     []*Balancer
	startedAt     time.Duration // start of the warming upstream
	allWarming    bool          // the other upstreams warm up too
	answerLatency time.Duration
	sentAt        []time.Duration // times of the attempts sent to the warming upstream
	lastID        int
}

const warmingID = 3

// newWarmUpFleet starts balancers that know the latency of answers and, unless no upstream is warm, how much a warm
// upstream carries. The capacity is that of a warm upstream, in requests a second.
func newWarmUpFleet(t *testing.T, balancers int, capacity float64, noneWarm bool) *warmUpFleet {
	f := &warmUpFleet{
		t: t, s: settings(), instances: make([]*Balancer, balancers), startedAt: time.Hour, allWarming: noneWarm,
		answerLatency: time.Duration(float64(time.Second) / capacity),
	}
	f.s.Balancers = balancers
	subsetParts := 0.0
	for rank := range balancers {
		f.startBalancer(rank, f.startedAt)
		for _, u := range f.instances[rank].subset.upstreams {
			if u.ID == warmingID && u.inSubset {
				subsetParts += u.share.subsetPart
			}
		}
	}
	for _, b := range f.instances {
		if b.latency = float64(f.answerLatency); !noneWarm {
			b.fleet.workPerWeight = capacity / subsetParts
		}
	}
	return f
}

// run sends a request at each balancer every gap, from the upstream's start until it is warm.
func (f *warmUpFleet) run(gap time.Duration, fault string) {
	restartAt, lateUntil := f.startedAt+f.s.Rules.SlowStartDuration/2, f.startedAt+2*time.Second
	for now := f.startedAt + ms; now < f.startedAt+f.s.Rules.SlowStartDuration; now += gap {
		for rank := range f.instances {
			third := rank%3 == 0
			if fault == "restart" && third && now >= restartAt && now < restartAt+gap {
				f.startBalancer(rank, now) // it has no readings yet
			}
			if fault != "late" || !third || now >= lateUntil {
				f.sendRequest(rank, now)
			}
		}
	}
}

func (f *warmUpFleet) endpoints() []Upstream {
	list := fleet(3)
	for i := range list {
		if f.allWarming || list[i].ID == warmingID {
			list[i].StartedAt = f.startedAt
		}
	}
	return list
}

// startBalancer starts or restarts the balancer of a rank, without statistics.
func (f *warmUpFleet) startBalancer(rank int, now time.Duration) {
	s := f.s
	s.Rank = rank
	b, err := New(s, uint64(rank)+1, now, &recorder{})
	if err != nil {
		f.t.Fatal(err)
	}
	b.EndpointsUpdated(now, ListCached, f.endpoints())
	f.instances[rank] = b
}

// sendRequest gives a balancer a request that no other upstream than the warming one may take now.
func (f *warmUpFleet) sendRequest(rank int, now time.Duration) {
	b := f.instances[rank]
	for _, u := range b.upstreams {
		if u.ID != warmingID {
			u.limit.nextSendAt = now + time.Hour
		} else {
			u.limit.nextSendAt, u.limit.allowed = now, 100 // only the budget restricts it
		}
	}
	f.lastID++
	id := RequestID(f.lastID)
	b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
	r := b.requests[id]
	if r == nil {
		return
	}
	if r.inFlight > 0 {
		f.sentAt = append(f.sentAt, now)
		b.AttemptFinished(now, AttemptResult{ID: id, Upstream: warmingID, Latency: f.answerLatency, Status: OK, Closed: true})
	} else {
		b.ClientLeft(now, id)
		b.dispatchQueued(now)
	}
}

// peakLoad returns the most that the warming upstream was sent in any window, as a ratio of its budget at that time. If
// the budget was exceeded, breach describes the first time.
func (f *warmUpFleet) peakLoad(capacity float64) (peak float64, breach string) {
	first, rules := 0, f.s.Rules
	for i, at := range f.sentAt {
		for f.sentAt[first] <= at-rules.OverloadWindow {
			first++
		}
		ramp := rules.SlowStartFloor + (1-rules.SlowStartFloor)*float64(at-f.startedAt)/float64(rules.SlowStartDuration)
		n, budget := i-first+1, rules.OverloadMultiple*capacity*rules.OverloadWindow.Seconds()*ramp
		peak = max(peak, float64(n)/budget)
		if float64(n) > max(1, budget) && breach == "" {
			breach = fmt.Sprintf("%d sent within %v at %v, budget %.1f", n, f.s.Rules.OverloadWindow, at-f.startedAt, budget)
		}
	}
	return peak, breach
}

// All balancers together keep within the budget of a warming upstream in every window, for any number of balancers. All
// have requests at the same times, and the part of one balancer may be under one request. The faults: a third of the
// balancers restart halfway and lose their statistics, a third learn late of the upstream, or no upstream is warm.
func TestWarmUpBudgetHoldsForTheFleet(t *testing.T) {
	for _, balancers := range []int{1, 2, 3, 5, 8, 13, 20, 30, 60, 150, 300} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			t.Parallel()
			for _, capacity := range []float64{3, 10, 40} { // requests a second of a warm upstream
				// The gap is the time between two requests at each balancer.
				for _, gap := range []time.Duration{20 * ms, 250 * ms} {
					checkWarmUpBudget(t, balancers, capacity, gap)
				}
			}
		})
	}
}

func checkWarmUpBudget(t *testing.T, balancers int, capacity float64, gap time.Duration) {
	t.Helper()
	for _, fault := range []string{"", "restart", "late", "all warming"} {
		f := newWarmUpFleet(t, balancers, capacity, fault == "all warming")
		f.run(gap, fault)
		peak, breach := f.peakLoad(capacity)
		name := fmt.Sprintf("capacity %v a second, a request every %v, fault %q", capacity, gap, fault)
		if breach != "" {
			t.Errorf("%s: %s", name, breach)
		}
		if len(f.sentAt) == 0 {
			t.Errorf("%s: nothing was sent to the warming upstream", name)
		}
		t.Logf("%s: %d sent, at most %.2f of the budget", name, len(f.sentAt), peak)
	}
}
