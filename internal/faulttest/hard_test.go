package faulttest

import (
	"strings"
	"testing"

	"olivearch/internal/faulttest/schedule"
	"olivearch/internal/faulttest/script"
)

// The hard cases with few processes: each must show that its faults happened, and that no rule broke. The scripts in faultscripts/ have them
// with 300.
func TestHardCases(t *testing.T) {
	cases := []struct {
		name, script string
		shown        func(*Result) bool
	}{
		{"all restart with an old list while the list service answers one call in ten", `
name: restart-all
length: 4s
balancers: {count: 6, known: first}
nodes: {count: 4}
list: {notice: 100ms}
load: {rate: 15, retries: 2}
faults:
  - {at: 200ms, for: 400ms, kind: crash, of: [n-0]}
  - {at: 200ms, for: 900ms, kind: drain, of: [n-1]}
  - {at: 1500ms, for: 300ms, kind: kill, of: [balancers]}
  - {at: 1500ms, for: 2s, kind: list-answers, share: 0.1}
`, func(r *Result) bool {
			return r.Figures["restarts"] == 6 && r.Figures["untaken"] > 0 && r.Figures["served"] > 0.5
		}},
		{"some stand still while nodes drain", `
name: stopped
length: 4s
balancers: {count: 6}
nodes: {count: 5}
load: {rate: 15}
faults:
  - {at: 500ms, for: 2500ms, kind: stop, of: [b-0, b-1]}
  - {at: 700ms, kind: drain, of: [n-0, n-1]}
`, func(r *Result) bool { return r.Figures["p99"] > 1000 && r.Figures["served"] > 0.5 }},
		{"answers do not come back, then requests do not arrive", `
name: one-way
length: 6s
balancers: {count: 6}
nodes: {count: 5}
load: {rate: 15}
faults:
  - {at: 1s, for: 1500ms, kind: cut, way: back, from: [b-0, b-1], to: [nodes]}
  - {at: 3500ms, for: 1500ms, kind: cut, way: there, from: [b-0, b-1], to: [nodes]}
`, func(r *Result) bool { return r.Figures["failed"] > 0 && r.Figures["executions"] > 1.005 }},
		{"the list says two things to two halves", `
name: two-truths
length: 4s
balancers: {count: 6}
nodes: {count: 5}
load: {rate: 15}
faults:
  - {at: 500ms, for: 2s, kind: list-split, of: [n-0, n-1]}
`, func(r *Result) bool { return r.Figures["served"] > 0.8 }},
		{"clients give up early and leave, all at once where a node stalls", `
name: clients-leave
length: 4s
balancers: {count: 4}
nodes: {count: 4}
load: {rate: 30, work: 10ms, deadline: 2s}
faults:
  - {at: 500ms, for: 1s, kind: stall, of: [n-0, n-1]}
  - {at: 1s, kind: break, from: [clients], to: [balancers]}
  - {at: 2s, kind: break, from: [clients], to: [balancers]}
  - {at: 2500ms, for: 500ms, kind: cut, way: there, from: [b-0], to: [nodes]}
`, func(r *Result) bool { return r.Figures["lost"] > 0 && r.Figures["served"] > 0.5 }},
		{"balancers die between a request's last byte and its answer", `
name: dies-in-flight
length: 4s
balancers: {count: 4}
nodes: {count: 4}
load: {rate: 40, retries: 2, work: 40ms}
faults:
  - {at: 100ms, kind: kill-on-send, count: 40, of: [balancers]}
`, func(r *Result) bool { return r.Figures["deaths_in_flight"] >= 30 && r.Figures["lost"] > 0 }},
		{"lists are kept on disks that are lost, torn and full", `
name: kept-list
length: 4s
balancers: {count: 5, run: serve}
nodes: {count: 4}
load: {rate: 15, retries: 2}
faults:
  - {at: 100ms, for: 1s, kind: disk, disk: torn, of: [b-1]}
  - {at: 100ms, for: 1s, kind: disk, disk: full, of: [b-2]}
  - {at: 100ms, for: 1s, kind: disk, disk: slow, delay: 200ms, of: [b-3]}
  - {at: 300ms, for: 500ms, kind: drain, of: [n-0]}
  - {at: 1500ms, for: 2s, kind: list-down}
  - {at: 1700ms, for: 200ms, kind: kill, of: [b-1, b-2, b-3, b-4]}
  - {at: 1700ms, for: 200ms, kind: lose, of: [b-0]}
`, func(r *Result) bool { return r.Figures["served"] > 0.75 && r.Figures["refused"] > 0.02 }},
		{"all watches fall silent as soon as they are open, and nodes drain", `
name: silent-watches
length: 9s
balancers: {count: 6}
nodes: {count: 8}
load: {rate: 15}
faults:
  - {at: 100ms, kind: list-silent}
  - {at: 200ms, kind: drain, of: [n-0, n-1]}
  - {at: 1500ms, kind: list-silent}
  - {at: 1600ms, kind: drain, of: [n-2]}
`, func(r *Result) bool { return r.Figures["served"] > 0.9 && r.Figures["due"] == 3 }},
		{"all watches are reset, and nodes drain", `
name: reset-watches
length: 8s
balancers: {count: 6}
nodes: {count: 8}
load: {rate: 15}
faults:
  - {at: 200ms, for: 400ms, every: 500ms, times: 3, kind: list-reset}
  - {at: 300ms, kind: drain, of: [n-0, n-1]}
`, func(r *Result) bool { return r.Figures["served"] > 0.9 && r.Figures["due"] == 2 }},
		{"the list service is down, and nodes drain as it is back", `
name: back-with-drains
length: 13s
balancers: {count: 6}
nodes: {count: 8}
load: {rate: 15}
faults:
  - {at: 100ms, for: 4s, kind: list-down}
  - {at: 1s, kind: drain, of: [n-0]}
  - {at: 4600ms, kind: drain, of: [n-1]}
`, func(r *Result) bool { return r.Figures["served"] > 0.9 && r.Figures["due"] == 2 }},
		{"thirty ramp one cold node, and a third of them are killed in the middle", `
name: cold-thirty
length: 6s
balancers: {count: 30}
nodes: {count: 6, cores: 1, cold_from: 0.15, ramp_time: 4s, tip_multiple: 2, tip_after: 1s}
load: {rate: 4, retries: 2, work: 20ms, deadline: 3s}
faults:
  - {at: 500ms, for: 300ms, kind: crash, of: [n-0]}
  - {at: 2s, for: 300ms, kind: kill, of: [balancers 33%]}
`, func(r *Result) bool { return r.Figures["served"] > 0.9 && r.Figures["restarts"] == 10 }},
		{"clocks are wrong and jump", `
name: wrong-clocks
length: 4s
balancers: {count: 4}
nodes: {count: 4}
load: {rate: 15, retries: 2}
faults:
  - {at: 0s, kind: clock, offset: 1h, of: [b-0]}
  - {at: 0s, kind: clock, offset: -1h, of: [b-1]}
  - {at: 200ms, for: 100ms, kind: kill, of: [b-0, b-1]}
  - {at: 1s, for: 300ms, kind: crash, of: [n-0]}
  - {at: 2s, kind: clock, offset: 10s, of: [b-2, b-3]}
`, func(r *Result) bool { return r.Figures["restarts"] == 2 && r.Figures["served"] > 0.8 }},
		{"clients are cut off, reset and half closed, processes are told to end", `
name: clients
length: 4s
balancers: {count: 4}
nodes: {count: 4}
load: {rate: 20, retries: 2, repeat: keyed}
faults:
  - {at: 300ms, for: 1s, kind: cut, from: [clients], to: [b-0]}
  - {at: 500ms, for: 2s, kind: reset, share: 0.2, way: back, from: [clients], to: [b-1]}
  - {at: 500ms, for: 2s, kind: half-close, share: 0.2, from: [balancers], to: [n-0]}
  - {at: 500ms, for: 2s, kind: slow, delay: 5ms, jitter: 20ms, from: [balancers], to: [n-1]}
  - {at: 500ms, for: 2s, kind: throttle, rate: 20000, from: [balancers], to: [n-2]}
  - {at: 1s, kind: break, from: [balancers], to: [n-3]}
  - {at: 1500ms, kind: terminate, of: [b-2]}
`, func(r *Result) bool { return r.Figures["lost"] > 0 && r.Figures["restarts"] == 1 }},
	}
	var results []func(*testing.T) *Result
	for _, c := range cases {
		results = append(results, play(t, program, parsed(t, c.script)))
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := results[i](t)
			if !r.Holds {
				t.Errorf("%v %v %v", r.Breaches, r.Crashes, r.Findings)
			}
			if !c.shown(r) {
				t.Errorf("the faults do not show: %v", r.Figures)
			}
		})
	}
}

