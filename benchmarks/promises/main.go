// Command promises measures the ledger of promises with real processes: how many promises a second and how long one takes with one, three and
// five voters, how long there is none after the leader's loss, what an idle voter costs, how soon many balancers know, what the data path
// pays for it, and whether any promise is lost through rounds of lost disks and drawn faults. Progress goes to stderr, one JSON object
// of figures to stdout; it exits with 1 if a bound is broken.
//
//	go run ./benchmarks/promises                       under 50 s on two cores
//	go run ./benchmarks/promises -schedules 50         fifty drawn schedules of six faults
//	go run ./benchmarks/promises -rounds 10            ten rounds in which two of five disks are lost
//	go run ./benchmarks/promises -balancers 300        how soon as many balancers know
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
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"olivearch/internal/faulttest"
	"olivearch/internal/faulttest/schedule"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/standin/fleetsim"
)

// role is the word with which this program starts itself as a process of stand-ins.
const role = "standin"

// Figures is what is printed. Times are in ms.
type Figures struct {
	Cores     int                `json:"cores"`
	Speed     []Speed            `json:"speed"`
	Gaps      []float64          `json:"gaps_after_leader_loss"` // the longest time without a yes, play by play
	IdleCPU   float64            `json:"idle_voter_cpu"`         // part of a core
	IdleMB    float64            `json:"idle_voter_mb"`
	Path      Path               `json:"data_path"`
	Rounds    Rounds             `json:"rounds"`
	Schedules Rounds             `json:"schedules"`
	Balancers map[string]float64 `json:"balancers,omitempty"`
	Broken    []string           `json:"broken,omitempty"`
	Seconds   float64            `json:"seconds"`
}

// Speed is what so many voters can do at full load, 16 askers at a time.
type Speed struct {
	Voters int     `json:"voters"`
	Rate   float64 `json:"promises_a_second"`
	P50    float64 `json:"p50"`
	P99    float64 `json:"p99"`
	MB     float64 `json:"voter_mb"`
}

// Path is what the data path pays: balancers that follow a ledger against ones that do not, and through a lost quorum.
type Path struct {
	P99Without, P99With, P99Lost float64
	CPUWithout, CPUWith, CPULost float64 // ms a second of each balancer
	Served                       float64 // the least of the three
}

// Rounds are plays whose every promise is looked for at the end.
type Rounds struct {
	Plays    int     `json:"plays"`
	Faults   int     `json:"faults"`
	Promises float64 `json:"promises"`
	Lost     float64 `json:"lost"`
	Wrong    float64 `json:"wrong"`
	Open     float64 `json:"open"`
}

type options struct {
	schedules, rounds, balancers, seed int
	program, ledger                    string
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == role {
		if err := fleetsim.Run(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "promises:", err)
			os.Exit(1)
		}
		return
	}
	var o options
	flag.IntVar(&o.schedules, "schedules", 1, "drawn schedules of six faults")
	flag.IntVar(&o.rounds, "rounds", 1, "rounds in which two of five disks are lost at once")
	flag.IntVar(&o.balancers, "balancers", 0, "balancers that follow, for how soon all know; 0: not measured")
	flag.IntVar(&o.seed, "seed", 1, "seed of the first play")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "promises:", err)
		stop()
		os.Exit(1)
	}
}

const trivial = "balancers: {count: 1}\nnodes: {count: 1}\nload: {rate: 1}\n"

func run(ctx context.Context, o options) error {
	began, f := time.Now(), &Figures{Cores: runtime.GOMAXPROCS(0)}
	folder, err := os.MkdirTemp("", "promises-rig-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if o.program, o.ledger, err = faulttest.Build(ctx, folder); err != nil {
		return fmt.Errorf("building the programs: %w", err)
	}
	for _, part := range []func(context.Context, options) error{f.speed, f.idle, f.gaps, f.path, f.lost, f.known} {
		if err := part(ctx, o); err != nil {
			return err
		}
	}
	f.Seconds = time.Since(began).Seconds()
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", text)
	if len(f.Broken) > 0 {
		return errors.New("broken: " + strings.Join(f.Broken, "; "))
	}
	return nil
}

