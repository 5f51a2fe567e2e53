// Command spread measures how even a fleet's requests are over its nodes although no balancer sees more than its own: the decision
// module against plain pickers in simulated time, and processes of the program on sockets with faults between them. Progress goes
// to stderr, one JSON object with the figures to stdout; it exits with 1 if a bound is broken.
//
//	go run ./benchmarks/spread                 300 balancers and 200 nodes simulated, 24 processes on sockets; under 50 s on two cores
//	go run ./benchmarks/spread -full           300 processes on sockets, and 1,000 and 10,000 nodes simulated
//	go run ./benchmarks/spread -out DIR        and pictures: nodes across, time down, load as colour
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"olivearch/internal/loadspread"
	"olivearch/internal/standin/fleetsim"
)

// role is the word with which this program starts itself as a process of stand-ins.
const role = "standin"

// Figures is what is printed.
type Figures struct {
	Cores     int      `json:"cores"`
	Simulated []Row    `json:"simulated"`
	Sockets   []Ground `json:"sockets"`
	Broken    []string `json:"broken,omitempty"`
	Seconds   float64  `json:"seconds"`
}

type options struct {
	full         bool
	seed         int
	scripts, out string
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == role {
		if err := fleetsim.Run(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "spread:", err)
			os.Exit(1)
		}
		return
	}
	var o options
	flag.BoolVar(&o.full, "full", false, "play the whole: 300 processes, and up to 10,000 nodes in simulated time")
	flag.IntVar(&o.seed, "seed", 1, "seed of arrivals, work and faults")
	flag.StringVar(&o.scripts, "scripts", "faultscripts/spread", "folder of the scripts on sockets")
	flag.StringVar(&o.out, "out", "", "folder for pictures")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "spread:", err)
		stop()
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	began, f := time.Now(), &Figures{Cores: runtime.GOMAXPROCS(0)}
	if o.out != "" {
		if err := os.MkdirAll(o.out, 0o755); err != nil {
			return err
		}
	}
	if err := f.simulate(ctx, o); err != nil {
		return err
	}
	if err := f.sockets(ctx, o); err != nil {
		return err
	}
	f.Seconds = time.Since(began).Seconds()
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", text)
	if len(f.Broken) > 0 {
		return fmt.Errorf("broken: %v", f.Broken)
	}
	return nil
}

// most notes that a figure is over its bound.
func (f *Figures) most(what string, x, bound float64) {
	if !(x <= bound) {
		f.Broken = append(f.Broken, fmt.Sprintf("%s is %.4g, at most %.4g is wanted", what, x, bound))
	}
}

// picture writes what a play's load looked like.
func picture(o options, name string, c *loadspread.Counts, length time.Duration) error {
	if o.out == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(o.out, name+".png"))
	if err != nil {
		return err
	}
	if err := c.Heat(file, 0, length, 200*time.Millisecond); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