// TestDrawnSchedules plays a few schedules that are drawn; the rig plays hundreds.
func TestDrawnSchedules(t *testing.T) {
	const seeds = 3
	var files []*script.File
	var results []func(*testing.T) *Result
	for seed := 1; seed <= seeds; seed++ {
		f := parsed(t, "name: drawn\nlength: 3s\nbalancers: {count: 5, zones: [a, b]}\nnodes: {count: 4}\nload: {rate: 12, retries: 2}\n")
		f.Seed = seed
		f.Faults = schedule.Faults(f, 6)
		files, results = append(files, f), append(results, play(t, program, f))
	}
	for i, f := range files {
		if r := results[i](t); !r.Holds {
			text, err := f.Text()
			t.Errorf("%v %v\n%s %v", r.Breaches, r.Crashes, text, err)
		}
	}
}

// TestSlowGroundSaysSo: where the relay itself is the bottleneck the ground says so, and bounds of time are open, not broken.
func TestSlowGroundSaysSo(t *testing.T) {
	r := play(t, program, parsed(t, `
name: slow-ground
length: 2s
balancers: {count: 4}
nodes: {count: 3}
load: {rate: 20}
relay: 350
bounds: [{figure: p99, most: 10}, {figure: relay_p99_ms, least: 10}]
`))(t)
	if !r.Holds || !strings.Contains(r.Slow, "too slow") || r.Findings[2].Holds || !r.Findings[2].Open {
		t.Errorf("%q %v %v", r.Slow, r.Findings, r.Breaches)
	}
}

