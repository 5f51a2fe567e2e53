package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/faulttest"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/loadspread"
)

// Ground is what processes of the program made of a script. Deviation and the like are means over seconds.
type Ground struct {
	Script       string  `json:"script"`
	Processes    int     `json:"processes"`
	Nodes        int     `json:"nodes"`
	Rate         float64 `json:"requests_a_second"`
	Deviation    float64 `json:"deviation"` // before the first fault
	Busiest      float64 `json:"busiest"`
	Idle         float64 `json:"idle_node_seconds"` // of the whole
	FirstBusiest float64 `json:"first_busiest"`     // of the first 100 ms
	AfterBusiest float64 `json:"after_busiest"`     // of the second after a fault's end, the worst of them
	Served       float64 `json:"served"`
	InAim        float64 `json:"in_aim"`
	Refused      float64 `json:"refused"`
	P99MS        float64 `json:"p99_ms"`
	CPUMS        float64 `json:"cpu_ms"`           // a second of each process
	Connections  float64 `json:"node_connections"` // open at once at a node, at most, mean over nodes
	Connects     float64 `json:"connects_s"`       // new ones a second over all nodes
	ListCalls    float64 `json:"list_calls_s"`     // over all balancers
	Breaches     float64 `json:"breaches"`
	Crashes      float64 `json:"crashes"`
	Slow         string  `json:"slow,omitempty"` // why the ground itself was too slow for its figures to count
}

// small is what the default plays: the same faults with fewer processes, in half of the time.
func small(f *script.File) {
	const processes, nodes = 24, 16
	f.Balancers.Count, f.Nodes.Count = processes, nodes
	f.Bounds = nil
	f.Length /= 2
	for i := range f.Faults {
		f.Faults[i].At /= 2
		f.Faults[i].For /= 2
	}
}

// sockets plays the scripts with processes of the program.
func (f *Figures) sockets(ctx context.Context, o options) error {
	paths, err := filepath.Glob(filepath.Join(o.scripts, "*.yaml"))
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("no scripts are in %s", o.scripts)
	}
	folder, err := os.MkdirTemp("", "spread-rig-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	program, _, err := faulttest.Build(ctx, folder)
	if err != nil {
		return fmt.Errorf("building the program: %w", err)
	}
	atOnce := 2
	if o.full { // hundreds of processes want the machine for themselves
		atOnce = 1
	}
	rows, errs := make([]Ground, len(paths)), make([]error, len(paths))
	places := make(chan struct{}, atOnce)
	var players sync.WaitGroup
	for i, path := range paths {
		players.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if errs[i] = ctx.Err(); errs[i] == nil {
				rows[i], errs[i] = f.ground(ctx, o, path, program)
			}
		})
	}
	players.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("%s: %w", paths[i], err)
		}
	}
	f.Sockets = rows
	for _, r := range rows {
		f.most(r.Script+" on sockets: crashes", r.Crashes, 0)
		if r.Slow != "" { // what it lost or made late is not the program's
			continue
		}
		f.most(r.Script+" on sockets: breaches", r.Breaches, 0)
		if r.Script == "calm" {
			f.most("calm on sockets: deviation", r.Deviation, 0.25)
			f.most("calm on sockets: idle node-seconds", r.Idle, 0)
		}
	}
	return nil
}

func (f *Figures) ground(ctx context.Context, o options, path, program string) (Ground, error) {
	s, err := script.Read(path)
	if err != nil {
		return Ground{}, err
	}
	if s.Seed = o.seed; !o.full {
		small(s)
	}
	self, err := os.Executable()
	if err != nil {
		return Ground{}, err
	}
	r, err := faulttest.Play(ctx, s, faulttest.Options{Program: program, Self: []string{self, role}})
	if err != nil {
		return Ground{}, err
	}
	x := r.Figures
	row := Ground{
		Script: s.Name, Processes: s.Balancers.Count, Nodes: s.Nodes.Count, Rate: x["asked"] / time.Duration(s.Length).Seconds(),
		Idle: x["idle_node_seconds"], FirstBusiest: x["first_busiest"], Served: x["served"], InAim: x["in_aim"], Refused: x["refused"], P99MS: x["p99"],
		CPUMS: x["cpu_ms"], Connections: x["node_connections"], Connects: x["connects_s"], ListCalls: x["list_calls_s"], Breaches: x["breaches"], Crashes: x["crashes"], Slow: r.Slow,
	}
	calm := s.Length // until the first fault
	for _, fault := range s.Faults {
		calm = min(calm, fault.At)
		end := time.Duration(fault.At + fault.For)
		row.AfterBusiest = max(row.AfterBusiest, loadspread.Of(r.Spread.Between(end, end+time.Second), nil).Busiest)
	}
	e := r.Spread.Windows(calmFrom(calm), time.Duration(calm), time.Second, nil)
	row.Deviation, row.Busiest = e.Deviation, e.Busiest
	fmt.Fprintf(os.Stderr, "sockets %s, %d processes: deviation %.3f, busiest %.2f, served %.4f, %g breaches\n", s.Name, row.Processes, row.Deviation, row.Busiest, row.Served, row.Breaches)
	return row, picture(o, s.Name+"-sockets", r.Spread, time.Duration(s.Length))
}

// calmFrom is when the start is over: a second after it, if the calm is long enough.
func calmFrom(calm config.Duration) time.Duration {
	if calm < config.Duration(2*time.Second) {
		return 0
	}
	return time.Second
}
