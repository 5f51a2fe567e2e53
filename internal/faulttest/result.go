package faulttest

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivearch/internal/faulttest/checker"
	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/loadspread"
	"olivearch/internal/procstat"
)

// eventPeers is what is counted between two peers.
type eventPeers = event.Peers

// Result is what came of a script.
type Result struct {
	Script   string             `json:"script"`
	Seed     int                `json:"seed"`
	Seconds  float64            `json:"seconds"`
	Figures  map[string]float64 `json:"figures"`
	Faults   map[string]int     `json:"faults"`
	Breaches []string           `json:"breaches,omitempty"` // the first of each rule
	Rules    map[string]int     `json:"rules,omitempty"`    // breaches by rule
	Crashes  []string           `json:"crashes,omitempty"`
	Wrong    []string           `json:"history,omitempty"` // what the ledger's history shows that may not be
	Blurred  []string           `json:"blurred,omitempty"`
	Slow     string             `json:"slow,omitempty"` // why the ground itself is the bottleneck
	Findings []Finding          `json:"bounds,omitempty"`
	Holds    bool               `json:"holds"`
	starved  bool               // connections waited for descriptors, and may have been given up
	Blocks   []Block            `json:"-"` // by time
	Spans    []Span             `json:"-"` // faults
	Spread   *loadspread.Counts `json:"-"` // requests by node from the load's start
	Dots     []Dot              `json:"-"` // breaches
}

// Finding is whether a bound holds.
type Finding struct {
	Text  string  `json:"bound"`
	Value float64 `json:"value"`
	Holds bool    `json:"holds"`
	Open  bool    `json:"not_judged,omitempty"` // the ground was too slow to tell
}

// Block is what became of the requests that were asked within a part of a second.
type Block struct {
	At                            float64 // s from the start of the load
	Served, Refused, Failed, Lost float64 // a second
}

// Span is a fault's time.
type Span struct {
	Kind     string
	From, To float64
}

// Dot is a breach.
type Dot struct {
	At   float64
	Rule int
}

const (
	// slowGround is the relay's own delay, in nine and ninety in a hundred of its bytes, from which on the ground blames itself.
	slowGround = 10 * time.Millisecond
	// toldMost is how many of each kind are told one by one.
	toldMost  = 5
	blockTime = 200 * time.Millisecond
)

// measure is what is taken of the processes while they run.
type measure struct {
	started           time.Duration
	began, ended      int64
	balancers, voters usage
}

// usage is what a kind of process uses.
type usage struct {
	cpu    map[int]time.Duration // by process id
	each   float64               // ms a second
	memory float64               // MB
}

func pids(all []*host) (ids []int) {
	for _, h := range all {
		if p := h.running(); p != nil {
			ids = append(ids, p.ID())
		}
	}
	return ids
}

func (u *usage) begin(all []*host) {
	u.cpu = map[int]time.Duration{}
	for _, pid := range pids(all) {
		if d, err := procstat.CPU(pid); err == nil {
			u.cpu[pid] = d
		}
	}
}

func (u *usage) end(all []*host, seconds float64) {
	var sum time.Duration
	n := 0
	for _, pid := range pids(all) {
		if d, err := procstat.CPU(pid); err == nil && u.cpu[pid] > 0 {
			sum, n = sum+d-u.cpu[pid], n+1
		}
		if mb, err := procstat.Resident(pid); err == nil {
			u.memory = max(u.memory, mb)
		}
	}
	if n > 0 {
		u.each = sum.Seconds() * 1000 / float64(n) / seconds
	}
}

func (m *measure) use(w *world) {
	m.balancers.begin(w.balancerHosts())
	m.voters.begin(w.voterHosts())
}

func (m *measure) used(w *world) {
	seconds := float64(m.ended-m.began) / 1e9
	m.balancers.end(w.balancerHosts(), seconds)
	m.voters.end(w.voterHosts(), seconds)
}

