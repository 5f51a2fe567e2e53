package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync"
	"time"

	"olivearch/internal/emulator"
	"olivearch/internal/loadspread"
	"olivearch/internal/scenario"
	"olivearch/internal/stats"
)

// Row is what one contender made of one scene.
type Row struct {
	Scene        string  `json:"scene"`
	Contender    string  `json:"contender"`
	Nodes        int     `json:"nodes"`
	Deviation    float64 `json:"deviation"` // of a second's requests over their mean, among the healthy nodes
	Busiest      float64 `json:"busiest"`   // the busiest of them over the mean
	Idle         int     `json:"idle_node_seconds"`
	FirstBusiest float64 `json:"first_busiest"` // of the first 100 ms, all balancers starting at once
	InAim        float64 `json:"in_aim"`
	LearntAim    float64 `json:"in_aim_learnt"` // of what came once windows were filled
	P99MS        float64 `json:"p99_ms"`
	Refused      float64 `json:"refused"`
	Users        float64 `json:"balancers_a_node"` // that sent it anything
	SlowPart     float64 `json:"slow_part,omitempty"`
	Swing        float64 `json:"swing,omitempty"`     // the deepest autocorrelation of the slow nodes' part, 1 to 8 s on
	Overshoot    float64 `json:"overshoot,omitempty"` // of the first second after a step of load, over what came of it
	Breaches     int     `json:"breaches"`
}

// scene is one scenario, and what olivearch must reach in it; a bound of 0 is none.
type scene struct {
	name                       string
	nodes, sick                int     // of all nodes, the last so many are sick
	slow                       float64 // their work takes so many times as long
	reports                    time.Duration
	busy                       int
	times                      float64
	step                       bool // the load rises by half after 8 s
	full                       bool // with -full alone
	crash                      int  // so many nodes go after 5 s and come back cold a second later
	deviation, busiest, beside float64
}

const (
	balancers = 300
	settled   = 2 * time.Second // the start is a scene of its own: the first 100 ms
	learnt    = 4 * time.Second // windows of reports are full, and cuts made
	length    = 12 * time.Second
	stepAt    = 8 * time.Second
)

// Bounds are wide of what is measured, so that they hold on every seed: the aims themselves are in docs/experiments/spread.md.
var scenes = []scene{
	{name: "calm", nodes: 200, deviation: 0.115, busiest: 1.4},
	{name: "busy-tenth", nodes: 200, busy: 30, times: 5, deviation: 0.23, busiest: 1.8},
	{name: "fifty-times", nodes: 200, busy: 6, times: 50, deviation: 0.5},
	{name: "slow-eighth", nodes: 200, sick: 25, slow: 3, deviation: 0.15, busiest: 1.6},
	{name: "late-1s", nodes: 200, sick: 25, slow: 2, reports: time.Second, step: true},
	{name: "late-3s", nodes: 200, sick: 25, slow: 2, reports: 3 * time.Second, step: true},
	{name: "cold-twenty", nodes: 200, crash: 20},
	{name: "nodes-1000", nodes: 1000, full: true},
	{name: "nodes-10000", nodes: 10000, full: true},
}

// file is the scene's scenario: half of what the nodes can do, of two cores and 40 ms of exponential work each.
func (s *scene) file(seed int) (*scenario.File, error) {
	reports := max(s.reports, 100*time.Millisecond)
	rate := float64(s.nodes) * 25
	if s.nodes > 1000 { // ten thousand nodes under three hundred balancers: as many requests as a machine plays in time
		rate = 25000
	}
	fleet := func(name string, count int, slow float64) string {
		return fmt.Sprintf("  - {name: %s, count: %d, cores: 2, service: %v, reports: %v, cold_from: 0.3, ramp_time: 9s, tip_multiple: 3}\n",
			name, count, time.Duration(float64(40*time.Millisecond)*slow), reports)
	}
	text := fmt.Sprintf("name: %s\nbalancers: %d\nmodes: simulated\nrepeats: 1\nwarmup: 1ms\nlength: %v\nseed: %d\n", s.name, balancers, length, seed)
	if s.busy > 0 {
		text += fmt.Sprintf("busy: {count: %d, times: %g}\n", s.busy, s.times)
	}
	text += "fleet:\n" + fleet("well", s.nodes-s.sick-s.crash, 1)
	if s.sick > 0 {
		text += fleet("slow", s.sick, s.slow)
	}
	if s.crash > 0 {
		text += fleet("cold", s.crash, 1)
	}
	curve := ""
	if s.step {
		curve = fmt.Sprintf(", curve: [{at: 0s, rate: 0.8}, {at: %v, rate: 0.8}, {at: %v, rate: 1.2}]", stepAt-10*time.Millisecond, stepAt)
	}
	text += fmt.Sprintf("load:\n  - {name: c, rate: %g, aim: 250ms, deadline: 1s, sizes: {kind: exponential}, repeat: safe, tenant: all, quota: %g%s}\n", rate, rate, curve)
	if s.crash > 0 {
		text += "troubles:\n  - {at: 5s, for: 1s, kind: crash, nodes: [cold]}\n"
	}
	return scenario.Parse(s.name, []byte(text))
}

