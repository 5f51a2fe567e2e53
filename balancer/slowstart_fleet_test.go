package balancer

import (
	"fmt"
	"testing"
	"time"
)

// warmUpFleet is many balancers that ramp one warming upstream, each with more requests than it may send there.
type warmUpFleet struct {
	t          *testing.T
	s          Settings
	all        []*Balancer
	born       time.Duration
	allWarming bool            // so are all others
	took       time.Duration   // by each answer
	sent       []time.Duration // to the warming one
	seq        int
}

const warmingID = 3

// newWarmUpFleet starts balancers that know how much a warm upstream carries, or where all warm up how long an answer
// takes.
func newWarmUpFleet(t *testing.T, balancers int, capacity float64, cold bool) *warmUpFleet {
	f := &warmUpFleet{
		t: t, s: settings(), all: make([]*Balancer, balancers), born: time.Hour, allWarming: cold,
		took: time.Duration(float64(time.Second) / capacity),
	}
	f.s.Balancers = balancers
	slices := 0.0
	for rank := range balancers {
		f.begin(rank, f.born)
		for _, u := range f.all[rank].subset.upstreams {
			if u.ID == warmingID && u.inSubset {
				slices += u.share.subsetPart
			}
		}
	}
	for _, b := range f.all {
		if b.latency = float64(f.took); !cold {
			b.fleet.workPerWeight = capacity / slices
		}
	}
	return f
}

// play asks from the upstream's start until it is warm.
func (f *warmUpFleet) play(gap time.Duration, fault string) {
	again, heard := f.born+f.s.Rules.SlowStartDuration/2, f.born+2*time.Second
	for now := f.born + ms; now < f.born+f.s.Rules.SlowStartDuration; now += gap {
		for rank := range f.all {
			third := rank%3 == 0
			if fault == "restart" && third && now >= again && now < again+gap {
				f.begin(rank, now) // it has no reading yet
			}
			if fault != "late" || !third || now >= heard {
				f.ask(rank, now)
			}
		}
	}
}

func (f *warmUpFleet) list() []Upstream {
	list := fleet(3)
	for i := range list {
		if f.allWarming || list[i].ID == warmingID {
			list[i].StartedAt = f.born
		}
	}
	return list
}

// begin starts a process, which has learnt nothing.
func (f *warmUpFleet) begin(rank int, now time.Duration) {
	s := f.s
	s.Rank = rank
	b, err := New(s, uint64(rank)+1, now, &recorder{})
	if err != nil {
		f.t.Fatal(err)
	}
	b.EndpointsUpdated(now, ListCached, f.list())
	f.all[rank] = b
}

// ask lets a balancer have a request that only the warming upstream can take now.
func (f *warmUpFleet) ask(rank int, now time.Duration) {
	b := f.all[rank]
	for _, u := range b.upstreams {
		if u.ID != warmingID {
			u.limit.nextSendAt = now + time.Hour
		} else {
			u.limit.nextSendAt, u.limit.allowed = now, 100 // what binds is the budget
		}
	}
	f.seq++
	id := RequestID(f.seq)
	b.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
	r := b.requests[id]
	if r == nil {
		return
	}
	if r.inFlight > 0 {
		f.sent = append(f.sent, now)
		b.AttemptFinished(now, AttemptResult{ID: id, Upstream: warmingID, Latency: f.took, Status: OK, Closed: true})
	} else {
		b.ClientLeft(now, id)
		b.dispatchQueued(now)
	}
}

// worst is how much of what it bears the warming upstream was sent in any window, and where that is over it.
func (f *warmUpFleet) worst(capacity float64) (most float64, breach string) {
	first, rules := 0, f.s.Rules
	for i, at := range f.sent {
		for f.sent[first] <= at-rules.OverloadWindow {
			first++
		}
		ramp := rules.SlowStartFloor + (1-rules.SlowStartFloor)*float64(at-f.born)/float64(rules.SlowStartDuration)
		n, fit := i-first+1, rules.OverloadMultiple*capacity*rules.OverloadWindow.Seconds()*ramp
		most = max(most, float64(n)/fit)
		if float64(n) > max(1, fit) && breach == "" {
			breach = fmt.Sprintf("%d sent within %v at %v, %.1f fit", n, f.s.Rules.OverloadWindow, at-f.born, fit)
		}
	}
	return most, breach
}

// All balancers' parts of a warming upstream's budget add up to no more than the budget, for any count of balancers and
// any window: also where a part is under one call, where all have requests at the same moments, where a third of the
// processes are started anew in the middle and have forgotten what they sent and learnt, where a third hear late of the
// upstream, and where there is no warm one to judge by.
func TestColdBudgetHoldsForTheFleet(t *testing.T) {
	for _, balancers := range []int{1, 2, 3, 5, 8, 13, 20, 30, 60, 150, 300} {
		t.Run(fmt.Sprint(balancers), func(t *testing.T) {
			t.Parallel()
			for _, capacity := range []float64{3, 10, 40} { // requests a second of the upstream when it is warm
				// The gap is between two requests at each balancer, at the same moments everywhere.
				for _, gap := range []time.Duration{20 * ms, 250 * ms} {
					checkWarmUpBudget(t, balancers, capacity, gap)
				}
			}
		})
	}
}

func checkWarmUpBudget(t *testing.T, balancers int, capacity float64, gap time.Duration) {
	t.Helper()
	for _, fault := range []string{"", "restart", "late", "all cold"} {
		f := newWarmUpFleet(t, balancers, capacity, fault == "all cold")
		f.play(gap, fault)
		most, breach := f.worst(capacity)
		name := fmt.Sprintf("%v a second, one each %v, %q", capacity, gap, fault)
		if breach != "" {
			t.Errorf("%s: %s", name, breach)
		}
		if len(f.sent) == 0 {
			t.Errorf("%s: nothing is sent", name)
		}
		t.Logf("%s: %d sent, %.2f of the budget at most", name, len(f.sent), most)
	}
}
