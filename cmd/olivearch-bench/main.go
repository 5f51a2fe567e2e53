// Command olivearch-bench runs experiments. It plays scenarios (a fleet of servers, faults and load) against olivearch
// and against other load balancers, and reports their figures. It also plays fault scripts between many processes.
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

// command is a subcommand of the program.
type command struct {
	name, arguments, summary string
	run                      func(ctx context.Context, args []string, out io.Writer) error
}

var commands = []command{
	{"run", "[flags] SCENARIO.yaml...", "play scenarios; exit 1 if a bound is broken", run},
	{"check", "SCENARIO.yaml...", "report every error in scenarios, with line and column", check},
	{
		"compare", "[flags] NEW.json OLD.json",
		"show what differs between two results; exit 1 if olivearch is worse by more than --most", compare,
	},
	{"report", "[flags] RESULT.json...", "write a page with plots for each result", writeReports},
	{
		"ground", "[flags] SCRIPT.yaml...",
		"play fault scripts between many processes; exit 1 if a bound is broken", runGround,
	},
	{"list", "[FOLDER]", "list the scenarios of a folder", list},
}

// errUsage is wrapped by errors about the arguments, which end the program with exit status 2.
var errUsage = errors.New("wrong usage")

func main() {
	if len(os.Args) > 1 && os.Args[1] == experiment.Role { // started by this program, as a contender
		if err := experiment.Contend(os.Args[2:], os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "olivearch-bench:", err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) == 2 && os.Args[1] == standinRole { // started by this program, as stand-ins in a fault test
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
	if nearest := strictyaml.Nearest(args[0], names); nearest != "" {
		return fmt.Errorf("%w: there is no command %q; did you mean %q?", errUsage, args[0], nearest)
	}
	return fmt.Errorf("%w: there is no command %q", errUsage, args[0])
}

func help(out io.Writer) {
	fmt.Fprint(out, "olivearch-bench plays scenarios against olivearch and against other load balancers.\n\nUsage:\n")
	for _, c := range commands {
		fmt.Fprintf(out, "  olivearch-bench %-8s %-27s %s\n", c.name, c.arguments, c.summary)
	}
	fmt.Fprint(out, `
"olivearch-bench COMMAND --help" lists the flags of a command. The folder scenarios/ has scenarios, faultscripts/ has
fault scripts for the command ground; docs/operate/experiments.md explains how to write a scenario for your own fleet.
All traffic stays on 127.0.0.1.
Exit status: 0 success, 1 a bound is broken, a failure or an invalid file, 2 wrong usage.
`)
}

// parseFlags parses a command's flags, which define declares. For --help it prints the usage and returns flag.ErrHelp.
// Other errors wrap errUsage.
func parseFlags(
	name, usage string, args []string, out io.Writer, define func(*flag.FlagSet),
) (*flag.FlagSet, error) {
	flagSet := flag.NewFlagSet(name, flag.ContinueOnError)
	flagSet.SetOutput(io.Discard)
	define(flagSet)
	switch err := flagSet.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprintln(out, "Usage: olivearch-bench", name, usage)
		flagSet.SetOutput(out)
		flagSet.PrintDefaults()
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %s: %v", errUsage, name, err)
	}
	return flagSet, nil
}

// run plays scenarios and prints the figures of each. It returns an error if a bound is broken.
func run(ctx context.Context, args []string, out io.Writer) error {
	var mode, contenderNames, folder, program string
	var repeats, seed int
	f, err := parseFlags("run", "[flags] SCENARIO.yaml...", args, out, func(f *flag.FlagSet) {
		f.StringVar(&mode, "mode", experiment.Sockets, "`MODE`: sockets (on loopback) or simulated (in simulated time)")
		f.StringVar(&contenderNames, "contenders", "",
			"`NAMES` of contenders (load balancers) of the scenario, separated by commas; left out: all")
		f.StringVar(&folder, "out", "",
			"`FOLDER` for the raw figures (NAME-MODE.json) and a page with plots (NAME-MODE.html); left out: none are written")
		f.StringVar(&program, "olivearch", "", "`PROGRAM` that runs as olivearch; left out: the code of this build")
		f.IntVar(&repeats, "repeats", 0, "number of turns of each contender; 0: as in the scenario")
		f.IntVar(&seed, "seed", 0, "seed of random arrivals, sizes and choices of servers; 0: as in the scenario")
	})
	if err != nil {
		return err
	}
	if f.NArg() == 0 || (mode != experiment.Sockets && mode != experiment.Simulated) || repeats < 0 || seed < 0 {
		return fmt.Errorf("%w: run wants scenarios, --mode sockets or simulated, and no negative number", errUsage)
	}
	files, err := readScenarios(f.Args())
	if err != nil {
		return err
	}
	options := experiment.Options{Mode: mode, Repeats: repeats, Seed: seed, Program: program, Progress: os.Stderr}
	if contenderNames != "" {
		options.Contenders = strings.Split(contenderNames, ",")
	}
	broken := 0
	for _, file := range files {
		result, err := experiment.Run(ctx, file, options)
		if err != nil {
			return err
		}
		findings := result.Judge(file.Bounds)
		if err := report.Table(out, result, findings); err != nil {
			return err
		}
		for _, finding := range findings {
			if !finding.Holds {
				broken++
			}
		}
		if folder != "" {
			if err := saveResult(folder, result, findings); err != nil {
				return err
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d bounds are broken", broken)
	}
	return nil
}

// readScenarios reads scenarios. The error joins every error in them; a file with an error is nil in the result.
func readScenarios(paths []string) ([]*scenario.File, error) {
	var files []*scenario.File
	var errs []error
	for _, path := range paths {
		file, err := scenario.Read(path)
		files, errs = append(files, file), append(errs, err)
	}
	return files, errors.Join(errs...)
}

// saveResult writes a result and its page to a folder.
func saveResult(folder string, result *stats.Result, findings []stats.Finding) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.Marshal(result)
	if err != nil {
		return err
	}
	base := filepath.Join(folder, result.Scenario+"-"+result.Mode)
	if err := os.WriteFile(base+".json", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return writePage(base+".html", result, findings)
}

func writePage(path string, result *stats.Result, findings []stats.Finding) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.Page(f, result, findings); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func check(_ context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: check wants scenarios", errUsage)
	}
	files, err := readScenarios(args)
	for i, f := range files {
		if f != nil {
			fmt.Fprintf(out, "%s: well: %d contenders, %d bounds\n", args[i], len(f.Contenders), len(f.Bounds))
		}
	}
	return err
}

// readResult reads the raw figures of a run.
func readResult(path string) (*stats.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := &stats.Result{}
	if err := json.Unmarshal(text, result); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := result.Load(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return result, nil
}

// compare prints the figures that differ between two results. It returns an error if a figure of olivearch is worse by
// more than --most.
func compare(_ context.Context, args []string, out io.Writer) error {
	var maxLoss float64
	var figureNames string
	f, err := parseFlags("compare", "[flags] NEW.json OLD.json", args, out, func(f *flag.FlagSet) {
		f.Float64Var(&maxLoss, "most", 0.05,
			"`PART` (0.05: 5 %) by which a figure of olivearch may be worse, beyond the noise, before the exit status is 1")
		f.StringVar(&figureNames, "figures", "p50,p99,in_aim,per_second,executions,cpu_us,resident_mb",
			"`NAMES` of the figures to compare, separated by commas")
	})
	if err != nil {
		return err
	}
	if f.NArg() != 2 || !(maxLoss >= 0) {
		return fmt.Errorf("%w: compare wants two results, the new one first", errUsage)
	}
	names := strings.Split(figureNames, ",")
	for _, name := range names {
		if _, ok := scenario.Figures[name]; !ok {
			return fmt.Errorf("%w: there is no figure %q", errUsage, name)
		}
	}
	newer, err := readResult(f.Arg(0))
	if err != nil {
		return err
	}
	older, err := readResult(f.Arg(1))
	if err != nil {
		return err
	}
	changes, err := stats.Changes(newer, older, names)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s (%s): new against old\n", newer.Scenario, newer.Mode)
	worse := 0
	for _, c := range changes {
		if c.Verdict != stats.Noise {
			fmt.Fprintf(out, "%-12s %v\n", c.Contender, c.Ratio)
		}
		if c.Contender == scenario.Olivearch && c.Worse(maxLoss) {
			worse++
		}
	}
	fmt.Fprintf(out, "%d figures; those not shown are %s\n", len(changes), stats.Noise)
	if worse > 0 {
		return fmt.Errorf("%d figures of olivearch are worse by over %g %%", worse, maxLoss*100)
	}
	return nil
}

// writeReports writes a page for each result, and with --svg its plots.
func writeReports(_ context.Context, args []string, out io.Writer) error {
	var svg string
	f, err := parseFlags("report", "[flags] RESULT.json...", args, out, func(f *flag.FlagSet) {
		f.StringVar(&svg, "svg", "", "`FOLDER` for the plots as SVG files; left out: none are written")
	})
	if err != nil {
		return err
	}
	if f.NArg() == 0 {
		return fmt.Errorf("%w: report wants results", errUsage)
	}
	for _, path := range f.Args() {
		result, err := readResult(path)
		if err != nil {
			return err
		}
		pagePath := strings.TrimSuffix(path, ".json") + ".html"
		if err := writePage(pagePath, result, nil); err != nil {
			return err
		}
		fmt.Fprintln(out, pagePath)
		if svg != "" {
			if err := report.Plots(svg, result); err != nil {
				return err
			}
		}
	}
	return nil
}

// list prints the scenarios of a folder.
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
	files, err := readScenarios(paths)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, f := range files {
		if f != nil {
			fmt.Fprintf(table, "%s\t%s\t%s\n", paths[i], f.Modes, f.About)
		}
	}
	return errors.Join(table.Flush(), err)
}
