// Package experiment plays scenarios: on real sockets, with each contender in a process of its own, or in simulated time.
package experiment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"olivearch/internal/emulator"
	"olivearch/internal/endpointlist"
	"olivearch/internal/live"
	"olivearch/internal/loadgen"
	"olivearch/internal/procstat"
	"olivearch/internal/scenario"
	"olivearch/internal/standin/fleet"
	"olivearch/internal/stats"
)

// The modes of an experiment.
const (
	Sockets   = "sockets"
	Simulated = "simulated"
)

const (
	grace       = time.Second // of the drain rule
	sampleEvery = 100 * time.Millisecond
	sampleMost  = 16 // nodes that are looked at for the plots
)

// Options say how a scenario is played.
type Options struct {
	Mode       string
	Contenders []string  // of the scenario's; all if empty
	Repeats    int       // the scenario's if 0
	Seed       int       // the scenario's if 0
	Program    string    // olivearch's binary; empty: this program serves as it does
	Progress   io.Writer // a line for each turn
}

// Run plays a scenario. Contenders take turns, in alternating order.
func Run(ctx context.Context, f *scenario.File, o Options) (*stats.Result, error) {
	if f.Modes != "both" && f.Modes != o.Mode {
		return nil, fmt.Errorf("scenario %s is played in mode %s alone", f.Name, f.Modes)
	}
	play := *f
	play.Repeats, play.Seed = cmp.Or(o.Repeats, f.Repeats), cmp.Or(o.Seed, f.Seed)
	r := &stats.Result{Scenario: f.Name, About: f.About, Mode: o.Mode, Seed: play.Seed, Cores: runtime.NumCPU()}
	for _, c := range f.Contenders {
		if (len(o.Contenders) == 0 || slices.Contains(o.Contenders, c)) && (c != scenario.Reverse || o.Mode == Sockets) {
			r.Contenders = append(r.Contenders, c)
		}
	}
	if len(r.Contenders) == 0 {
		return nil, fmt.Errorf("scenario %s has none of the contenders %s in this mode", f.Name, strings.Join(o.Contenders, ", "))
	}
	for _, t := range f.Troubles {
		where := strings.Join(t.Nodes, ", ")
		r.Marks = append(r.Marks, stats.Mark{AtMS: time.Duration(t.At).Milliseconds(), Text: strings.TrimSpace(t.Kind + " " + where)})
		if t.For > 0 {
			r.Marks = append(r.Marks, stats.Mark{AtMS: time.Duration(t.At + t.For).Milliseconds(), Text: "end of " + t.Kind})
		}
	}
	for k := range play.Repeats {
		order := slices.Clone(r.Contenders)
		if k%2 == 1 {
			slices.Reverse(order)
		}
		for _, c := range order {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			var t stats.Turn
			var err error
			if o.Mode == Simulated {
				t, err = emulator.Play(&play, c, k)
			} else {
				t, err = turn(ctx, &play, c, k, o.Program)
			}
			if err != nil {
				return nil, fmt.Errorf("scenario %s, %s: %w", f.Name, c, err)
			}
			r.Turns = append(r.Turns, t)
			s := stats.Total([]*stats.Turn{&t})
			fmt.Fprintf(o.Progress, "%-16s %-9s %-12s turn %d of %d: %6d asked, %6.2f %% in time, %5.2f %% refused, p50 %7.2f ms, p99 %7.2f ms, %d breaches\n", f.Name, o.Mode, c,
				k+1, play.Repeats, s.Asked, 100*float64(s.InAim)/float64(max(1, s.Asked)), 100*float64(s.Refused)/float64(max(1, s.Asked)), s.Quantile(0.5), s.Quantile(0.99), t.Breaches)
		}
	}
	return r, r.Load()
}

// stage is one turn on sockets.
type stage struct {
	file   *scenario.File
	folder string
	judge  *fleet.Judge
	nodes  []*fleet.Node
	mu     sync.Mutex
	phases map[string]endpointlist.Phase
	silent bool // the list's file is left as it is
}

// turn plays one contender once, with a fleet of its own.
func turn(ctx context.Context, f *scenario.File, contender string, repeat int, program string) (t stats.Turn, err error) {
	folder, err := os.MkdirTemp("", "olivearch-bench")
	if err != nil {
		return t, err
	}
	defer os.RemoveAll(folder)
	s := &stage{file: f, folder: folder, judge: fleet.NewJudge(grace), phases: map[string]endpointlist.Phase{}}
	defer s.close()
	seed := uint64(f.Seed)*1000003 + uint64(repeat)
	if err := s.fleet(seed); err != nil {
		return t, err
	}
	p, err := start(f, contender, folder, program, seed)
	if err != nil {
		return t, err
	}
	defer p.stop()
	t = stats.Turn{Contender: contender, Repeat: repeat, Seconds: time.Duration(f.Length).Seconds()}
	begin := time.Now().Add(time.Duration(f.Warmup))
	run := &loadgen.Run{File: f, Address: p.address, Judge: s.judge, Seed: seed, Start: begin}
	life, end := context.WithDeadline(ctx, begin.Add(time.Duration(f.Length)))
	defer end()
	var wg sync.WaitGroup
	var trouble error
	wg.Go(func() { trouble = s.troubles(life, begin) })
	wg.Go(func() { t.Nodes = s.samples(life, begin, p.admin) })
	cpu, err := procstat.CPU(p.cmd.Process.Pid)
	if err != nil {
		return t, err
	}
	if t.Blocks, err = run.Play(); err != nil {
		return t, err
	}
	wg.Wait()
	if trouble != nil {
		return t, trouble
	}
	after, err := procstat.CPU(p.cmd.Process.Pid)
	if err != nil {
		return t, fmt.Errorf("%s has ended: %w", contender, err)
	}
	if t.Resident, err = procstat.Resident(p.cmd.Process.Pid); err != nil {
		return t, err
	}
	t.AskedAll, t.ServedAll = run.Counts()
	t.CPU = float64((after - cpu).Nanoseconds()) / 1000 / float64(max(1, t.AskedAll))
	v := s.judge.Verdict(0)
	t.Executions, t.Breaches = v.Executions, len(v.Breaches)+v.Further
	if len(v.Breaches) > 0 {
		t.Breach = v.Breaches[0].String()
	}
	return t, nil
}

