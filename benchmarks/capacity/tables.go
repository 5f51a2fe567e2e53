package main

import (
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"olivearch/internal/capacity"
)

// page is a page of tables, in Markdown.
type page struct{ strings.Builder }

func (p *page) say(form string, args ...any) { fmt.Fprintf(p, form+"\n", args...) }

// row writes a table's row; head one with the line under it.
func (p *page) row(cells ...string) { p.say("| %s |", strings.Join(cells, " | ")) }

func (p *page) head(cells ...string) {
	p.say("")
	p.row(cells...)
	p.say("|%s", strings.Repeat(" --- |", len(cells)))
}

// num is a figure with four digits, or a dash.
func num(x float64) string {
	switch {
	case math.IsNaN(x):
		return "-"
	case x != 0 && math.Abs(x) < 1e-4:
		return fmt.Sprintf("%.2e", x)
	case math.Abs(x) >= 1000:
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.4g", x)
}

// tables writes what was measured as a page.
func (r *rig) tables() error {
	p := &page{}
	p.say("# Figures of a run of `benchmarks/capacity`\n")
	p.say("Written by `%s` on the code of commit %s; %d cores, load of the machine before the run %.1f, %.0f s. Under a load of its own the machine gives", r.Command, r.Commit, r.Cores, r.Load, r.Seconds)
	p.say("CPU times that can be used, and times by the clock that are too long. What the columns mean: [operate/capacity.md](../operate/capacity.md).")
	if len(r.Rows) > 0 {
		r.slopeTables(p)
	}
	if r.Discovery != nil {
		r.discoveryTable(p)
	}
	if r.Calibration != nil {
		r.calibrationTable(p)
	}
	if r.Fleet != nil {
		r.fleetTables(p)
	}
	for _, x := range []struct {
		title  string
		bounds []capacity.Bound
	}{{"Bounds", r.Bounds}, {"Against the plan's budget, where nothing is built yet", r.Plan}} {
		if len(x.bounds) == 0 {
			continue
		}
		p.say("\n## %s", x.title)
		p.head("what", "value", "bound", "ratio", "")
		for _, b := range x.bounds {
			p.row(b.What, num(b.Value), num(b.Most), num(b.Ratio), map[bool]string{true: "holds", false: "**broken**"}[b.Holds])
		}
	}
	if len(r.Broken) > 0 {
		p.say("\nBroken: %s.", strings.Join(r.Broken, "; "))
	}
	return os.WriteFile(filepath.Join(r.out, r.name+".md"), []byte(p.String()), 0o644)
}

func (r *rig) slopeTables(p *page) {
	p.say("\n## One process by size")
	p.head("factor", "pools", "nodes", "routes", "tenants", "ready ms", "start CPU ms", "idle, of a core", "MB", "peak MB", "MB at the end", "threads", "descriptors", "read idle B/s", "log lines")
	for _, x := range r.Rows {
		idle, threads := num(x.IdleCPU), fmt.Sprint(x.Threads)
		if x.IdleS == 0 {
			idle, threads = "-", "-"
		}
		p.row(x.Factor, fmt.Sprint(x.Pools), fmt.Sprint(x.Nodes), fmt.Sprint(x.Routes), fmt.Sprint(x.Tenants), num(x.ReadyMS), num(x.StartCPUMS), idle, num(x.ResidentMB),
			num(x.PeakMB), num(x.EndMB), threads, fmt.Sprint(x.Descriptors), num(x.IdleRead), fmt.Sprint(x.LogLines))
	}
	for _, x := range r.Rows {
		if x.Why != "" {
			p.say("\n%v: %s", x.Size, x.Why)
		}
	}
	p.say("\nOne change: CPU in ms, then the median and the longest time in ms until it was in force.")
	p.head(append([]string{"factor", "pools", "nodes", "routes", "tenants"}, kinds...)...)
	for _, x := range r.Rows {
		cells := []string{x.Factor, fmt.Sprint(x.Pools), fmt.Sprint(x.Nodes), fmt.Sprint(x.Routes), fmt.Sprint(x.Tenants)}
		for _, kind := range kinds {
			switch c, ok := x.Changes[kind]; {
			case !ok:
				cells = append(cells, "-")
			case c.Why != "":
				cells = append(cells, "failed: "+c.Why)
			case kind == largest:
				cells = append(cells, num(c.CPUMS))
			default:
				cells = append(cells, fmt.Sprintf("%s; %s, %s", num(c.CPUMS), num(c.P50MS), num(c.P99MS)))
			}
		}
		p.row(cells...)
	}
	p.say("\n## Lines through them")
	p.say("\nFigure = at 0 + slope x the factor. The residual is the root mean square of what the line leaves; a knee is told where the upper half is steeper by half and by three errors.")
	p.head("factor", "figure", "from", "to", "points", "slope", "its error", "at 0", "residual", "upper half", "knee")
	for _, key := range slices.Sorted(maps.Keys(r.Fits)) {
		f := r.Fits[key]
		factor, name, _ := strings.Cut(key, "/")
		p.row(factor, name, num(f.From), num(f.To), fmt.Sprint(f.Points), num(f.Slope), num(f.Error), num(f.At0), num(f.Residual), num(f.Upper), map[bool]string{true: "yes"}[f.Knee])
	}
	p.say("\n## Requests while changes come")
	p.head("size", "changes", "asked", "not 200", "p50 ms", "p99 ms", "straight to a node p99", "added p50", "added p99", "a relay adds p50", "p99", "CPU")
	for _, x := range r.Rows {
		if t := x.Traffic; t != nil {
			for i, s := range t.all() {
				p.row(x.Size.String(), map[bool]string{true: "none", false: "one a second"}[i == 0], fmt.Sprint(s.Asked), fmt.Sprint(s.Wrong), num(s.P50), num(s.P99), num(s.Direct99), num(s.AddedP50), num(s.AddedP99), num(s.Relay50), num(s.Relay99), num(s.CPU))
			}
		}
	}
	p.say("\n## Metrics, and the live view")
	p.say("\nOnce requests have come to all services. A scrape is the mean of twelve (four in a default run), packed with gzip.")
	p.head("size", "series", "bytes", "packed", "ms of CPU", "MB then", "view without nodes, bytes", "ms of CPU", "view of the largest pool, nodes used", "ms of CPU", "whole view", "ms of CPU", "MB then")
	for _, x := range r.Rows {
		if s := x.Scrape; s != nil {
			p.row(x.Size.String(), fmt.Sprint(s.Series), num(s.Plain), num(s.Packed), num(s.CPUMS), num(s.MB), num(s.NoNodes), num(s.NoNodesCPU), num(s.OnePool), num(s.OnePoolCPU),
				num(s.Whole), num(s.WholeCPU), num(s.WholeMB))
		}
	}
}

func (r *rig) discoveryTable(p *page) {
	x := r.Discovery
	p.say("\n## Lists that are followed at a discovery service")
	p.say("\n%d lists with %d nodes in one process; bytes of TCP's payload, seen at the service.", x.Lists, x.Nodes)
	p.head("what", "of one list")
	p.row("calls at the start", num(x.StartCalls))
	p.row("bytes up at the start", num(x.StartUp))
	p.row("bytes down at the start", line(x.WholeFit))
	p.row(fmt.Sprintf("calls a second, idle (%.0f s)", x.IdleS), num(x.IdleCalls))
	p.row("bytes up a second, idle", num(x.IdleUp))
	p.row("bytes down a second, idle", num(x.IdleDown))
	p.row("CPU, idle, of a core", num(x.IdleCPU))
	p.row("bytes up for a change told as a delta", num(x.DeltaUp))
	p.row("bytes down for it", num(x.DeltaDown))
	p.row("in force, ms, median and longest", num(x.DeltaMS)+", "+num(x.DeltaMostMS))
	p.row("bytes down for a change told as the whole list", line(x.WholeChange))
	p.say("\nAt 490 lists: %.0f bytes a second, idle.", x.At490)
}

// line is a fit over the nodes of lists.
func line(f capacity.Fit) string {
	return fmt.Sprintf("%s + %s (± %s) x nodes, from %g to %g nodes, residual %s", num(f.At0), num(f.Slope), num(f.Error), f.From, f.To, num(f.Residual))
}

func (r *rig) calibrationTable(p *page) {
	x := r.Calibration
	p.say("\n## Hollow balancers against real ones")
	p.say("\n%d of each, %v, the same load: a start, %v idle, %d drains, %d reloads that add a route. Figures of one balancer.", x.Real.Balancers, x.Size, r.window(), r.times(5, 2), r.times(3, 1))
	p.head("", "start CPU ms", "idle, of a core", "read idle B/s", "MB", "MB after changes", "drain CPU ms", "read for it", "reload CPU ms")
	for _, y := range []struct {
		name string
		PerBalancer
	}{{"real", x.Real}, {"hollow", x.Hollow}} {
		p.row(y.name, num(y.StartCPUMS), num(y.IdleCPU), num(y.IdleRead), num(y.ResidentMB), num(y.EndMB), num(y.DrainCPUMS), num(y.DrainRead), num(y.ReloadMS))
	}
	p.say("\nA real one's figure over a hollow one's, to be carried:")
	p.head("figure", "factor", "")
	for _, name := range slices.Sorted(maps.Keys(x.Factors)) {
		p.row(name, num(x.Factors[name]), map[bool]string{true: "over 10 %"}[slices.Contains(x.Outside, name)])
	}
	p.say("\nA real one has %s MB more than a hollow one; a process without balancers has %s MB, which is in a hollow one's figure by its part.", num(x.OwnMB), num(x.BaseMB))
}

func (r *rig) fleetTables(p *page) {
	x := r.Fleet
	p.say("\n## A fleet of hollow balancers")
	p.say("\n%v. Figures of one hollow balancer; multiply by the factors above. When a change is in force is asked at the first %d at most, since one user has 128", x.Size, watchedMost)
	p.say("inotify instances here and each balancer takes one; those behind them look at their lists every 5 s, which is told apart.")
	p.head("balancers", "start CPU ms", "ready p50 ms", "p99", "idle, of a core", "MB", "heap MB", "goroutines", "descriptors", "drain CPU ms", "in force p50", "p99", "by polling p99", "reload CPU ms", "done p50", "p99")
	for _, s := range x.Steps {
		p.row(fmt.Sprint(s.Balancers), num(s.StartCPUMS), num(s.ReadyP50MS), num(s.ReadyP99MS), num(s.IdleCPU), num(s.ResidentMB), num(s.HeapMB), num(s.Goroutines), num(s.Descriptors),
			num(s.Drain.CPUMS), num(s.Drain.P50MS), num(s.Drain.P99MS), num(s.Polling99), num(s.Reload.CPUMS), num(s.Reload.P50MS), num(s.Reload.P99MS))
	}
	if x.Stopped != "" {
		p.say("\nNot more: %s.", x.Stopped)
	}
	p.say("\nResident MB of the process: %s + %s (± %s) a balancer; idle: %s + %s (± %s) of a core a balancer.", num(x.ResidentFit.At0), num(x.ResidentFit.Slope), num(x.ResidentFit.Error),
		num(x.IdleFit.At0), num(x.IdleFit.Slope), num(x.IdleFit.Error))
	d := x.Day
	p.say("\nAn ordinary day, compressed %.0f times, for %.1f s: %d of %d changes of lists (%d machines a day that go and come back) and %d of %d of the configuration (%d a day). CPU as played %s of a core a balancer;",
		d.Compression, d.Seconds, d.Lists, d.Planned[0], dayMachines, d.Configs, d.Planned[1], dayChanges, num(d.CPU))
	p.say("at the day's own pace %s. Read: %s bytes a second as played, %s at the day's pace.", num(d.DayCPU), num(d.Read), num(d.DayRead))
	p.head("event", "times", "balancers", "CPU ms of one", "bytes read by one", "in force p50 ms", "p99", "of these writing")
	for _, e := range []struct {
		name string
		Event
	}{{"a zone lost", x.ZoneLost}, {"a zone back", x.ZoneBack}, {"a tenth restarted in ten steps", x.Restart}, {"a region joined after a cut", x.Cut}} {
		p.row(e.name, fmt.Sprint(e.Times), fmt.Sprint(e.Balancers), num(e.CPUMS), num(e.Read), num(e.P50MS), num(e.P99MS), num(e.WriteMS))
	}
}
