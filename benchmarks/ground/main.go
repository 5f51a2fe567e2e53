// Command ground plays the proving ground's hard cases with many processes of the program and faults between them, and schedules of
// faults that are drawn. Progress goes to stderr, one JSON object with the figures to stdout; it exits with 1 if a bound is broken.
//
//	go run ./benchmarks/ground                      small: up to 24 processes at once, under 50 s on two cores
//	go run ./benchmarks/ground -full -seeds 3       all scripts of faultscripts/ as they stand (300 processes), on three seeds each
//	go run ./benchmarks/ground -schedules 200       and so many drawn schedules on 8 processes
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/faulttest"
	"olivearch/internal/faulttest/schedule"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/faulttest/timeline"
	"olivearch/internal/standin/fleetsim"
)

// role is the word with which this program starts itself as a process of stand-ins.
const role = "standin"

// Figures is what is printed.
type Figures struct {
	Processes  int            `json:"processes"` // of the program, started over all plays
	AtOnce     int            `json:"at_once"`   // at most
	Requests   float64        `json:"requests"`
	Faults     map[string]int `json:"faults"`
	Breaches   float64        `json:"breaches"`
	Crashes    float64        `json:"crashes"`
	Blurred    float64        `json:"blurred"`
	RelayP99MS float64        `json:"relay_p99_ms"` // the worst of the plays
	StartS     float64        `json:"start_s"`      // until all of the largest play were ready
	MemoryMB   float64        `json:"memory_mb"`    // of the largest process
	CPUMS      float64        `json:"cpu_ms"`       // a second of each process, without a fault
	Spread     float64        `json:"spread"`       // deviation over mean of a second\'s requests by node, without a fault
	Plays      int            `json:"plays"`
	Schedules  int            `json:"schedules"`
	Broken     []string       `json:"broken,omitempty"`
	Seconds    float64        `json:"seconds"`
	mu         sync.Mutex
}

type options struct {
	full                   bool
	seeds, schedules, jobs int
	scripts, out, program  string
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == role {
		if err := fleetsim.Run(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "ground:", err)
			os.Exit(1)
		}
		return
	}
	var o options
	flag.BoolVar(&o.full, "full", false, "play the scripts as they stand, with up to 300 processes")
	flag.IntVar(&o.seeds, "seeds", 1, "seeds of each script")
	flag.IntVar(&o.schedules, "schedules", 4, "schedules that are drawn")
	flag.IntVar(&o.jobs, "jobs", 4, "plays at once; with -full, of schedules alone")
	flag.StringVar(&o.scripts, "scripts", "faultscripts", "folder of the scripts")
	flag.StringVar(&o.out, "out", "", "folder for plots and results of each play")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "ground:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	began := time.Now()
	folder, err := os.MkdirTemp("", "ground-rig-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if o.program, _, err = faulttest.Build(ctx, folder); err != nil {
		return fmt.Errorf("building the program: %w", err)
	}
	if o.out != "" {
		if err := os.MkdirAll(o.out, 0o755); err != nil {
			return err
		}
	}
	f := &Figures{Faults: map[string]int{}}
	hard, err := scripts(o)
	if err != nil {
		return err
	}
	schedules, err := drawn(o)
	if err != nil {
		return err
	}
	atOnce := o.jobs
	if o.full { // hundreds of processes want the machine for themselves
		atOnce = 1
	}
	if err := f.all(ctx, o, hard, atOnce); err != nil {
		return err
	}
	if err := f.all(ctx, o, schedules, o.jobs); err != nil {
		return err
	}
	f.Seconds = time.Since(began).Seconds()
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", text)
	if len(f.Broken) > 0 {
		return fmt.Errorf("%d plays broke a bound", len(f.Broken))
	}
	return nil
}

// small is what the default plays of a script: the same faults with fewer processes and in half of the time, and no bounds but the
// rules', which hold at any size.
func small(f *script.File) bool {
	const most = 24
	switch f.Name {
	case "random", "slow-ground", "calm":
		return false
	case "dies-in-flight":
		f.Length, f.Faults[0].Count = config.Duration(4*time.Second), 60
	}
	if f.Balancers.Count > most {
		f.Nodes.Count = max(4, f.Nodes.Count*most/f.Balancers.Count)
		f.Balancers.Count = most
	}
	f.Balancers.Start = 0
	f.Bounds = nil
	f.Length /= 2
	for i := range f.Faults {
		f.Faults[i].At /= 2
		f.Faults[i].For /= 2
	}
	return true
}

