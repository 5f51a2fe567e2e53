// Command olivearch-bench plays scenarios (a fleet, its troubles and a load) against olivearch and against what people would use
// instead, and tells what it saw.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"

	"olivearch/internal/experiment"
	"olivearch/internal/report"
	"olivearch/internal/scenario"
	"olivearch/internal/standin/fleetsim"
	"olivearch/internal/stats"
	"olivearch/internal/strictyaml"
)

// command is a word that may follow the program's name.
type command struct {
	name, arguments, about string
	run                    func(ctx context.Context, args []string, out io.Writer) error
}

var commands = []command{
	{"run", "[flags] SCENARIO.yaml...", "play scenarios; exit 1 if a bound is broken", run},
	{"check", "SCENARIO.yaml...", "tell everything that is wrong with scenarios, with line and column", check},
	{"compare", "[flags] NEW.json OLD.json", "tell what has changed between two results; exit 1 past a bound", compare},
	{"report", "[flags] RESULT.json...", "write a page with plots", write},
	{"ground", "[flags] SCRIPT.yaml...", "play scripts of faults between many processes; exit 1 if a bound is broken", playGround},
	{"list", "[FOLDER]", "list the scenarios of a folder", list},
}

// errUsage ends the program with exit status 2.
var errUsage = errors.New("wrong usage")

func main() {
	if len(os.Args) > 1 && os.Args[1] == experiment.Role { // started by itself
		if err := experiment.Contend(os.Args[2:], os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "olivearch-bench:", err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) == 2 && os.Args[1] == standinRole { // and as stand-ins of a ground
		if err := fleetsim.Run(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "olivearch-bench:", err)
			os.Exit(1)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch err := dispatch(ctx, os.Args[1:], os.Stdout); {
	case err == nil, errors.Is(err, flag.ErrHelp):
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "olivearch-bench:", err)
		fmt.Fprintln(os.Stderr, `Run "olivearch-bench --help" for the commands.`)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "olivearch-bench:", err)
		os.Exit(1)
	}
}

func dispatch(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 || slices.Contains([]string{"--help", "-help", "-h", "help"}, args[0]) {
		help(out)
		return nil
	}
	var names []string
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(ctx, args[1:], out)
		}
		names = append(names, c.name)
	}
	if near := strictyaml.Nearest(args[0], names); near != "" {
		return fmt.Errorf("%w: there is no command %q; did you mean %q?", errUsage, args[0], near)
	}
	return fmt.Errorf("%w: there is no command %q", errUsage, args[0])
}

func help(out io.Writer) {
	fmt.Fprint(out, "olivearch-bench plays scenarios against olivearch and against what people would use instead.\n\nUsage:\n")
	for _, c := range commands {
		fmt.Fprintf(out, "  olivearch-bench %-8s %-27s %s\n", c.name, c.arguments, c.about)
	}
	fmt.Fprint(out, `
"olivearch-bench COMMAND --help" tells the flags of a command. Scenarios are in scenarios/; docs/operate/experiments.md tells how
to write one for your own fleet. All traffic stays on 127.0.0.1.
Exit status: 0 done, 1 a bound is broken, it failed or a file is wrong, 2 wrong usage.
`)
}

func flags(name, usage string, args []string, out io.Writer, define func(*flag.FlagSet)) (*flag.FlagSet, error) {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	define(f)
	switch err := f.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprintln(out, "Usage: olivearch-bench", name, usage)
		f.SetOutput(out)
		f.PrintDefaults()
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %s: %v", errUsage, name, err)
	}
	return f, nil
}

