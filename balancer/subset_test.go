package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestBaseWidth(t *testing.T) {
	for _, c := range []struct {
		name          string
		active        float64
		balancers     int
		rate          float64
		width, growth float64
	}{
		{"one balancer uses all", 20, 1, 0, 20, 1},
		{"eight balancers use all", 20, 8, 0, 20, 1},
		{"twelve balancers use half each", 20, 12, 0, 10, 1},
		{"at least two", 20, 1000, 0, 2, 1},
		{"one upstream", 1, 1000, 0, 1, 1},
		{"no upstreams", 0, 10, 0, 0, 0},
		{"100 a second: twenty for evenness, but at most ten sharers", 100, 110, 100, 10, 100.0 * 4 / 106 / 10},
		{"4 a second: four for evenness", 100, 110, 4, 4, 100.0 * 4 / 106 / 4},
		{"1 a second: four sharers need more than evenness", 100, 110, 1, 100.0 * 4 / 106, 1},
	} {
		width, growth := baseWidth(c.active, c.balancers, c.rate)
		if !near(width, c.width) || !near(growth, c.growth) {
			t.Errorf("%s: width %v, growth %v; want %v, %v", c.name, width, growth, c.width, c.growth)
		}
	}
}

func TestSubsetLoadFactor(t *testing.T) {
	for _, c := range []struct {
		name               string
		before, rate, even float64
		want               float64
	}{
		{"the even rate", 0, 10, 10, 0},
		{"a lower rate", 0, 1, 10, 0},
		{"a slightly higher rate is noise", 0, 14, 10, 0},
		{"four times the even rate", 0, 40, 10, 4},
		{"slightly more than before is noise", 4, 55, 10, 4},
		{"much more than before", 4, 70, 10, 7},
		{"slightly less than before is noise", 4, 30, 10, 4},
		{"much less than before", 4, 20, 10, 2},
		{"back to the even rate", 4, 10, 10, 1},
		{"without quotas the even rate is unknown", 0, 1000, 0, 0},
	} {
		s := subset{loadFactor: c.before}
		if s.updateLoadFactor(c.rate, c.even); s.loadFactor != c.want {
			t.Errorf("%s: %v, want %v", c.name, s.loadFactor, c.want)
		}
	}
}

// The ring has ten upstreams of length 1. The walk begins at an offset within the first one.
func TestRingWalk(t *testing.T) {
	const healthy, warming = 'w', 'c' // u: unresponsive
	for _, c := range []struct {
		name          string
		offset, width float64
		growth        float64
		states        string
		parts         []float64 // of the upstreams passed; -1: not chosen
	}{
		{"two whole upstreams", 0, 2, 1, "wwww", []float64{1, 1}},
		{"three, of which two in part", 0.25, 2, 1, "wwww", []float64{0.75, 1, 0.25}},
		{"at least two", 0, 0.5, 1, "wwww", []float64{0.5, 0}},
		{"a sixteenth at the end is omitted", 0.0625, 2, 1, "wwww", []float64{0.9375, 1}},
		{"an unresponsive one is kept, and another added", 0, 2, 1, "wuww", []float64{1, 1, 1}},
		{"a warming one is kept, and another added", 0, 2, 1, "wcww", []float64{1, 1, 1}},
		{"at most twice the width", 0, 2, 1, "uuuuuu", []float64{1, 1, 1, 1}},
		{"widened: a warming one is chosen only in the first half", 0, 4, 0.5, "cwwcww", []float64{1, 1, 1, -1}},
		{"widened: half of the width must be healthy", 0, 4, 0.5, "uuuwww", []float64{1, 1, 1, 1, 1}},
	} {
		walk := newRingWalk(c.offset, c.width, 10, 10, c.growth)
		var parts []float64
		for i := 0; i < len(c.states) && !walk.done(i); i++ {
			part, chosen := walk.pass(1, c.states[i] == warming, c.states[i] == healthy)
			if !chosen {
				part = -1
			}
			parts = append(parts, part)
		}
		same := len(parts) == len(c.parts)
		for i := 0; same && i < len(parts); i++ {
			same = near(parts[i], c.parts[i])
		}
		if !same {
			t.Errorf("%s: parts %v, want %v", c.name, parts, c.parts)
		}
	}
}

// Many balancers that started together once sent to every server at once and overloaded the fleet.
func TestFirstSendsAreSpread(t *testing.T) {
	s := settings()
	s.Balancers = 8 // each uses all upstreams
	b, _ := start(t, s, fleet(20))
	delayed := 0
	for _, u := range b.upstreams {
		if u.limit.nextSendAt > time.Hour+b.sendInterval(u)/10 { // a tenth was 50 ms before subsets were introduced
			delayed++
		}
	}
	if delayed < 10 {
		t.Errorf("the first attempt is delayed at %d of 20 upstreams, want 10 or more", delayed)
	}
	s.Balancers = 24 // each uses a subset
	got := map[UpstreamID]int{}
	for s.Rank = range s.Balancers {
		h := &recorder{}
		b, err := New(s, uint64(s.Rank), time.Hour, h)
		if err != nil {
			t.Fatal(err)
		}
		b.EndpointsUpdated(time.Hour, ListCached, fleet(20))
		for i := range 10 { // more than may be in flight at once
			b.RequestArrived(time.Hour, Request{ID: RequestID(i + 1), Class: "write", Budget: time.Second})
		}
		for _, u := range b.upstreams {
			got[u.ID] += len(u.inFlight)
		}
	}
	for id, n := range got {
		if n > 2*targetSharers {
			t.Errorf("24 balancers sent upstream %d %d attempts at once", id, n)
		}
	}
}

