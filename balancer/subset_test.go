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
		{"so do eight", 20, 8, 0, 20, 1},
		{"of twelve each uses half", 20, 12, 0, 10, 1},
		{"two at least", 20, 1000, 0, 2, 1},
		{"of one upstream, one", 1, 1000, 0, 1, 1},
		{"none of none", 0, 10, 0, 0, 0},
		{"a rate of 100 a second asks for twenty; ten share an upstream at most", 100, 110, 100, 10, 100.0 * 4 / 106 / 10},
		{"a rate of four asks for four", 100, 110, 4, 4, 100.0 * 4 / 106 / 4},
		{"a rate of one asks for fewer than four sharers have", 100, 110, 1, 100.0 * 4 / 106, 1},
	} {
		width, growth := baseWidth(c.active, c.balancers, c.rate)
		if !near(width, c.width) || !near(growth, c.growth) {
			t.Errorf("%s: %v wide, growth %v; want %v, %v", c.name, width, growth, c.width, c.growth)
		}
	}
}

func TestSubsetLoadFactor(t *testing.T) {
	for _, c := range []struct {
		name               string
		before, rate, even float64
		want               float64
	}{
		{"its even part", 0, 10, 10, 0},
		{"less", 0, 1, 10, 0},
		{"a little more is noise", 0, 14, 10, 0},
		{"four times", 0, 40, 10, 4},
		{"a little more than before is noise", 4, 55, 10, 4},
		{"much more", 4, 70, 10, 7},
		{"a little less", 4, 30, 10, 4},
		{"much less", 4, 20, 10, 2},
		{"its even part again", 4, 10, 10, 1},
		{"nothing was bought, so nothing is even", 0, 1000, 0, 0},
	} {
		s := subset{loadFactor: c.before}
		if s.updateLoadFactor(c.rate, c.even); s.loadFactor != c.want {
			t.Errorf("%s: %v, want %v", c.name, s.loadFactor, c.want)
		}
	}
}