// TestPeers: processes that talk to each other over the ground's links see what its faults say, in each direction apart.
func TestPeers(t *testing.T) {
	const base = `
name: peers
length: 2s
balancers: {count: 1}
nodes: {count: 1}
peers: {count: 3, rate: 200}
load: {rate: 1}
`
	cases := []struct {
		name, faults string
		shown        func(f map[string]float64) bool
	}{
		{"no fault", "", func(f map[string]float64) bool { return f["peers_lost"] < 0.05 && f["peers_late"] == 0 }},
		{"lossy", "faults: [{at: 0s, kind: lossy, loss: 0.3, from: [peers], to: [peers]}]", func(f map[string]float64) bool { return f["peers_lost"] > 0.15 && f["peers_lost"] < 0.5 }},
		{"twice", "faults: [{at: 0s, kind: lossy, twice: 0.5, from: [p-0], to: [p-1]}]", func(f map[string]float64) bool { return f["peers_twice"] > 0.03 && f["peers_twice"] < 0.2 }},
		{"overtaken", "faults: [{at: 0s, kind: lossy, reorder: 0.3, from: [peers], to: [peers]}]", func(f map[string]float64) bool { return f["peers_late"] > 0.1 }},
		{"cut one way", "faults: [{at: 0s, kind: cut, way: there, from: [p-0], to: [p-1, p-2]}]", func(f map[string]float64) bool { return f["peers_lost"] > 0.1 && f["peers_lost"] < 0.45 }},
	}
	var results []func(*testing.T) *Result
	for _, c := range cases {
		results = append(results, play(t, program, parsed(t, base+c.faults)))
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := results[i](t)
			if r.Figures["peers_spoilt"] != 0 || !r.Holds {
				t.Errorf("%v %v", r.Figures, r.Findings)
			}
			if !c.shown(r.Figures) {
				t.Errorf("the fault does not show: %v", r.Figures)
			}
		})
	}
}