func (w *world) result(v checker.Verdict, m *measure) *Result {
	r := &Result{Script: w.f.Name, Seed: w.f.Seed, Faults: w.counts.faults, Crashes: w.counts.crashes[:min(len(w.counts.crashes), toldMost)]}
	asked := float64(max(v.Asked, 1))
	aim := int64(w.f.Load.Aim)
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	inAim := 0
	for _, x := range v.Ends {
		if x.Status != 200 {
			continue
		}
		h.RecordValue(max(1, x.Took/1000))
		if x.Took <= aim {
			inAim++
		}
	}
	lag := w.lag.Quantile(99)
	r.Figures = map[string]float64{
		"asked": float64(v.Asked), "served": float64(v.Served) / asked, "refused": float64(v.Refused) / asked, "failed": float64(v.Failed) / asked,
		"lost": float64(v.Lost) / asked, "crossed": float64(v.Crossed), "in_aim": float64(inAim) / asked, "untaken": float64(w.counts.untaken), "twice": float64(v.Twice),
		"p50": float64(h.ValueAtQuantile(50)) / 1000, "p99": float64(h.ValueAtQuantile(99)) / 1000, "due": float64(v.Due), "executions": float64(v.Executions) / float64(max(v.Served, 1)),
		"breaches": float64(len(v.Breaches)), "blurred": float64(len(v.Blurred)), "restarts": float64(w.counts.restarts), "crashes": float64(len(w.counts.crashes)),
		"leaks": float64(w.relay.Leaks()), "relay_p99_ms": float64(lag) / 1e6, "start_s": m.started.Seconds(), "cpu_ms": m.balancers.each, "memory_mb": m.balancers.memory,
		"voter_cpu_ms": m.voters.each, "voter_memory_mb": m.voters.memory,
		"recovered_s": w.recovered(v, m), "moved": float64(w.relay.Moved()),
	}
	w.peersSeen(r)
	w.effort(r, m)
	if n := w.relay.Starved(); n > 0 {
		r.Slow, r.starved = fmt.Sprintf("the ground itself ran out of descriptors %d times: what it lost or made late is not judged", n), true
	} else if lag > slowGround {
		r.Slow = fmt.Sprintf("the ground itself is too slow: its relay's own delay has a p99 of %.1f ms; figures of time and service are not judged", float64(lag)/1e6)
	}
	r.Rules = map[string]int{}
	for _, b := range v.Breaches {
		if r.Rules[b.Rule.String()]++; r.Rules[b.Rule.String()] <= toldMost {
			r.Breaches = append(r.Breaches, w.tell(b, m))
		}
	}
	for _, b := range v.Blurred[:min(len(v.Blurred), toldMost)] {
		r.Blurred = append(r.Blurred, w.tell(b, m))
	}
	for _, b := range v.Breaches {
		r.Dots = append(r.Dots, Dot{float64(b.At-m.began) / 1e9, int(b.Rule)})
	}
	for _, x := range w.f.Faults {
		to := time.Duration(x.At + x.For)
		if x.For == 0 {
			to = time.Duration(x.At)
		}
		r.Spans = append(r.Spans, Span{x.Kind, time.Duration(x.At).Seconds(), to.Seconds()})
	}
	r.Blocks = blocks(v, m)
	return r
}

// effort adds what all balancers together ask of nodes and of the list service beside requests.
func (w *world) effort(r *Result, m *measure) {
	opened, most := 0, 0
	for _, s := range w.services {
		o, x := s.Connections()
		opened, most = opened+o, most+x
	}
	seconds := float64(m.ended-m.began) / 1e9
	r.Figures["connects_s"], r.Figures["node_connections"] = float64(opened)/seconds, float64(most)/float64(max(1, len(w.services)))
	r.Figures["list_calls_s"] = float64(w.list.called()) / seconds
}

// round leaves four digits behind the point.
func (r *Result) round() {
	for name, x := range r.Figures {
		r.Figures[name] = math.Round(x*1e4) / 1e4
	}
}

// tell is a breach as it is told: by the time of the load.
func (w *world) tell(b checker.Breach, m *measure) string {
	return fmt.Sprintf("%.3f s: %s: %s", float64(b.At-m.began)/1e9, b.Rule, b.What)
}