// Ten upstreams of length 1. A stretch begins at the given part of the first one.
func TestRingWalk(t *testing.T) {
	const warm, warming = 'w', 'c' // u: unresponsive
	for _, c := range []struct {
		name          string
		offset, width float64
		growth        float64
		states        string
		parts         []float64 // of those passed; -1: not chosen
	}{
		{"two whole ones", 0, 2, 1, "wwww", []float64{1, 1}},
		{"three, the ends in part", 0.25, 2, 1, "wwww", []float64{0.75, 1, 0.25}},
		{"two at least", 0, 0.5, 1, "wwww", []float64{0.5, 0}},
		{"a sixteenth at the end is left out", 0.0625, 2, 1, "wwww", []float64{0.9375, 1}},
		{"an unresponsive one stays, the stretch goes on", 0, 2, 1, "wuww", []float64{1, 1, 1}},
		{"so does one that warms up", 0, 2, 1, "wcww", []float64{1, 1, 1}},
		{"at most as far again", 0, 2, 1, "uuuuuu", []float64{1, 1, 1, 1}},
		{"wide: only the first half learns one that warms up", 0, 4, 0.5, "cwwcww", []float64{1, 1, 1, -1}},
		{"wide: half of the width is wanted warm", 0, 4, 0.5, "uuuwww", []float64{1, 1, 1, 1, 1}},
	} {
		walk := newRingWalk(c.offset, c.width, 10, 10, c.growth)
		var parts []float64
		for i := 0; i < len(c.states) && !walk.done(i); i++ {
			part, chosen := walk.pass(1, c.states[i] == warming, c.states[i] == warm)
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

// Many balancers that started together once sent to every server at once and choked the fleet.
func TestFirstSendsAreSpread(t *testing.T) {
	s := settings()
	s.Balancers = 8 // all of them use all upstreams
	b, _ := start(t, s, fleet(20))
	later := 0
	for _, u := range b.upstreams {
		if u.limit.nextSendAt > time.Hour+b.sendInterval(u)/10 { // 50 ms were a tenth of the pause before there were subsets
			later++
		}
	}
	if later < 10 {
		t.Errorf("%d of 20 upstreams wait for their first attempt", later)
	}
	s.Balancers = 24 // each uses some
	got := map[UpstreamID]int{}
	for s.Rank = range s.Balancers {
		h := &recorder{}
		b, err := New(s, uint64(s.Rank), time.Hour, h)
		if err != nil {
			t.Fatal(err)
		}
		b.EndpointsUpdated(time.Hour, ListCached, fleet(20))
		for i := range 10 { // more than it may have out at once
			b.RequestArrived(time.Hour, Request{ID: RequestID(i + 1), Class: "write", Budget: time.Second})
		}
		for _, u := range b.upstreams {
			got[u.ID] += len(u.inFlight)
		}
	}
	for id, n := range got {
		if n > 2*targetSharers {
			t.Errorf("upstream %d was sent %d at once by 24 balancers", id, n)
		}
	}
}

// Hundreds of balancers with connections to every upstream once filled all connection tables, and no
// balancer saw enough of any upstream to judge it.
func TestSubsetsAreSmallAndCoverEvenly(t *testing.T) {
	for _, c := range []struct{ balancers, upstreams, least, most int }{
		{8, 20, 20, 20},   // few balancers, twice the sharers: all upstreams
		{90, 20, 2, 3},    // never fewer than can be shared between
		{400, 60, 2, 3},   // as many balancers as these need
		{100, 60, 3, 4},   // about sharers an upstream; the ends of a stretch are used in part
		{12, 20, 10, 11},  // in between: the width falls smoothly
		{1200, 250, 2, 3}, // larger than any so far
	} {
		s := settings()
		s.Balancers, s.Tenants = c.balancers, nil
		used := map[UpstreamID]float64{}
		for s.Rank = range c.balancers {
			b, _ := start(t, s, fleet(c.upstreams))
			if n := len(b.subset.upstreams); n < c.least || n > c.most {
				t.Fatalf("%+v: a balancer uses %d upstreams", c, n)
			}
			for id, part := range parts(b) {
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

// parts is the part of a balancer's traffic that each upstream is to have.
func parts(b *Balancer) map[UpstreamID]float64 {
	sum, of := 0.0, map[UpstreamID]float64{}
	for _, u := range b.subset.upstreams {
		sum += b.trafficShare(u, time.Hour)
	}
	for _, u := range b.subset.upstreams {
		of[u.ID] = b.trafficShare(u, time.Hour) / sum
	}
	return of
}

// Of sizes from 1 to 100 each gets its part, although each balancer sees a few only.
func TestSubsetsCoverBySize(t *testing.T) {
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
		for id, part := range parts(b) {
			used[id] += part
		}
	}
	for _, u := range list {
		due := float64(s.Balancers) * u.Weight / total
		if got := used[u.ID]; math.Abs(got-due) > 0.1*due+0.25 {
			t.Errorf("upstream %d of size %v has the traffic of %.2f balancers, %.2f are due", u.ID, u.Weight, got, due)
		}
	}
}

// All begin at once. By chance the busiest of 200 upstreams had three times the mean of 300 balancers' first requests.
func TestFirstTurnsOfAllGoRoundTheRing(t *testing.T) {
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
	for id := range 200 { // six are due
		if n := got[UpstreamID(id+1)]; n < 4 || n > 8 {
			t.Errorf("upstream %d got %d of the first 1,200 requests", id+1, n)
		}
	}
}

// Ranks collide, or are counted otherwise by some: the parts are as uneven as by chance then, and none is idle.
func TestWrongRanksLeaveNoneIdle(t *testing.T) {
	for name, rank := range map[string]func(i int) (int, int){
		"half have the ranks of the others": func(i int) (int, int) { return i % 150, 300 },
		"a third count fewer":               func(i int) (int, int) { return i % (300 - 90*(i%3/2)), 300 - 90*(i%3/2) },
		"210 of 300 are away":               func(i int) (int, int) { return i * 3 / 10, 300 },
	} {
		s, used := settings(), map[UpstreamID]float64{}
		s.Tenants = NewTenants([]Tenant{{Name: "all", Quota: 5000}})
		for i := range 300 {
			s.Rank, s.Balancers = rank(i)
			b, _ := start(t, s, fleet(200))
			for id, part := range parts(b) {
				used[id] += part
			}
		}
		for id := range 200 {
			if n := used[UpstreamID(id+1)]; n < 0.5 || n > 3 {
				t.Errorf("%s: upstream %d has the traffic of %.2f balancers, 1.5 are due", name, id+1, n)
			}
		}
	}
}

// With ten balancers an upstream, each of which may have one request out, a warming one was crowded. Few learn it, with
// more of their traffic each, so that all together send it the same.
func TestWarmingUpstreamIsUsedByFew(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 300, NewTenants([]Tenant{{Name: "all", Quota: 5000}})
	users, sum := [2]float64{}, [2]float64{}
	for i, cold := range []bool{false, true} {
		list := fleet(200)
		if cold {
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
		t.Errorf("%v use it, %v while it warms up; their slices add up to %.2f and %.2f", users[0], users[1], sum[0], sum[1])
	}
}

// With most of a small subset gone, a balancer once had nobody to send to while the fleet was well.
func TestSubsetReachesPastUnresponsiveAndWarmingUpstreams(t *testing.T) {
	s := settings()
	s.Balancers = 40
	b, _ := start(t, s, fleet(40))
	before := slices.Clone(b.subset.upstreams)
	before[0].outlier.unresponsive = true
	before[1].slowStart.warming, before[1].slowStart.startedAt = true, time.Hour
	b.chooseSubset(time.Hour)
	if len(b.subset.upstreams) != len(before)+2 {
		t.Errorf("%d upstreams in use, then %d with one unresponsive and one warming", len(before), len(b.subset.upstreams))
	}
	gone := before[2].Upstream
	gone.State = Draining
	b.EndpointsUpdated(time.Hour, ListDelta, []Upstream{gone})
	if before[2].inSubset || len(b.subset.upstreams) != len(before)+2 {
		t.Errorf("a draining upstream was not replaced: %d in use", len(b.subset.upstreams))
	}
	before[0].outlier.unresponsive, before[1].slowStart.warming = false, false
	b.chooseSubset(time.Hour)
	if len(b.subset.upstreams) != len(before) {
		t.Errorf("%d in use after all came back, %d at first", len(b.subset.upstreams), len(before))
	}
}

// A tenth of the balancers with four times the others' traffic filled their few upstreams while the others' stood idle,
// and rejected half of what came. The turns at first stay as many over all of them, or the heavy ones would crowd the
// others.
func TestHeavyBalancerUsesMoreUpstreams(t *testing.T) {
	ask := func(rate int, quota float64, periods int) (near int, turns float64) {
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
		return members, b.limits.initial * float64(members) // those at the ends of the stretch are used in part
	}
	even, turns := ask(10, 1000, 20) // its even part is ten a second
	if even != 7 {
		t.Fatalf("%d upstreams at the even part", even)
	}
	for _, c := range []struct {
		name    string
		rate    int
		quota   float64
		periods int
		want    int
	}{
		{"four times the even part", 40, 1000, 20, 26},
		{"a little over it", 12, 1000, 20, 7},
		{"under it", 2, 1000, 20, 7},
		{"a hundred times: no more than there are", 1000, 1000, 20, 60},
		{"nothing was bought, so nothing is even", 40, 0, 20, 7},
	} {
		if n, got := ask(c.rate, c.quota, c.periods); n != c.want || got < 0.85*turns || got > 1.15*turns {
			t.Errorf("%s: %d upstreams with %.2f turns, want %d with %.2f", c.name, n, got, c.want, turns)
		}
	}
}
