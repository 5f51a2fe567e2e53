package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"olivearch/internal/faulttest"
	"olivearch/internal/faulttest/schedule"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/faulttest/timeline"
)

// standinRole is the argument with which this program starts itself as a process of stand-ins.
const standinRole = "standin"

// errBroken ends the program with exit status 1, after the result, which says which bound is broken, has been printed.
var errBroken = errors.New("a bound is broken")

// groundFlags are the values of the flags of the command ground.
type groundFlags struct {
	program, coordinator, out, keep string
	seed, faults                    int
	check, figures                  bool
}

// runGround plays fault scripts between many processes.
func runGround(ctx context.Context, args []string, out io.Writer) error {
	var flags groundFlags
	f, err := parseFlags("ground", "[flags] SCRIPT.yaml...", args, out, func(f *flag.FlagSet) {
		f.StringVar(&flags.program, "olivearch", "",
			"`PROGRAM` under test; left out: built from this source with the tag faultinject")
		f.StringVar(&flags.coordinator, "oliveledger", "",
			"`PROGRAM` of the voters (olivearch-coordinator); left out: built from this source with the tag faultinject")
		f.StringVar(&flags.out, "out", "",
			"`FOLDER` for a timeline of each script (NAME-SEED.svg), and for drawn faults that break a bound (NAME-SEED.yaml)")
		f.StringVar(&flags.keep, "keep", "", "`FOLDER` in which to keep the files and logs of the processes")
		f.IntVar(&flags.seed, "seed", 0,
			"seed `N` of what the script draws at random, and of --faults; 0: the seed in the script")
		f.IntVar(&flags.faults, "faults", 0, "replace the faults of the script by this number of random ones; 0: keep them")
		f.BoolVar(&flags.check, "check", false, "only check the scripts")
		f.BoolVar(&flags.figures, "figures", false, "list the figures that bounds may name, and play nothing")
	})
	if err != nil {
		return err
	}
	if flags.figures {
		for _, name := range slices.Sorted(maps.Keys(script.Figures)) {
			fmt.Fprintf(out, "%-17s %s\n", name, script.Figures[name])
		}
		return nil
	}
	if f.NArg() == 0 || flags.seed < 0 || flags.faults < 0 {
		return fmt.Errorf("%w: ground wants scripts, and no negative number", errUsage)
	}
	var files []*script.File
	var errs []error
	for _, path := range f.Args() {
		file, err := script.Read(path)
		files, errs = append(files, file), append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if flags.check {
		for i, file := range files {
			fmt.Fprintf(out, "%s is well: %d balancers, %d nodes, %d faults, %d bounds\n",
				f.Arg(i), file.Balancers.Count, file.Nodes.Count, len(file.Faults), len(file.Bounds))
		}
		return nil
	}
	hasVoters := slices.ContainsFunc(files, func(f *script.File) bool { return f.Voters.Count > 0 })
	if flags.program == "" || (hasVoters && flags.coordinator == "") {
		folder, err := os.MkdirTemp("", "olivearch-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		program, coordinator, err := faulttest.Build(ctx, folder)
		if err != nil {
			return fmt.Errorf(
				"building the programs under test (or name them with --olivearch and --oliveledger): %w", err)
		}
		flags.program, flags.coordinator = cmp.Or(flags.program, program), cmp.Or(flags.coordinator, coordinator)
	}
	for _, file := range files {
		errs = append(errs, flags.play(ctx, file, out))
	}
	return errors.Join(errs...)
}

// play plays one script and prints the result. If the faults were drawn at random and a bound is broken, it also looks
// for a shorter schedule that breaks one.
func (flags *groundFlags) play(ctx context.Context, file *script.File, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	options := faulttest.Options{
		Program: flags.program, Ledger: flags.coordinator, Self: []string{self, standinRole}, Progress: os.Stderr,
	}
	if flags.keep != "" {
		options.Folder = filepath.Join(flags.keep, file.Name)
		if err := os.MkdirAll(options.Folder, 0o755); err != nil {
			return err
		}
	}
	if flags.seed > 0 {
		file.Seed = flags.seed
	}
	if flags.faults > 0 {
		file.Faults = schedule.Faults(file, flags.faults)
	}
	result, err := faulttest.Play(ctx, file, options)
	if err != nil {
		return err
	}
	text, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", text)
	if flags.out != "" {
		if err := os.MkdirAll(flags.out, 0o755); err != nil {
			return err
		}
		if err := timeline.Write(
			filepath.Join(flags.out, fmt.Sprintf("%s-%d.svg", file.Name, file.Seed)), result,
		); err != nil {
			return err
		}
	}
	if result.Holds {
		return nil
	}
	if flags.faults > 0 {
		return errors.Join(errBroken, flags.shrink(ctx, file, options, out))
	}
	return fmt.Errorf("%s: %w", file.Name, errBroken)
}

// shrink looks for a shorter schedule of faults that breaks a bound too, and prints it as a script.
func (flags *groundFlags) shrink(
	ctx context.Context, file *script.File, options faulttest.Options, out io.Writer,
) error {
	options.Progress = io.Discard
	shortest, plays := schedule.Shrink(file, schedule.Plays, func(f *script.File) bool {
		result, err := faulttest.Play(ctx, f, options)
		return err == nil && !result.Holds
	})
	text, err := shortest.Text()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "# %d of %d faults, after %d plays\n%s", len(shortest.Faults), len(file.Faults), plays, text)
	if flags.out == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(flags.out, fmt.Sprintf("%s-%d.yaml", file.Name, file.Seed)), []byte(text), 0o644)
}