// bound notes a figure that is over its bound.
func (f *Figures) bound(what string, x, most float64) {
	if !(x <= most) {
		f.Broken = append(f.Broken, fmt.Sprintf("%s is %.4g, at most %.4g is wanted", what, x, most))
	}
}

// play plays a script that is given as text.
func play(ctx context.Context, o options, text string, change func(*script.File)) (*faulttest.Result, error) {
	f, err := script.Parse("rig.yaml", []byte(text))
	if err != nil {
		return nil, err
	}
	f.Seed = o.seed
	if change != nil {
		change(f)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r, err := faulttest.Play(ctx, f, faulttest.Options{Program: o.program, Ledger: o.ledger, Self: []string{self, role}})
	if err == nil {
		fmt.Fprintf(os.Stderr, "%s, seed %d: %g promises, p99 %.1f ms, longest without one %.0f ms, %g lost, %d wrong %v\n", f.Name, f.Seed, r.Figures["promises"],
			r.Figures["yes_p99"], r.Figures["yes_gap"], r.Figures["promises_lost"], len(r.Wrong), r.Wrong)
	}
	return r, err
}

func (f *Figures) speed(ctx context.Context, o options) error {
	for _, n := range []int{1, 3, 5} {
		r, err := play(ctx, o, fmt.Sprintf("name: speed-%d\nlength: 1s\n%svoters: {count: %d, clients: 1, rate: 1, flood: 16}\n", n, trivial, n), nil)
		if err != nil {
			return err
		}
		x := r.Figures
		f.Speed = append(f.Speed, Speed{n, x["promises_s"], x["yes_p50"], x["yes_p99"], x["voter_memory_mb"]})
		f.bound(fmt.Sprintf("%d voters: promises lost", n), x["promises_lost"], 0)
	}
	return nil
}

func (f *Figures) idle(ctx context.Context, o options) error {
	r, err := play(ctx, o, "name: idle\nlength: 3s\n"+trivial+"voters: {count: 3, clients: 1, rate: 0.01}\n", nil)
	if err != nil {
		return err
	}
	f.IdleCPU, f.IdleMB = r.Figures["voter_cpu_ms"]/1000, r.Figures["voter_memory_mb"]
	f.bound("an idle voter's part of a core", f.IdleCPU, 0.04) // with the ground's own three followers beside it
	return nil
}

func (f *Figures) gaps(ctx context.Context, o options) error {
	r, err := play(ctx, o, "name: leader-lost\nlength: 5s\n"+trivial+"voters: {count: 5, clients: 4, rate: 20, flood: 2}\nfaults: [{at: 1500ms, for: 2s, kind: kill, of: [leader]}]\n", nil)
	if err != nil {
		return err
	}
	f.Gaps = append(f.Gaps, r.Figures["yes_gap"])
	f.bound("the longest time without a yes after the leader's loss", slices.Max(f.Gaps), 3000)
	return nil
}

func (f *Figures) path(ctx context.Context, o options) error {
	const load = "length: 3s\nbalancers: {count: 4}\nnodes: {count: 4, cores: 4}\nload: {rate: 60, work: 10ms}\n"
	without, err := play(ctx, o, "name: without\n"+load, nil)
	if err != nil {
		return err
	}
	with, err := play(ctx, o, "name: with\n"+load+"voters: {count: 3, clients: 1, rate: 1}\n", nil)
	if err != nil {
		return err
	}
	lost, err := play(ctx, o, "name: quorum-lost\n"+load+"voters: {count: 3, clients: 1, rate: 1}\nfaults: [{at: 500ms, for: 2s, kind: kill, of: [v-0, v-1]}]\n", nil)
	if err != nil {
		return err
	}
	a, b, c := without.Figures, with.Figures, lost.Figures
	f.Path = Path{a["p99"], b["p99"], c["p99"], a["cpu_ms"], b["cpu_ms"], c["cpu_ms"], min(a["served"], b["served"], c["served"])}
	f.bound("requests not served beside a ledger, or through a lost quorum", 1-f.Path.Served, 0.02)
	f.bound("p99 with a ledger over that without", b["p99"]/a["p99"], 1.5) // of work that is drawn at random: wide
	f.bound("p99 through a lost quorum over that without", c["p99"]/a["p99"], 1.5)
	return nil
}

// count adds a play.
func (x *Rounds) count(r *faulttest.Result) {
	x.Plays++
	for _, n := range r.Faults {
		x.Faults += n
	}
	x.Promises += r.Figures["promises"]
	x.Lost += r.Figures["promises_lost"]
	x.Wrong += float64(len(r.Wrong))
	x.Open += r.Figures["history_open"]
}

// rounds plays n scripts, several at a time: of these no time is measured.
func rounds(ctx context.Context, o options, n int, text string, change func(*script.File)) (all Rounds, broken []string, err error) {
	results, errs := make([]*faulttest.Result, n), make([]error, n)
	places := make(chan struct{}, max(1, min(4, runtime.GOMAXPROCS(0)-1)))
	var players sync.WaitGroup
	for i := range n {
		players.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			one := o
			one.seed = o.seed + i
			if errs[i] = ctx.Err(); errs[i] == nil {
				results[i], errs[i] = play(ctx, one, text, change)
			}
		})
	}
	players.Wait()
	if err := errors.Join(errs...); err != nil {
		return all, nil, err
	}
	for i, r := range results {
		if all.count(r); !r.Holds {
			broken = append(broken, fmt.Sprintf("%s, seed %d: %v %v", r.Script, o.seed+i, r.Wrong, r.Crashes))
		}
	}
	return all, broken, nil
}

