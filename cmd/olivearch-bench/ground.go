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
	var x groundFlags
	f, err := parseFlags("ground", "[flags] SCRIPT.yaml...", args, out, func(f *flag.FlagSet) {
		f.StringVar(&x.program, "olivearch", "",
			"`PROGRAM` under test; left out: built from this source with the tag faultinject")
		f.StringVar(&x.coordinator, "oliveledger", "",
			"`PROGRAM` of the voters (olivearch-coordinator); left out: built from this source with the tag faultinject")
		f.StringVar(&x.out, "out", "",
			"`FOLDER` for a timeline of each script (NAME-SEED.svg), and for drawn faults that break a bound (NAME-SEED.yaml)")
		f.StringVar(&x.keep, "keep", "", "`FOLDER` in which to keep the files and logs of the processes")
		f.IntVar(&x.seed, "seed", 0,
			"seed `N` of what the script draws at random, and of --faults; 0: the seed in the script")
		f.IntVar(&x.faults, "faults", 0, "replace the faults of the script by this number of random ones; 0: keep them")
		f.BoolVar(&x.check, "check", false, "only check the scripts")
		f.BoolVar(&x.figures, "figures", false, "list the figures that bounds may name, and play nothing")
	})
	if err != nil {
		return err
	}
	if x.figures {
		for _, name := range slices.Sorted(maps.Keys(script.Figures)) {
			fmt.Fprintf(out, "%-17s %s\n", name, script.Figures[name])
		}
		return nil
	}
	if f.NArg() == 0 || x.seed < 0 || x.faults < 0 {
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
	if x.check {
		for i, file := range files {
			fmt.Fprintf(out, "%s is well: %d balancers, %d nodes, %d faults, %d bounds\n",
				f.Arg(i), file.Balancers.Count, file.Nodes.Count, len(file.Faults), len(file.Bounds))
		}
		return nil
	}
	hasVoters := slices.ContainsFunc(files, func(f *script.File) bool { return f.Voters.Count > 0 })
	if x.program == "" || (hasVoters && x.coordinator == "") {
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
		x.program, x.coordinator = cmp.Or(x.program, program), cmp.Or(x.coordinator, coordinator)
	}
	for _, file := range files {
		errs = append(errs, x.play(ctx, file, out))
	}
	return errors.Join(errs...)
}

// play plays one script and prints the result. If the faults were drawn at random and a bound is broken, it also looks
// for a shorter schedule that breaks one.
func (x *groundFlags) play(ctx context.Context, file *script.File, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o := faulttest.Options{
		Program: x.program, Ledger: x.coordinator, Self: []string{self, standinRole}, Progress: os.Stderr,
	}
	if x.keep != "" {
		o.Folder = filepath.Join(x.keep, file.Name)
		if err := os.MkdirAll(o.Folder, 0o755); err != nil {
			return err
		}
	}
	if x.seed > 0 {
		file.Seed = x.seed
	}
	if x.faults > 0 {
		file.Faults = schedule.Faults(file, x.faults)
	}
	r, err := faulttest.Play(ctx, file, o)
	if err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", text)
	if x.out != "" {
		if err := os.MkdirAll(x.out, 0o755); err != nil {
			return err
		}
		if err := timeline.Write(filepath.Join(x.out, fmt.Sprintf("%s-%d.svg", file.Name, file.Seed)), r); err != nil {
			return err
		}
	}
	if r.Holds {
		return nil
	}
	if x.faults > 0 {
		return errors.Join(errBroken, x.shrink(ctx, file, o, out))
	}
	return fmt.Errorf("%s: %w", file.Name, errBroken)
}

// shrink looks for a shorter schedule of faults that breaks a bound too, and prints it as a script.
func (x *groundFlags) shrink(ctx context.Context, file *script.File, o faulttest.Options, out io.Writer) error {
	o.Progress = io.Discard
	shortest, plays := schedule.Shrink(file, schedule.Plays, func(f *script.File) bool {
		r, err := faulttest.Play(ctx, f, o)
		return err == nil && !r.Holds
	})
	text, err := shortest.Text()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "# %d of %d faults, after %d plays\n%s", len(shortest.Faults), len(file.Faults), plays, text)
	if x.out == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(x.out, fmt.Sprintf("%s-%d.yaml", file.Name, file.Seed)), []byte(text), 0o644)
}