// play plays the scene for a contender.
func (s *scene) play(contender string, seed int) (Row, *stats.Turn, error) {
	f, err := s.file(seed)
	if err != nil {
		return Row{}, nil, err
	}
	turn, err := emulator.Play(f, contender, 0)
	if err != nil {
		return Row{}, nil, err
	}
	well, healthy := s.nodes-s.sick-s.crash, make([]float64, s.nodes)
	for n := range well {
		healthy[n] = 1
	}
	e := turn.Spread.Windows(settled, length, time.Second, healthy)
	sum := stats.Total([]*stats.Turn{&turn})
	asked := float64(max(sum.Asked, 1))
	row := Row{
		Scene: s.name, Contender: contender, Nodes: s.nodes, Deviation: e.Deviation, Busiest: e.Busiest, Idle: e.Idle,
		FirstBusiest: turn.Spread.First(100 * time.Millisecond).Busiest, InAim: float64(sum.InAim) / asked, Refused: float64(sum.Refused) / asked,
		P99MS: sum.Quantile(0.99), Users: float64(turn.Pairs) / float64(s.nodes), Breaches: turn.Breaches,
	}
	row.LearntAim = inAim(turn.Blocks[int(learnt/stats.BlockLength):])
	if s.sick > 0 {
		parts := turn.Spread.Parts(settled, length, 250*time.Millisecond, func(n int) bool { return n >= well })
		for _, x := range parts {
			row.SlowPart += x / float64(len(parts))
		}
		for lag := 4; lag <= 32; lag++ {
			row.Swing = min(row.Swing, loadspread.Correlation(parts, lag))
		}
		if s.step {
			row.Overshoot = overshoot(turn.Spread, well)
		}
	}
	return row, &turn, nil
}

// inAim is the share of what was asked that was served within the aim.
func inAim(blocks []stats.Block) float64 {
	asked, in := 0, 0
	for _, b := range blocks {
		asked, in = asked+b.Asked, in+b.InAim
	}
	return float64(in) / float64(max(asked, 1))
}

// overshoot is how far the slow nodes' part went, in any second after the step, beyond where it came to rest: as a part of that, over what
// chance explains.
func overshoot(c *loadspread.Counts, well int) float64 {
	parts := c.Parts(stepAt, length, time.Second, func(n int) bool { return n >= well })
	rest, far := 0.0, 0.0
	for _, x := range parts {
		rest += x / float64(len(parts))
	}
	for _, x := range parts {
		far = max(far, math.Abs(x-rest))
	}
	sum := 0
	for _, x := range c.Between(stepAt, stepAt+time.Second) {
		sum += x
	}
	chance := 2 * math.Sqrt(rest/float64(max(sum, 1))) // two deviations of a second's count
	return max(0, far-chance) / rest
}

// simulate plays all scenes, as many at once as there are cores.
func (f *Figures) simulate(ctx context.Context, o options) error {
	contenders := []string{scenario.Olivearch, "random", "round-robin", "p2c"}
	type job struct {
		s         *scene
		contender string
	}
	var jobs []job
	for i := range scenes {
		if s := &scenes[i]; !s.full || o.full {
			for _, c := range contenders {
				if c == scenario.Olivearch || s.name == "calm" || s.name == "busy-tenth" || s.name == "slow-eighth" {
					jobs = append(jobs, job{s, c})
				}
			}
		}
	}
	rows, errs := make([]Row, len(jobs)), make([]error, len(jobs))
	var players sync.WaitGroup
	places := make(chan struct{}, f.Cores)
	for i, j := range jobs {
		players.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if errs[i] = ctx.Err(); errs[i] != nil {
				return
			}
			row, turn, err := j.s.play(j.contender, o.seed)
			if rows[i] = row; err == nil {
				err = picture(o, j.s.name+"-"+j.contender, turn.Spread, length)
			}
			errs[i] = err
			fmt.Fprintf(os.Stderr, "simulated %s, %s: deviation %.3f, busiest %.2f, in aim %.4f\n", j.s.name, j.contender, row.Deviation, row.Busiest, row.InAim)
		})
	}
	players.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("%s, %s: %w", jobs[i].s.name, jobs[i].contender, err)
		}
	}
	f.Simulated = rows
	f.judge(rows)
	return nil
}

// judge holds the rows against the bounds.
func (f *Figures) judge(rows []Row) {
	chance := 0.0
	for _, r := range rows {
		if r.Scene == "calm" && r.Contender == "random" {
			chance = r.Deviation
		}
	}
	for i := range scenes {
		for _, r := range rows {
			s := &scenes[i]
			if r.Scene != s.name || r.Contender != scenario.Olivearch {
				continue
			}
			f.most(s.name+": breaches", float64(r.Breaches), 0)
			if s.deviation > 0 {
				f.most(s.name+": deviation", r.Deviation, s.deviation)
			}
			if s.busiest > 0 {
				f.most(s.name+": busiest over mean", r.Busiest, s.busiest)
			}
			if s.name == "calm" {
				f.most("calm: idle node-seconds", float64(r.Idle), 0)
				f.most("calm: deviation over that of random choice", r.Deviation/chance, 0.65)
				f.most("calm: first 100 ms, busiest over mean", r.FirstBusiest, 3)
				f.most("calm: balancers that use a node", r.Users, 13)
			}
			if s.step {
				f.most(s.name+": overshoot", r.Overshoot, 0.2)
			}
		}
	}
}