// fleet starts the nodes and writes the list.
func (s *stage) fleet(seed uint64) error {
	for i := range s.file.Fleet {
		g := &s.file.Fleet[i]
		for k := range g.Count {
			n, err := fleet.NewNode(fleet.Spec{
				ID: g.Node(k), Zone: g.Zone, Cores: g.Cores, Work: time.Duration(g.Service), Queue: g.Queue, Delay: time.Duration(g.Delay),
				Reports: time.Duration(g.Reports), ColdFrom: g.ColdFrom, Ramp: time.Duration(g.RampTime), Multiple: g.TipMultiple, Window: time.Duration(g.TipAfter),
				Weight: g.Weight, Seed: seed + uint64(len(s.nodes)),
			}, s.judge)
			if err != nil {
				return err
			}
			s.nodes = append(s.nodes, n)
			s.phases[n.ID] = endpointlist.PhaseUp
		}
	}
	return s.list()
}

// list writes what the list says now.
func (s *stage) list() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return nil
	}
	var entries []endpointlist.Node
	for _, n := range s.nodes {
		entries = append(entries, n.Entry(s.phases[n.ID]))
	}
	return fleet.WriteList(filepath.Join(s.folder, listFile), s.judge, entries)
}

// step is a trouble that begins or ends.
type step struct {
	at time.Duration
	scenario.Trouble
	on bool
}

// troubles lets one follow the other.
func (s *stage) troubles(ctx context.Context, begin time.Time) error {
	var steps []step
	for _, t := range s.file.Troubles {
		steps = append(steps, step{time.Duration(t.At), t, true})
		if t.For > 0 {
			steps = append(steps, step{time.Duration(t.At + t.For), t, false})
		}
	}
	slices.SortStableFunc(steps, func(x, y step) int { return cmp.Compare(x.at, y.at) })
	for _, x := range steps {
		select {
		case <-time.After(time.Until(begin.Add(x.at))):
		case <-ctx.Done():
			return nil
		}
		if err := s.trouble(x); err != nil {
			return fmt.Errorf("%s: %w", x.Kind, err)
		}
	}
	return nil
}

func (s *stage) trouble(x step) error {
	names := s.file.Nodes(x.Trouble)
	for _, n := range s.nodes {
		if !slices.Contains(names, n.ID) {
			continue
		}
		switch {
		case x.Kind == "slow" && x.on:
			n.Slow(x.Factor)
		case x.Kind == "slow":
			n.Slow(1)
		case x.Kind == "neighbour" && x.on:
			n.Neighbour(x.Cores)
		case x.Kind == "neighbour":
			n.Neighbour(0)
		case x.Kind == "stall":
			n.Stall(x.on)
		case x.Kind == "black-hole":
			n.Hole(x.on)
		case x.Kind == "crash" && x.on:
			n.Crash()
		case x.Kind == "crash":
			if err := n.Restart(); err != nil {
				return err
			}
		case x.Kind == "drain":
			s.mu.Lock()
			s.phases[n.ID] = map[bool]endpointlist.Phase{true: endpointlist.PhaseDraining, false: endpointlist.PhaseUp}[x.on]
			s.mu.Unlock()
		}
	}
	switch {
	case x.Kind == "silent-list" || x.Kind == "torn-list":
		s.mu.Lock()
		s.silent = x.on
		s.mu.Unlock()
		if x.Kind == "torn-list" && x.on {
			return os.WriteFile(filepath.Join(s.folder, listFile), []byte("nodes: [{id: node, addr"), 0o600)
		}
		return s.list()
	case x.Kind == "drain", x.Kind == "crash" && !x.on:
		return s.list()
	}
	return nil
}

// samples notes what goes on at the nodes; from olivearch's live view, where there is one.
func (s *stage) samples(ctx context.Context, begin time.Time, admin string) (all []stats.NodeSample) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return all
		}
		views := map[string]live.Node{}
		if admin != "" {
			for _, n := range look(context.WithoutCancel(ctx), client, admin) { // its client has a time of its own
				views[n.ID] = n
			}
		}
		at := time.Since(begin).Milliseconds()
		for _, n := range s.nodes[:min(len(s.nodes), sampleMost)] {
			v := views[n.ID]
			all = append(all, stats.NodeSample{AtMS: at, Node: n.ID, Runs: n.Runs(), Share: v.Share, Mean: v.Mean, Lower: v.Lower, Upper: v.Upper, Bound: v.ConcurrencyLimit, Out: v.InFlight})
		}
	}
}

// look reads the live view's nodes; none if it can't be read, which is no fault of the scene's.
func look(ctx context.Context, client *http.Client, admin string) []live.Node {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/v1/live", nil)
	if err != nil {
		return nil
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var v live.View
	if json.NewDecoder(resp.Body).Decode(&v) != nil || len(v.Pools) != 1 {
		return nil
	}
	return v.Pools[0].Nodes
}

func (s *stage) close() {
	for _, n := range s.nodes {
		n.Close()
	}
	s.judge.Close()
}
