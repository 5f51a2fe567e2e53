package balancer

import "testing"

func TestInterleaverTake(t *testing.T) {
	for _, c := range []struct {
		name          string
		virtual       float64
		due, round    float64
		next, current float64
	}{
		{"in time: a round later", 10, 10, 2, 12, 10},
		{"in advance: virtual time goes on to it", 10, 11, 2, 13, 11},
		{"a turn missed within a round is made up for", 10, 9, 2, 11, 10},
		{"at most one round of them", 10, 3, 2, 10, 10},
	} {
		i := interleaver{virtualTime: c.virtual}
		if next := i.take(c.due, c.round); next != c.next || i.virtualTime != c.current {
			t.Errorf("%s: next at %v, now %v; want %v, %v", c.name, next, i.virtualTime, c.next, c.current)
		}
	}
}

// Shares of 3, 2 and 1 in six turns: each has its number, evenly spread.
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
			t.Errorf("turns %v: %v in the six from turn %d on", order, count, from)
		}
	}
}
