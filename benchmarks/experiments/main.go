// Command experiments measures what olivearch-bench showed first: ordinary load where the cap on connections binds, on sockets,
// against ReverseProxy and the best of the pickers; and a scene of each kind in simulated time. It prints progress on standard
// error and one JSON object last on standard output, and exits with 1 if a stated bound is broken.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"olivearch/internal/experiment"
	"olivearch/internal/scenario"
	"olivearch/internal/stats"
)

// onSockets are the contenders of the short run on sockets; all with -all.
var onSockets = []string{scenario.Olivearch, "least", "wrr", scenario.Reverse}

// cell is what was seen of a scenario.
type cell struct {
	Mode       string                        `json:"mode"`
	Contenders map[string]map[string]float64 `json:"contenders"`
	Findings   []stats.Finding               `json:"bounds"`
}

type result struct {
	Cells  map[string]cell `json:"cells"`
	Within bool            `json:"within_bounds"`
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == experiment.Role { // started by itself
		if err := experiment.Contend(os.Args[2:], os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "experiments:", err)
			os.Exit(1)
		}
		return
	}
	all := flag.Bool("all", false, "all scenarios and contenders on sockets, as they stand (an hour)")
	folder := flag.String("scenarios", "scenarios", "`FOLDER` of the scenarios")
	flag.Parse()
	if err := run(*folder, *all); err != nil {
		fmt.Fprintln(os.Stderr, "experiments:", err)
		os.Exit(1)
	}
}

func run(folder string, all bool) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil || len(paths) == 0 {
		return fmt.Errorf("no scenarios are in %s: run this from the module's root", folder)
	}
	r := result{Cells: map[string]cell{}, Within: true}
	for _, path := range paths {
		f, err := scenario.Read(path)
		if err != nil {
			return err
		}
		o := experiment.Options{Mode: experiment.Simulated, Progress: os.Stderr}
		switch {
		case all && f.Modes != experiment.Simulated:
			o.Mode = experiment.Sockets
		case all:
		case f.Name == "cap-binding":
			o.Mode, o.Contenders, o.Repeats = experiment.Sockets, onSockets, 1
		case f.Modes == experiment.Simulated: // the large ones take long
			continue
		default:
			o.Contenders, o.Repeats = []string{scenario.Olivearch, "least", "peak-ewma"}, 1
		}
		x, err := experiment.Run(context.Background(), f, o)
		if err != nil {
			return err
		}
		c := cell{Mode: o.Mode, Contenders: map[string]map[string]float64{}, Findings: x.Judge(f.Bounds)}
		for _, name := range x.Contenders {
			c.Contenders[name] = map[string]float64{}
			for _, figure := range []string{"per_second", "p50", "p99", "in_aim", "refused", "executions", "cpu_us"} {
				c.Contenders[name][figure] = x.Figure(name, figure)
			}
		}
		for _, b := range c.Findings {
			if !b.Holds {
				r.Within = false
				fmt.Fprintf(os.Stderr, "BROKEN in %s: %s\n", strings.TrimSuffix(filepath.Base(path), ".yaml"), b.Text)
			}
		}
		r.Cells[f.Name] = c
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if !r.Within {
		return fmt.Errorf("a scenario's bound is broken")
	}
	return nil
}