// Hundreds of balancers with connections to every upstream once filled all connection tables, and each got too few
// answers from any upstream to estimate its load.
func TestSubsetsAreSmallAndCoverEvenly(t *testing.T) {
	for _, c := range []struct{ balancers, upstreams, least, most int }{
		{8, 20, 20, 20},   // at most twice targetSharers: all upstreams
		{90, 20, 2, 3},    // minSubsetSize
		{400, 60, 2, 3},   // minSubsetSize
		{100, 60, 3, 4},   // targetSharers; the first and the last are used in part
		{12, 20, 10, 11},  // between all and targetSharers
		{1200, 250, 2, 3}, // minSubsetSize
	} {
		s := settings()
		s.Balancers, s.Tenants = c.balancers, nil
		used := map[UpstreamID]float64{}
		for s.Rank = range c.balancers {
			b, _ := start(t, s, fleet(c.upstreams))
			if n := len(b.subset.upstreams); n < c.least || n > c.most {
				t.Fatalf("%+v: a subset of %d upstreams", c, n)
			}
			for id, part := range trafficParts(b) {
				used[id] += part
			}
		}
		mean := float64(c.balancers) / float64(c.upstreams)
		for id := range c.upstreams {
			if n := used[UpstreamID(id+1)]; n < 0.9*mean || n > 1.1*mean {
				t.Errorf("%+v: upstream %d has the traffic of %v balancers, the mean is %v", c, id+1, n, mean)
			}
		}
	}
}

// trafficParts returns the part of a balancer's traffic that each upstream of its subset should get.
func trafficParts(b *Balancer) map[UpstreamID]float64 {
	sum, parts := 0.0, map[UpstreamID]float64{}
	for _, u := range b.subset.upstreams {
		sum += b.trafficShare(u, time.Hour)
	}
	for _, u := range b.subset.upstreams {
		parts[u.ID] = b.trafficShare(u, time.Hour) / sum
	}
	return parts
}

// With weights from 1 to 100, each upstream gets its part of the traffic, although each balancer uses only a few.
func TestSubsetsCoverByWeight(t *testing.T) {
	s := settings()
	s.Balancers, s.Weights = 100, WeightNominal
	list, total := fleet(30), 0.0
	for i := range list {
		list[i].Weight = []float64{1, 5, 10, 40, 100}[i%5]
		total += list[i].Weight
	}
	used := map[UpstreamID]float64{}
	for s.Rank = range s.Balancers {
		b, _ := start(t, s, list)
		for id, part := range trafficParts(b) {
			used[id] += part
		}
	}
	for _, u := range list {
		want := float64(s.Balancers) * u.Weight / total
		if got := used[u.ID]; math.Abs(got-want) > 0.1*want+0.25 {
			t.Errorf("upstream %d of weight %v has the traffic of %.2f balancers, want %.2f", u.ID, u.Weight, got, want)
		}
	}
}

// All balancers start at once. With random choice, the busiest of 200 upstreams got three times the mean number of the
// first requests of 300 balancers.
func TestFirstRequestsOfAllBalancersAreSpread(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 300, NewTenants([]Tenant{{Name: "all", Quota: 5000}})
	got := map[UpstreamID]int{}
	for s.Rank = range s.Balancers {
		b, h := start(t, s, fleet(200))
		for i := range 4 {
			now := time.Hour + time.Duration(i)*60*ms
			b.RequestArrived(now, Request{ID: RequestID(i + 1), Class: "read", Budget: time.Second})
		}
		if h.count("send") != 4 {
			t.Fatalf("%d of 4 were sent at once", h.count("send"))
		}
		for _, r := range b.requests {
			got[r.attempts[0].upstream.ID]++
		}
	}
	for id := range 200 { // the mean is six
		if n := got[UpstreamID(id+1)]; n < 4 || n > 8 {
			t.Errorf("upstream %d got %d of the first 1,200 requests", id+1, n)
		}
	}
}