// lost plays what no promise may be lost in: rounds in which two of five disks go, and schedules that chance draws.
func (f *Figures) lost(ctx context.Context, o options) error {
	var both sync.WaitGroup
	var errs [2]error
	var broken [2][]string
	both.Go(func() {
		f.Rounds, broken[0], errs[0] = rounds(ctx, o, o.rounds, "name: two-lost\nlength: 6s\n"+trivial+`voters: {count: 5, clients: 4, rate: 20, flood: 12}
faults: [{at: 1500ms, for: 100ms, kind: lose, of: [leader, v-0]}]
`, nil)
	})
	both.Go(func() {
		f.Schedules, broken[1], errs[1] = rounds(ctx, o, o.schedules, "name: drawn\nlength: 6s\n"+trivial+"voters: {count: 5, clients: 8, rate: 25}\n",
			func(s *script.File) { s.Faults = schedule.Faults(s, 6) })
	})
	both.Wait()
	f.Broken = append(f.Broken, append(broken[0], broken[1]...)...)
	f.bound("promises lost", f.Rounds.Lost+f.Rounds.Wrong+f.Schedules.Lost+f.Schedules.Wrong, 0)
	return errors.Join(errs[:]...)
}

// known has staff take nodes out while many balancers follow: rule 3 is broken by one that has not heard of it a second later.
func (f *Figures) known(ctx context.Context, o options) error {
	if o.balancers == 0 {
		return nil
	}
	text, err := os.ReadFile(filepath.Join("faultscripts", "promises", "three-hundred.yaml"))
	if err != nil {
		return err
	}
	r, err := play(ctx, o, string(text), func(s *script.File) {
		s.Balancers.Count = o.balancers
		s.Bounds = nil
	})
	if err != nil {
		return err
	}
	f.Balancers = map[string]float64{}
	for _, name := range []string{"breaches", "served", "p99", "cpu_ms", "memory_mb", "voter_cpu_ms", "voter_memory_mb", "relay_p99_ms", "promises_lost"} {
		f.Balancers[name] = r.Figures[name]
	}
	f.bound("breaches with many balancers", r.Figures["breaches"], 0)
	return nil
}