func blocks(v checker.Verdict, m *measure) []Block {
	n := int((m.ended-m.began)/int64(blockTime)) + 1
	all := make([]Block, n)
	for i := range all {
		all[i].At = (float64(i) + 0.5) * blockTime.Seconds()
	}
	for _, x := range v.Ends {
		i := int((x.At - m.began) / int64(blockTime))
		if i < 0 || i >= n {
			continue
		}
		one := 1 / blockTime.Seconds()
		switch {
		case x.Status == 200:
			all[i].Served += one
		case x.Status == 429 || x.Status == 503:
			all[i].Refused += one
		case x.Status == 0:
			all[i].Lost += one
		default:
			all[i].Failed += one
		}
	}
	return all
}

// recovered is how long after the last fault's end, in s, nine in ten of what is asked are served in time again; -1: never.
func (w *world) recovered(v checker.Verdict, m *measure) float64 {
	last := time.Duration(0)
	for _, x := range w.f.Faults {
		last = max(last, time.Duration(x.At+x.For))
	}
	const window, step = 500 * time.Millisecond, 100 * time.Millisecond
	good := map[int64]int{}
	all := map[int64]int{}
	for _, x := range v.Ends {
		slot := (x.At - m.began) / int64(step)
		all[slot]++
		if x.Status == 200 && x.Took <= int64(w.f.Load.Aim) {
			good[slot]++
		}
	}
	for at := last; at+window <= time.Duration(w.f.Length); at += step {
		g, a := 0, 0
		for slot := int64(at / step); slot < int64((at+window)/step); slot++ {
			g, a = g+good[slot], a+all[slot]
		}
		if a > 0 && float64(g) >= 0.9*float64(a) {
			return (at - last).Seconds()
		}
	}
	return -1
}

func (w *world) peersSeen(r *Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum eventPeers
	for _, x := range w.tallies {
		sum.Sent, sum.Came, sum.Twice, sum.Late, sum.Spoilt = sum.Sent+x.Sent, sum.Came+x.Came, sum.Twice+x.Twice, sum.Late+x.Late, sum.Spoilt+x.Spoilt
		sum.Stream += x.Stream
	}
	sent := float64(max(sum.Sent, 1))
	r.Figures["peers_lost"], r.Figures["peers_twice"], r.Figures["peers_late"] = max(0, float64(sum.Sent-sum.Came)/sent), float64(sum.Twice)/sent, float64(sum.Late)/sent
	r.Figures["peers_spoilt"] = float64(sum.Spoilt)
	if sum.Sent == 0 {
		r.Figures["peers_lost"] = 0
	}
}

// structural are the figures that hold or not however slow the ground is.
var structural = []string{"breaches", "crashes", "twice", "restarts", "deaths_in_flight", "peers_spoilt", "history_wrong", "promises_lost", "relay_p99_ms"}

// judgeBounds compares the figures with what must hold. No breach and no crash is meant in any case.
func (r *Result) judgeBounds(bounds []script.Bound) {
	none := 0.0
	all := []script.Bound{{Figure: "breaches", Most: &none}, {Figure: "crashes", Most: &none}}
	if _, told := r.Figures["history_wrong"]; told {
		all = append(all, script.Bound{Figure: "history_wrong", Most: &none})
	}
	all = append(all, bounds...)
	r.Holds = true
	for _, b := range all {
		x := r.Figures[b.Figure]
		f := Finding{Value: x, Holds: true}
		var text []string
		if b.Most != nil {
			text = append(text, fmt.Sprintf("at most %v", *b.Most))
			f.Holds = f.Holds && x <= *b.Most
		}
		if b.Least != nil {
			text = append(text, fmt.Sprintf("at least %v", *b.Least))
			f.Holds = f.Holds && x >= *b.Least
		}
		f.Text = b.Figure + " " + strings.Join(text, ", ")
		f.Open = r.Slow != "" && (!slices.Contains(structural, b.Figure) || (r.starved && b.Figure == "breaches"))
		r.Holds = r.Holds && (f.Holds || f.Open)
		r.Findings = append(r.Findings, f)
	}
}
