package faulttest

import (
	"math"
	"testing"
	"time"

	"olivearch/internal/loadspread"
)

func TestEvenness(t *testing.T) {
	c := loadspread.New(4)
	put := func(at time.Duration, counts ...int) {
		for node, n := range counts {
			for range n {
				c.Add(node, at)
			}
		}
	}
	put(10, 4, 0, 0, 0) // the first 100 ms
	put(time.Second+5, 10, 10, 10, 10)
	put(2*time.Second+5, 20, 10, 10, 0)
	c.Add(0, -1) // before the load
	f := map[string]float64{}
	evenness(c, 3*time.Second, f)
	for name, want := range map[string]float64{"spread": math.Sqrt(50) / 20, "busiest": 1.5, "idle_node_seconds": 1, "first_busiest": 4} {
		if math.Abs(f[name]-want) > 1e-9 {
			t.Errorf("%s is %v, want %v", name, f[name], want)
		}
	}
	evenness(loadspread.New(3), time.Second, f)
	if f["spread"] != 0 || f["first_busiest"] != 0 {
		t.Errorf("nothing came: %v", f)
	}
}

// TestEvenAcrossProcesses: processes that each use a few of the nodes, and faults between them. No node is left idle while nothing is
// wrong, load comes to the nodes that are well, and no rule breaks. How even it is at size is the rig's to measure.
func TestEvenAcrossProcesses(t *testing.T) {
	const fleet = "length: 6s\nbalancers: {count: 12}\nnodes: {count: 12}\n"
	second := func(r *Result, at time.Duration) []int { return r.Spread.Between(at, at+time.Second) }
	idle := func(r *Result, from, to time.Duration) int {
		return r.Spread.Windows(from, to, 2*time.Second, nil).Idle
	}
	cases := []struct {
		name, script string
		shown        func(*Result) bool
	}{
		{"seven in ten are killed at once and come back", fleet + `
name: start
load: {rate: 8, retries: 2}
faults: [{at: 1500ms, for: 1s, kind: kill, of: [balancers 70%]}]
`, func(r *Result) bool {
			return r.Figures["restarts"] >= 8 && idle(r, 0, 2*time.Second) == 0 && idle(r, 4*time.Second, 6*time.Second) == 0
		}},
		{"half believe for a while that a third of the nodes are gone", fleet + `
name: two-lists
load: {rate: 8, retries: 2}
faults: [{at: 1s, for: 3s, kind: list-split, from: [balancers 50%], of: [n-0, n-1, n-2, n-3]}]
`, func(r *Result) bool {
			torn := second(r, 3*time.Second) // the other half still uses them
			return torn[0]+torn[1]+torn[2]+torn[3] > 0 && idle(r, 0, 2*time.Second) == 0 && r.Figures["served"] > 0.9
		}},
		{"a node is slow from the first second on", fleet + `
name: slow
load: {rate: 16, retries: 1, work: 30ms}
faults: [{at: 500ms, kind: slow-node, of: [n-5], factor: 8}]
`, func(r *Result) bool { // it has less than its even part, by four deviations, and is never cut to nothing
			got, all := 0, 0
			for node, n := range r.Spread.Between(3*time.Second, 6*time.Second) {
				if all += n; node == 5 {
					got = n
				}
			}
			return got > 0 && got*12 < all
		}},
		{"the same with reports a second old", `
name: late
length: 8s
balancers: {count: 12}
nodes: {count: 12, late: 1s}
load: {rate: 16, retries: 1, work: 30ms}
faults: [{at: 500ms, kind: slow-node, of: [n-5], factor: 8}]
`, func(r *Result) bool { // nobody swings: what is cut stays cut, and is never nothing
			for _, from := range []time.Duration{5 * time.Second, 6500 * time.Millisecond} {
				got, all := 0, 0
				for node, n := range r.Spread.Between(from, from+1500*time.Millisecond) {
					if all += n; node == 5 {
						got = n
					}
				}
				if got*12 >= all {
					return false
				}
			}
			return true
		}},
		{"one zone has four times the others' traffic and a quarter of the nodes", `
name: zones
length: 6s
balancers: {count: 12, zones: [a, b, c]}
nodes: {count: 12, zones: [a, b, b, c]}
load: {rate: 8, heavy: {of: [balancers in a], times: 4}, retries: 1, work: 10ms}
`, func(r *Result) bool { // the module does not prefer a zone: its nodes have no more than the others'
			inA, all := 0, 0
			for node, n := range r.Spread.Between(3*time.Second, 6*time.Second) {
				if all += n; node%4 == 0 {
					inA += n
				}
			}
			return idle(r, 2*time.Second, 6*time.Second) == 0 && r.Figures["served"] > 0.9 && inA*3 < all && inA*6 > all
		}},
		{"one balancer has half of all traffic", fleet + `
name: busy
load: {rate: 5, heavy: {of: [b-3], times: 11}, retries: 1, work: 10ms}
`, func(r *Result) bool { // at its few alone it would be several times the mean
			return idle(r, 2*time.Second, 6*time.Second) == 0 && r.Figures["served"] > 0.9 && r.Spread.Windows(3*time.Second, 6*time.Second, time.Second, nil).Busiest < 2
		}},
	}
	for _, c := range cases { // one after the other: two cores are too slow to judge times of more processes at once
		t.Run(c.name, func(t *testing.T) {
			r := play(t, program, parsed(t, c.script))(t)
			if !r.Holds {
				t.Errorf("%v %v %v", r.Breaches, r.Crashes, r.Findings)
			}
			if r.Slow == "" && !c.shown(r) {
				t.Errorf("not as it should be: %v, by second %v %v %v", r.Figures, second(r, 0), second(r, 3*time.Second), second(r, 5*time.Second))
			}
		})
	}
}
