package lbpolicy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func all(int) bool { return true }

func make(t *testing.T, name string) Picker {
	t.Helper()
	p, err := New(name, 7)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestUnknownPickerIsNamed(t *testing.T) {
	if _, err := New("fastest", 1); err == nil || err.Error() != `there is no picker "fastest"; known: least, p2c, peak-ewma, prequal, random, round-robin, wrr` {
		t.Error(err)
	}
}

// Every picker takes only what is open, finds the only open one, and says so if there is none; equal seeds pick alike.
func TestOnlyOpenServersArePicked(t *testing.T) {
	for _, name := range Names() {
		x, y := make(t, name), make(t, name)
		for i := range 2000 {
			now := time.Duration(i) * ms
			open := func(s int) bool { return s%3 == i%3 && s != 4 }
			a, b := x.Pick(now, 9, open), y.Pick(now, 9, open)
			if a != b || a < 0 || !open(a) {
				t.Fatalf("%s: pick %d: %d and %d", name, i, a, b)
			}
			for _, p := range []Picker{x, y} {
				p.Sent(now, a)
				p.Done(now+ms, a, ms, Report{})
			}
		}
		if got := x.Pick(time.Hour, 9, func(s int) bool { return s == 7 }); got != 7 {
			t.Errorf("%s: picked %d, only 7 is open", name, got)
		}
		if got := x.Pick(time.Hour, 9, func(int) bool { return false }); got != -1 {
			t.Errorf("%s: picked %d, none is open", name, got)
		}
	}
}

func TestRoundRobinGoesInTurn(t *testing.T) {
	p := make(t, "round-robin")
	var got []int
	for range 7 {
		got = append(got, p.Pick(0, 3, all))
	}
	if !slices.Equal(got, []int{0, 1, 2, 0, 1, 2, 0}) {
		t.Error(got)
	}
}

func TestRandomIsUniform(t *testing.T) {
	p, seen := make(t, "random"), [4]int{}
	for range 40000 {
		seen[p.Pick(0, 8, func(i int) bool { return i >= 4 })-4]++
	}
	for i, n := range seen {
		if n < 9500 || n > 10500 {
			t.Errorf("server %d was picked %d times of 40,000 among four", i+4, n)
		}
	}
}

func TestLeastTakesTheFewestAndGoesRoundAmongEquals(t *testing.T) {
	p := make(t, "least")
	for _, s := range []int{0, 0, 2} {
		p.Sent(0, s)
	}
	if got := p.Pick(0, 3, all); got != 1 {
		t.Errorf("picked %d, 1 has nothing out", got)
	}
	p.Sent(0, 1)
	p.Done(0, 0, ms, Report{})
	var got []int // one out at each
	for range 4 {
		got = append(got, p.Pick(0, 3, all))
	}
	if slices.Sort(got[:3]); !slices.Equal(got[:3], []int{0, 1, 2}) {
		t.Errorf("among equals: %v", got)
	}
}

// Of two drawn the one with fewer out is taken: the busiest of all is never picked.
func TestTwoChoicesNeverTakeTheBusiest(t *testing.T) {
	p := make(t, "p2c")
	for range 5 {
		p.Sent(0, 3)
	}
	seen := map[int]int{}
	for range 3000 {
		seen[p.Pick(0, 4, all)]++
	}
	if seen[3] > 0 || seen[0] < 800 || seen[1] < 800 || seen[2] < 800 {
		t.Error(seen)
	}
}

// A single slow answer counts at once, and is forgotten over ten seconds; a server that has answered nothing waits.
func TestPeakEWMATakesPeaksAtOnce(t *testing.T) {
	p := make(t, "peak-ewma")
	answer := func(now time.Duration, s int, latency time.Duration) {
		p.Sent(now, s)
		p.Done(now, s, latency, Report{})
	}
	for i := range 20 {
		answer(time.Duration(i)*ms, 0, 5*ms)
		answer(time.Duration(i)*ms, 1, 5*ms)
	}
	answer(20*ms, 0, 100*ms)
	if got := p.Pick(21*ms, 2, all); got != 1 {
		t.Errorf("picked %d just after a peak at 0", got)
	}
	for i := range 12 { // load = cost × (out + 1): 100 ms against 5 ms × 13
		p.Sent(22*ms, 1)
		if got := p.Pick(22*ms, 2, all); got != 1 {
			t.Errorf("picked %d with %d out at 1", got, i+1)
		}
	}
	answer(40*time.Second, 0, 5*ms)
	answer(40*time.Second, 1, 5*ms)
	if got := p.Pick(40*time.Second, 2, all); got != 0 {
		t.Errorf("picked %d long after the peak", got)
	}
	p.Sent(0, 2)
	for range 50 {
		if got := p.Pick(41*time.Second, 3, all); got == 2 {
			t.Fatal("picked a server that has a request and has answered none")
		}
	}
}

// Weights are rate / (utilisation + errors / rate); they count after the blackout, and one that reports nothing gets the mean.
func TestWeightsFollowReports(t *testing.T) {
	p := make(t, "wrr")
	seen := map[int]int{}
	for i := range 6000 {
		now := time.Duration(i) * ms
		s := p.Pick(now, 4, all)
		p.Sent(now, s)
		if now >= 3*time.Second {
			seen[s]++
		}
		p.Done(now, s, ms, [4]Report{{true, 0.2, 100, 0}, {true, 0.4, 100, 0}, {true, 0.2, 100, 20}, {}}[s])
	}
	// 500, 250 and 250; the silent one gets a third of their sum: of 1,333 in all
	for s, want := range []int{1125, 562, 562, 750} {
		if seen[s] < want-20 || seen[s] > want+20 {
			t.Errorf("server %d got %d of 3,000, want %d", s, seen[s], want)
		}
	}
}

// Cold servers go by latency, hot ones come last; answers older than a second are not used.
func TestPrequalIsHotAndCold(t *testing.T) {
	p := make(t, "prequal").(*prequal)
	for i, x := range []struct {
		inflight int
		latency  time.Duration
	}{{2, 9 * ms}, {2, 4 * ms}, {2, 6 * ms}, {50, ms}} {
		for range []int{4, 4, 4, 1}[i] { // the quantile is of all that was seen
			p.Probed(0, i, x.inflight, x.latency)
		}
	}
	if got := p.Pick(ms, 100, all); got != 1 {
		t.Errorf("picked %d, 1 is cold and the fastest", got)
	}
	if got := p.Pick(ms, 100, func(i int) bool { return i == 3 || i == 0 }); got != 0 {
		t.Errorf("picked %d, 3 is hot", got)
	}
	probes := 0
	for range 100 {
		probes += len(p.Probes(0, 1000, all))
	}
	if probes < 290 || probes > 300 {
		t.Errorf("%d probes for 100 queries", probes)
	}
	if p.Pick(2*time.Second, 100, all); len(p.pool) != 0 {
		t.Errorf("%d answers are kept after two seconds", len(p.pool))
	}
}

// Requests wait in order where all servers are at the cap; a failed server gets nothing for a while, unless all failed.
func TestDispatchQueuesInOrder(t *testing.T) {
	d := NewDispatch(make(t, "least"), 2)
	d.List([]string{"a", "b"})
	var got []string
	note := func(id uint64, s int, ok bool) { got = append(got, fmt.Sprintf("%d@%d%v", id, s, ok)) }
	for id := range uint64(7) {
		s, ok := d.Arrive(0, id)
		note(id, s, ok)
	}
	if !d.Gone(5) || d.Gone(5) {
		t.Error("a request that waits left once")
	}
	d.Done(ms, 1, ms, Answered, Report{})
	note(d.Next(ms))
	note(d.Next(ms))
	for range failsInARow - 1 {
		d.fails[0]++
	}
	d.Done(ms, 0, ms, Failed, Report{})
	d.Done(ms, 1, ms, Answered, Report{})
	note(d.Next(2 * ms)) // to 1: 0 has failed
	note(d.Next(2 * ms))
	want := []string{"0@0true", "1@1true", "2@0true", "3@1true", "4@0false", "5@0false", "6@0false", "4@1true", "0@0false", "6@1true", "0@0false"}
	if !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	d.Done(3*ms, 1, ms, Answered, Report{})
	d.List([]string{"a"}) // b drains
	if s, ok := d.Arrive(4*ms, 9); !ok || s != 0 {
		t.Errorf("with the only server failed: %d, %v", s, ok)
	}
}

// A server answers a probe with what requests took that came when about as many were in flight.
func TestLatenciesAreOfTheSameLoad(t *testing.T) {
	var l Latencies
	if l.At(3) != 0 {
		t.Error("a latency of nothing")
	}
	for i := range 300 {
		l.Add(i%20, time.Duration(i%20)*ms)
	}
	for _, inflight := range []int{0, 7, 19} {
		if got := l.At(inflight); got < time.Duration(inflight-1)*ms || got > time.Duration(inflight+1)*ms {
			t.Errorf("with %d in flight: %v", inflight, got)
		}
	}
}