// run plays scenarios.
func run(ctx context.Context, args []string, out io.Writer) error {
	var mode, only, folder, program string
	var repeats, seed int
	f, err := flags("run", "[flags] SCENARIO.yaml...", args, out, func(f *flag.FlagSet) {
		f.StringVar(&mode, "mode", experiment.Sockets, "`MODE`: sockets or simulated")
		f.StringVar(&only, "contenders", "", "`NAMES` of the scenario's contenders, with commas; left out: all")
		f.StringVar(&folder, "out", "", "`FOLDER` for the raw figures (NAME-MODE.json) and a page with plots (NAME-MODE.html)")
		f.StringVar(&program, "olivearch", "", "`PROGRAM` to play as olivearch; left out: this build")
		f.IntVar(&repeats, "repeats", 0, "turns of each contender; 0: the scenario's")
		f.IntVar(&seed, "seed", 0, "of arrivals, sizes and pickers; 0: the scenario's")
	})
	if err != nil {
		return err
	}
	if f.NArg() == 0 || (mode != experiment.Sockets && mode != experiment.Simulated) || repeats < 0 || seed < 0 {
		return fmt.Errorf("%w: run wants scenarios, --mode sockets or simulated, and no negative number", errUsage)
	}
	files, err := read(f.Args())
	if err != nil {
		return err
	}
	o := experiment.Options{Mode: mode, Repeats: repeats, Seed: seed, Program: program, Progress: os.Stderr}
	if only != "" {
		o.Contenders = strings.Split(only, ",")
	}
	broken := 0
	for _, file := range files {
		r, err := experiment.Run(ctx, file, o)
		if err != nil {
			return err
		}
		findings := r.Judge(file.Bounds)
		if err := report.Table(out, r, findings); err != nil {
			return err
		}
		for _, x := range findings {
			if !x.Holds {
				broken++
			}
		}
		if folder != "" {
			if err := keep(folder, r, findings); err != nil {
				return err
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d bounds are broken", broken)
	}
	return nil
}

// read reads scenarios, and tells everything that is wrong with them.
func read(paths []string) ([]*scenario.File, error) {
	var files []*scenario.File
	var errs []error
	for _, path := range paths {
		file, err := scenario.Read(path)
		files, errs = append(files, file), append(errs, err)
	}
	return files, errors.Join(errs...)
}

// keep writes a result and its page.
func keep(folder string, r *stats.Result, findings []stats.Finding) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	base := filepath.Join(folder, r.Scenario+"-"+r.Mode)
	if err := os.WriteFile(base+".json", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return page(base+".html", r, findings)
}

func page(path string, r *stats.Result, findings []stats.Finding) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.Page(f, r, findings); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func check(_ context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: check wants scenarios", errUsage)
	}
	files, err := read(args)
	for i, f := range files {
		if f != nil {
			fmt.Fprintf(out, "%s: well: %d contenders, %d bounds\n", args[i], len(f.Contenders), len(f.Bounds))
		}
	}
	return err
}

// result reads the raw figures of a run.
func result(path string) (*stats.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &stats.Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := r.Load(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// compare tells what has changed.
func compare(_ context.Context, args []string, out io.Writer) error {
	var most float64
	var only string
	f, err := flags("compare", "[flags] NEW.json OLD.json", args, out, func(f *flag.FlagSet) {
		f.Float64Var(&most, "most", 0.05, "`PART` that olivearch may lose in a figure, beyond the noise, before the exit status is 1")
		f.StringVar(&only, "figures", "p50,p99,in_aim,per_second,executions,cpu_us,resident_mb", "`NAMES` of figures, with commas")
	})
	if err != nil {
		return err
	}
	if f.NArg() != 2 || !(most >= 0) {
		return fmt.Errorf("%w: compare wants two results, the new one first", errUsage)
	}
	names := strings.Split(only, ",")
	for _, name := range names {
		if _, ok := scenario.Figures[name]; !ok {
			return fmt.Errorf("%w: there is no figure %q", errUsage, name)
		}
	}
	a, err := result(f.Arg(0))
	if err != nil {
		return err
	}
	b, err := result(f.Arg(1))
	if err != nil {
		return err
	}
	changes, err := stats.Changes(a, b, names)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s (%s): new against old\n", a.Scenario, a.Mode)
	lost := 0
	for _, c := range changes {
		if c.Verdict != stats.Noise {
			fmt.Fprintf(out, "%-12s %v\n", c.Contender, c.Ratio)
		}
		if c.Contender == scenario.Olivearch && c.Worse(most) {
			lost++
		}
	}
	fmt.Fprintf(out, "%d figures; those not shown are %s\n", len(changes), stats.Noise)
	if lost > 0 {
		return fmt.Errorf("%d figures of olivearch are worse by over %g %%", lost, most*100)
	}
	return nil
}

// write makes a page of each result.
func write(_ context.Context, args []string, out io.Writer) error {
	var svg string
	f, err := flags("report", "[flags] RESULT.json...", args, out, func(f *flag.FlagSet) {
		f.StringVar(&svg, "svg", "", "`FOLDER` for the plots alone, as SVG")
	})
	if err != nil {
		return err
	}
	if f.NArg() == 0 {
		return fmt.Errorf("%w: report wants results", errUsage)
	}
	for _, path := range f.Args() {
		r, err := result(path)
		if err != nil {
			return err
		}
		to := strings.TrimSuffix(path, ".json") + ".html"
		if err := page(to, r, nil); err != nil {
			return err
		}
		fmt.Fprintln(out, to)
		if svg != "" {
			if err := report.Plots(svg, r); err != nil {
				return err
			}
		}
	}
	return nil
}

// list shows the scenarios of a folder.
func list(_ context.Context, args []string, out io.Writer) error {
	folder := "scenarios"
	if len(args) == 1 {
		folder = args[0]
	} else if len(args) > 1 {
		return fmt.Errorf("%w: list wants one folder at most", errUsage)
	}
	paths, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("no scenarios are in %s", folder)
	}
	files, err := read(paths)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, f := range files {
		if f != nil {
			fmt.Fprintf(t, "%s\t%s\t%s\n", paths[i], f.Modes, f.About)
		}
	}
	return errors.Join(t.Flush(), err)
}
