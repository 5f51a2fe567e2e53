package main

import (
	"fmt"
	"math"

	"olivearch/internal/capacity"
)

// The bounds, which hold for a balancer of the planned size.
const (
	readyMost    = 5000 // ms
	idleMost     = 0.01 // part of a core
	residentMost = 64   // MB more than the smallest configuration
	inForceMost  = 1000 // ms
	changeMost   = 20   // ms of CPU
	addedMost    = 1.1  // ms at p99
)

// figures of a row, by the name that fits and plots have.
var figures = []struct {
	name, unit string
	of         func(*Row) float64
	bound      float64 // 0: none
}{
	{"ready", "ms", func(r *Row) float64 { return r.ReadyMS }, readyMost},
	{"start_cpu", "ms", func(r *Row) float64 { return r.StartCPUMS }, 0},
	{"idle_cpu", "part of a core", func(r *Row) float64 { return r.IdleCPU }, idleMost},
	{"resident", "MB", func(r *Row) float64 { return r.ResidentMB }, 0},
	{"peak", "MB", func(r *Row) float64 { return r.PeakMB }, 0},
	{"idle_read", "bytes a second", func(r *Row) float64 { return r.IdleRead }, 0},
	{"threads", "", func(r *Row) float64 { return float64(r.Threads) }, 0},
	{"descriptors", "", func(r *Row) float64 { return float64(r.Descriptors) }, 0},
	{"comment_cpu", "ms", cost(comment), changeMost},
	{"route_cpu", "ms", cost(added), changeMost},
	{"quota_cpu", "ms", cost(quota), changeMost},
	{"drain_cpu", "ms", cost(drain), changeMost},
	{"largest_cpu", "ms", cost(largest), changeMost},
	{"comment_in_force", "ms", delay(comment), inForceMost},
	{"route_in_force", "ms", delay(added), inForceMost},
	{"quota_in_force", "ms", delay(quota), inForceMost},
	{"drain_in_force", "ms", delay(drain), inForceMost},
}

func cost(kind string) func(*Row) float64 {
	return func(r *Row) float64 { return r.change(kind).CPUMS }
}

func delay(kind string) func(*Row) float64 {
	return func(r *Row) float64 { return r.change(kind).P99MS }
}

// change is what a kind of change cost; not numbers if it was not measured.
func (r *Row) change(kind string) Change {
	c, ok := r.Changes[kind]
	if !ok || c.Why != "" {
		return Change{CPUMS: math.NaN(), P50MS: math.NaN(), P99MS: math.NaN(), Read: math.NaN()}
	}
	return c
}

// fit fits lines to the rows of a factor, and holds the largest of all together against the bounds.
func (r *rig) fit(f factor, rows []*Row) {
	for _, x := range figures {
		var points []capacity.Point
		for _, row := range rows {
			if y := x.of(row); row.Why == "" && !math.IsNaN(y) {
				points = append(points, capacity.Point{X: f.of(row.Size), Y: y})
			}
		}
		if line, err := capacity.Line(points); err == nil {
			r.Fits[f.name+"/"+x.name] = line
		}
	}
	if f.name != all || len(rows) < 2 {
		return
	}
	first, last := rows[0], rows[len(rows)-1]
	if last.Why != "" {
		r.Broken = append(r.Broken, last.Size.String()+": "+last.Why)
	}
	r.most("time to ready, ms", last.ReadyMS, readyMost)
	if last.IdleS > 0 { // it runs
		r.most("idle, part of a core", last.IdleCPU, idleMost)
		r.most("resident over the smallest, MB", last.ResidentMB-first.ResidentMB, residentMost)
	}
	for _, kind := range kinds {
		c, ok := last.Changes[kind]
		switch {
		case !ok:
		case c.Why != "":
			r.Broken = append(r.Broken, kind+": "+c.Why)
		default:
			if kind != largest { // its time is that of the writing alone
				r.most(kind+" in force, ms", c.P99MS, inForceMost)
			}
			r.most(kind+", ms of CPU", c.CPUMS, changeMost)
		}
	}
	if last.Scrape != nil {
		r.judgeScrape(last.Scrape)
		if first.Scrape != nil {
			r.plan("the same once metrics have been read, MB", last.Scrape.MB-first.Scrape.MB, residentMost)
		}
	}
	if t := last.Traffic; t != nil {
		if first.Traffic != nil {
			r.plan("resident over the smallest once requests have come to all, MB", last.EndMB-first.EndMB, residentMost)
		}
		if r.most("added to a request at p99 while changes come, ms", t.With.AddedP99, addedMost); t.With.Relay99 > addedMost {
			r.Broken = append(r.Broken, fmt.Sprintf("what is added at p99 can't be judged: a relay alone adds %.2f ms in the quietest of %d rounds", t.With.Relay99, len(t.Rounds)))
		}
		r.most("requests that were not answered 200", float64(t.wrong()), 0)
	}
}

// most notes a bound.
func (r *rig) most(what string, value, bound float64) {
	r.Bounds = append(r.Bounds, capacity.AtMost(what, value, bound))
}

// plan notes a figure against what the fleet's plan gives a balancer for control where nothing has been built for it yet: it is reported
// with its ratio, and does not fail the run.
func (r *rig) plan(what string, value, bound float64) {
	r.Plan = append(r.Plan, capacity.AtMost(what, value, bound))
}