// If ranks collide, or balancers differ on their number, traffic is as uneven as with random ranks, and no upstream is
// idle.
func TestWrongRanksLeaveNoUpstreamIdle(t *testing.T) {
	for name, rank := range map[string]func(i int) (int, int){
		"half have the ranks of the others": func(i int) (int, int) { return i % 150, 300 },
		"a third assume fewer balancers":    func(i int) (int, int) { return i % (300 - 90*(i%3/2)), 300 - 90*(i%3/2) },
		"210 of 300 are absent":             func(i int) (int, int) { return i * 3 / 10, 300 },
	} {
		s, used := settings(), map[UpstreamID]float64{}
		s.Tenants = NewTenants([]Tenant{{Name: "all", Quota: 5000}})
		for i := range 300 {
			s.Rank, s.Balancers = rank(i)
			b, _ := start(t, s, fleet(200))
			for id, part := range trafficParts(b) {
				used[id] += part
			}
		}
		for id := range 200 {
			if n := used[UpstreamID(id+1)]; n < 0.5 || n > 3 {
				t.Errorf("%s: upstream %d has the traffic of %.2f balancers, the mean is 1.5", name, id+1, n)
			}
		}
	}
}

// With ten balancers per upstream and one request in flight from each, a warming upstream was congested. So fewer
// balancers use it, each with more of its traffic, and in total it has the same part.
func TestWarmingUpstreamIsUsedByFew(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 300, NewTenants([]Tenant{{Name: "all", Quota: 5000}})
	users, sum := [2]float64{}, [2]float64{}
	for i, warming := range []bool{false, true} {
		list := fleet(200)
		if warming {
			list[7].StartedAt = time.Hour
		}
		for s.Rank = range s.Balancers {
			b, _ := start(t, s, list)
			for _, u := range b.subset.upstreams {
				if u.ID == list[7].ID {
					users[i], sum[i] = users[i]+1, sum[i]+u.share.subsetPart
				}
			}
		}
	}
	if users[1] > 0.7*users[0] || users[1] < targetSharers || math.Abs(sum[1]/sum[0]-1) > 0.25 {
		t.Errorf("%v users, %v during its warm-up; sums of parts %.2f and %.2f", users[0], users[1], sum[0], sum[1])
	}
}

// With most upstreams of a small subset unavailable, a balancer once had none to send to while the rest of the fleet
// was healthy.
func TestSubsetExtendsPastUnresponsiveAndWarmingUpstreams(t *testing.T) {
	s := settings()
	s.Balancers = 40
	b, _ := start(t, s, fleet(40))
	before := slices.Clone(b.subset.upstreams)
	before[0].outlier.unresponsive = true
	before[1].slowStart.warming, before[1].slowStart.startedAt = true, time.Hour
	b.chooseSubset(time.Hour)
	if len(b.subset.upstreams) != len(before)+2 {
		t.Errorf("subset of %d, then %d with one unresponsive and one warming", len(before), len(b.subset.upstreams))
	}
	draining := before[2].Upstream
	draining.State = Draining
	b.EndpointsUpdated(time.Hour, ListDelta, []Upstream{draining})
	if before[2].inSubset || len(b.subset.upstreams) != len(before)+2 {
		t.Errorf("a draining upstream was not replaced: subset of %d", len(b.subset.upstreams))
	}
	before[0].outlier.unresponsive, before[1].slowStart.warming = false, false
	b.chooseSubset(time.Hour)
	if len(b.subset.upstreams) != len(before) {
		t.Errorf("subset of %d after all are healthy again, %d initially", len(b.subset.upstreams), len(before))
	}
}

// A tenth of the balancers, with four times the traffic of the others, once filled their few upstreams and rejected
// half of their requests while other upstreams were idle. A larger subset keeps the sum of its initial limits, or such
// balancers would congest the upstreams of the others.
func TestBusyBalancerUsesMoreUpstreams(t *testing.T) {
	run := func(rate int, quota float64, periods int) (size int, limitSum float64) {
		s := settings()
		s.Balancers, s.Tenants = 100, NewTenants([]Tenant{{Name: "all", Quota: quota}})
		b, _ := start(t, s, fleet(60))
		now := time.Hour
		for range periods {
			for i := range rate {
				id := RequestID(now) + RequestID(i)
				b.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second})
				answerIfSent(b, now, id, 10*ms)
				b.ClientLeft(now, id)
			}
			now += bandPeriod
			b.TimerFired(now, tickToken)
		}
		members := 0
		for _, u := range b.subset.upstreams {
			if u.inSubset {
				members++
			}
		}
		return members, b.limits.initial * float64(members) // the first and the last are used in part
	}
	even, limitSum := run(10, 1000, 20) // the even rate is 10 a second
	if even != 7 {
		t.Fatalf("%d upstreams at the even rate, want 7", even)
	}
	for _, c := range []struct {
		name    string
		rate    int
		quota   float64
		periods int
		want    int
	}{
		{"four times the even rate", 40, 1000, 20, 26},
		{"slightly over the even rate", 12, 1000, 20, 7},
		{"under the even rate", 2, 1000, 20, 7},
		{"a hundred times the even rate: all upstreams", 1000, 1000, 20, 60},
		{"without quotas the even rate is unknown", 40, 0, 20, 7},
	} {
		if n, got := run(c.rate, c.quota, c.periods); n != c.want || got < 0.85*limitSum || got > 1.15*limitSum {
			t.Errorf("%s: %d upstreams, sum of limits %.2f; want %d, %.2f", c.name, n, got, c.want, limitSum)
		}
	}
}