// scripts are the plays of the hard cases, on each seed.
func scripts(o options) (all []*script.File, err error) {
	paths, err := filepath.Glob(filepath.Join(o.scripts, "*.yaml"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("no scripts are in %s", o.scripts)
	}
	for _, path := range paths {
		for seed := 1; seed <= o.seeds; seed++ {
			s, err := script.Read(path)
			if err != nil {
				return nil, err
			}
			if s.Seed = seed; s.Name != "random" && (o.full || small(s)) {
				all = append(all, s)
			}
		}
	}
	return all, nil
}

// drawn are schedules of five to eight faults.
func drawn(o options) (all []*script.File, err error) {
	for seed := 1; seed <= o.schedules; seed++ {
		s, err := script.Read(filepath.Join(o.scripts, "random.yaml"))
		if err != nil {
			return nil, err
		}
		s.Seed = seed
		s.Faults = schedule.Faults(s, 5+seed%4)
		all = append(all, s)
	}
	return all, nil
}

// all plays scripts, so many at once. Where one can't be played no further one is begun.
func (f *Figures) all(ctx context.Context, o options, files []*script.File, jobs int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	next := make(chan *script.File)
	var players sync.WaitGroup
	for range jobs {
		players.Go(func() {
			for s := range next {
				if err := f.play(ctx, o, s); err != nil {
					cancel(err)
				}
			}
		})
	}
	for i, s := range files {
		select {
		case next <- s:
			if len(files) < 30 || i%20 == 0 {
				fmt.Fprintf(os.Stderr, "%d of %d: %s, seed %d, %d balancers, %d faults\n", i+1, len(files), s.Name, s.Seed, s.Balancers.Count, len(s.Faults))
			}
		case <-ctx.Done():
		}
	}
	close(next)
	players.Wait()
	return context.Cause(ctx)
}

func (f *Figures) play(ctx context.Context, o options, s *script.File) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r, err := faulttest.Play(ctx, s, faulttest.Options{Program: o.program, Self: []string{self, role}})
	if err != nil {
		return fmt.Errorf("%s, seed %d: %w", s.Name, s.Seed, err)
	}
	f.add(s, r)
	if o.out == "" {
		return nil
	}
	name := filepath.Join(o.out, fmt.Sprintf("%s-%d", s.Name, s.Seed))
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(name+".json", append(text, '\n'), 0o644), timeline.Write(name+".svg", r))
}

func (f *Figures) add(s *script.File, r *faulttest.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := r.Figures
	f.Plays++
	if s.Name == "random" {
		f.Schedules++
	}
	f.Processes += s.Balancers.Count + int(x["restarts"])
	if s.Balancers.Count > f.AtOnce {
		f.AtOnce, f.StartS = s.Balancers.Count, x["start_s"]
	}
	f.Requests += x["asked"]
	for kind, n := range r.Faults {
		f.Faults[kind] += n
	}
	f.Breaches, f.Crashes, f.Blurred = f.Breaches+x["breaches"], f.Crashes+x["crashes"], f.Blurred+x["blurred"]
	if r.Slow == "" {
		f.RelayP99MS = max(f.RelayP99MS, x["relay_p99_ms"])
	}
	f.MemoryMB = max(f.MemoryMB, x["memory_mb"])
	if s.Name == "full-size" {
		f.CPUMS, f.Spread = x["cpu_ms"], x["spread"]
	}
	if r.Holds {
		return
	}
	why := append(append([]string{}, r.Breaches...), r.Crashes...)
	for _, b := range r.Findings {
		if !b.Holds && !b.Open {
			why = append(why, fmt.Sprintf("%s: %v", b.Text, b.Value))
		}
	}
	f.Broken = append(f.Broken, fmt.Sprintf("%s, seed %d: %s", s.Name, s.Seed, strings.Join(why, "; ")))
}
