package balancer

import (
	"testing"
	"time"
)

func TestInterleaverTake(t *testing.T) {
	for _, c := range []struct {
		name               string
		virtual            float64
		due, round         float64
		next, virtualAfter float64
	}{
		{"due now: the next turn is one round later", 10, 10, 2, 12, 10},
		{"due later: virtual time advances to the turn", 10, 11, 2, 13, 11},
		{"overdue by less than a round: it is made up for", 10, 9, 2, 11, 10},
		{"overdue by more: at most one round is made up for", 10, 3, 2, 10, 10},
	} {
		i := interleaver{virtualTime: c.virtual}
		if next := i.take(c.due, c.round); next != c.next || i.virtualTime != c.virtualAfter {
			t.Errorf("%s: next turn at %v, virtual time %v; want %v, %v", c.name, next, i.virtualTime, c.next, c.virtualAfter)
		}
	}
}

// Of every six turns, shares of 3, 2 and 1 get 3, 2 and 1.
func TestInterleaverFollowsShares(t *testing.T) {
	shares := []float64{3, 2, 1}
	due := []float64{0, 0, 0}
	var i interleaver
	var order []int
	for range 12 {
		first := 0
		for j := range due {
			if due[j] < due[first] {
				first = j
			}
		}
		due[first] = i.take(due[first], 6/shares[first])
		order = append(order, first)
	}
	for from := 0; from < 12; from += 6 {
		count := [3]int{}
		for _, j := range order[from : from+6] {
			count[j]++
		}
		if count != [3]int{3, 2, 1} {
			t.Errorf("turns %v: counts %v in the six from turn %d on", order, count, from)
		}
	}
}

// The example is from Badea and Borcoci, "Content Server Saturation Detection and Load Balancing Based on Financial
// Techniques": of two upstreams with equal shares, each gets every second turn. Once the share of one is a third of the
// other's, which is a quarter of the traffic, it gets every fourth turn.
func TestQuarterOfTheTrafficIsEveryFourthTurn(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	one := b.upstreams[0]
	turns := func(from, n int) (taken []int) {
		for i := from; i < from+n; i++ {
			if serve(t, b, time.Hour, RequestID(i)) == one {
				taken = append(taken, i)
			}
		}
		return taken
	}
	even := turns(1, 20)
	one.share.weight = 1.0 / 3
	quarter := turns(101, 40)
	for i := 1; i < len(even); i++ {
		if even[i]-even[i-1] != 2 {
			t.Errorf("equal shares: took turns %v, want every second", even)
		}
	}
	for i := 2; i < len(quarter); i++ {
		if quarter[i]-quarter[i-1] != 4 {
			t.Errorf("a quarter of the traffic: took turns %v, want every fourth", quarter)
		}
	}
	if len(even) != 10 || len(quarter) < 9 {
		t.Errorf("took %d of 20 and %d of 40 turns, want 10 and at least 9", len(even), len(quarter))
	}
}

// At most Limits.MaxInFlight attempts are in flight over all upstreams. Further requests are queued and take no
// upstream's turn until an attempt has ended.
func TestMaxInFlightOverAllUpstreams(t *testing.T) {
	s := settings()
	s.Limits.MaxInFlight = 4
	b, h := start(t, s, fleet(4))
	for i := range RequestID(6) {
		b.RequestArrived(time.Hour, Request{ID: i + 1, Class: "write", Budget: time.Second})
	}
	if n := h.count("send"); n != 4 || len(b.queue.waiting) != 2 {
		t.Fatalf("%d sent, %d queued; want 4, 2", n, len(b.queue.waiting))
	}
	b.AttemptFinished(time.Hour+ms, AttemptResult{ID: 2, Latency: ms, Status: OK})
	if n := h.count("send"); n != 5 || len(b.queue.waiting) != 1 || b.inFlight != 4 {
		t.Errorf("after an answer: %d sent, %d queued, %d in flight; want 5, 1, 4", n, len(b.queue.waiting), b.inFlight)
	}
}
