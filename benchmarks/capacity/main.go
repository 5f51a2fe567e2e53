// Command capacity measures what "olivearch serve" costs by the size of the fleet: pools, nodes, routes and tenants, one at a time and
// all together, with real processes; and a fleet of hollow balancers, many in one process. Progress goes to stderr, one JSON object
// with the figures to stdout; it exits with 1 if a bound is broken.
//
//	go run ./benchmarks/capacity                          a smaller size, under 60 s
//	go run ./benchmarks/capacity -full                    the planned size
//	go run ./benchmarks/capacity -full -out docs/experiments   and the figures and plots beside the page
//	go run ./benchmarks/capacity -only slopes             or another part: discovery, calibrate, fleet; several with commas
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/capacity/hollow"
	"olivearch/internal/faulttest/process"
	"olivearch/internal/standin/loopnodes"
	"olivearch/internal/standin/peers"
)

// Figures is what is printed.
type Figures struct {
	Command     string                  `json:"command"`
	Commit      string                  `json:"commit"`
	Cores       int                     `json:"cores"`
	Load        float64                 `json:"load_of_the_machine"` // before the run, over a minute: what else ran beside it
	Full        bool                    `json:"full"`
	Rows        []*Row                  `json:"rows,omitempty"`
	Fits        map[string]capacity.Fit `json:"fits,omitempty"` // by factor and figure
	Discovery   *Discovery              `json:"discovery,omitempty"`
	Calibration *Calibration            `json:"calibration,omitempty"`
	Fleet       *Fleet                  `json:"fleet,omitempty"`
	Bounds      []capacity.Bound        `json:"bounds,omitempty"`
	Plan        []capacity.Bound        `json:"plan,omitempty"` // against the plan's budget, where no mechanism is built yet
	Broken      []string                `json:"broken,omitempty"`
	Seconds     float64                 `json:"seconds"`
}

type options struct {
	full    bool
	largest int // pools at most; 0: as planned
	seed    uint64
	only    []string
	out     string
	name    string
	program string
	folder  string
}

// part tells whether a part of the rig is to be run.
func (o *options) part(name string) bool { return len(o.only) == 0 || slices.Contains(o.only, name) }

// rig is what all parts need.
type rig struct {
	*Figures
	options
	group *process.Group
	nodes *loopnodes.Nodes
}

func main() {
	if played, err := peers.Main(os.Getenv); played {
		if err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) == 2 && os.Args[1] == role {
		if err := hollow.Serve(); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
		return
	}
	var o options
	only := ""
	flag.BoolVar(&o.full, "full", false, "the planned size")
	flag.Uint64Var(&o.seed, "seed", 1, "of the site and the requests")
	flag.StringVar(&only, "only", "", "parts, with commas: slopes, discovery, calibrate, fleet")
	flag.StringVar(&o.out, "out", "", "folder for figures and plots")
	flag.StringVar(&o.name, "name", "capacity", "what their files' names begin with")
	flag.IntVar(&o.largest, "pools", 0, "leave out what has more pools; 0: nothing")
	flag.StringVar(&o.folder, "folder", memory(), "where sites are written; on a disk a rename waits for it")
	from := flag.String("from", "", "write the tables and plots of an earlier run's `FILE` of figures, and end")
	site := flag.String("site", "", "write the planned size's configuration and lists into this `FOLDER`, and end")
	flag.Parse()
	if *site != "" || *from != "" {
		err := error(nil)
		if *site != "" {
			err = writeSite(*site, o.seed)
		} else {
			err = again(*from, o)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(1)
		}
		return
	}
	if only != "" {
		o.only = strings.Split(only, ",")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	began := time.Now()
	r := &rig{Figures: &Figures{Command: strings.Join(append([]string{"go run ./benchmarks/capacity"}, os.Args[1:]...), " "), Commit: commit(ctx), Cores: runtime.NumCPU(), Load: load(), Full: o.full, Fits: map[string]capacity.Fit{}}, options: o, group: process.NewGroup()}
	defer r.group.Close()
	var err error
	if r.folder, err = os.MkdirTemp(r.folder, "capacity-rig-"); err != nil {
		return err
	}
	defer os.RemoveAll(r.folder)
	r.program = filepath.Join(r.folder, "olivearch")
	if text, err := exec.CommandContext(ctx, "go", "build", "-o", r.program, "olivearch/cmd/olivearch").CombinedOutput(); err != nil {
		return fmt.Errorf("building olivearch: %w\n%s", err, text)
	}
	if r.nodes, err = loopnodes.Start(); err != nil {
		return err
	}
	defer r.nodes.Close()
	for _, p := range []struct {
		name string
		run  func(context.Context) error
	}{{"slopes", r.slopes}, {"discovery", r.discovery}, {"calibrate", r.calibrate}, {"fleet", r.fleet}} {
		if r.part(p.name) {
			err := p.run(ctx)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err != nil { // the figures of other parts are worth having
				r.Broken = append(r.Broken, p.name+": "+err.Error())
			}
			if r.Seconds = time.Since(began).Seconds(); r.out != "" { // also if a later part is ended from outside
				if err := r.write(); err != nil {
					return err
				}
			}
		}
	}
	r.Seconds = time.Since(began).Seconds()
	return r.end()
}

// end writes what was measured, and fails if a bound is broken.
func (r *rig) end() error {
	for _, b := range r.Bounds {
		if !b.Holds {
			r.Broken = append(r.Broken, fmt.Sprintf("%s is %.4g, at most %.4g is wanted", b.What, b.Value, b.Most))
		}
	}
	text, err := json.Marshal(r.Figures)
	if err != nil {
		return err
	}
	if r.out != "" {
		if err := r.write(); err != nil {
			return err
		}
	}
	fmt.Printf("%s\n", text)
	if len(r.Broken) > 0 {
		return fmt.Errorf("broken: %s", strings.Join(r.Broken, "; "))
	}
	return nil
}

// writeSite writes a site to try things on. Nobody listens at its nodes.
func writeSite(folder string, seed uint64) error {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return err
	}
	s, err := capacity.New(planned, seed)
	if err != nil {
		return err
	}
	p := &capacity.Places{Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Lists: filepath.Join(folder, "lists"), Node: func(node int) string { return loopnodes.Address(node, 9) }}
	if err := s.WriteLists(p, func(int) capacity.Word { return capacity.Up }); err != nil {
		return err
	}
	return capacity.Replace(filepath.Join(folder, "olivearch.yaml"), s.Config(p, capacity.Edit{}))
}

// again writes an earlier run's tables and plots.
func again(path string, o options) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	r := &rig{Figures: &Figures{}, options: o}
	if err := json.Unmarshal(text, r.Figures); err != nil {
		return err
	}
	r.full = r.Full
	return r.write()
}

// commit names the code, with a plus if the working tree has other.
func commit(ctx context.Context) string {
	text, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty=+", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(text))
}

// memory is a folder in memory, where the system has one: a file that is replaced by a rename is written through to a disk first, and
// what is measured is the balancer.
func memory() string {
	const folder = "/dev/shm"
	if info, err := os.Stat(folder); err == nil && info.IsDir() {
		return folder
	}
	return os.TempDir()
}

// load is the machine's load average over a minute.
func load() (x float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		fmt.Sscan(string(text), &x)
	}
	return x
}

// say tells of progress.
func say(form string, args ...any) { fmt.Fprintf(os.Stderr, form+"\n", args...) }
