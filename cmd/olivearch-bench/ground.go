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

// standinRole is the word with which this program starts itself as a process of stand-ins.
const standinRole = "standin"

// errBroken ends the program with exit status 1; what is broken has been printed.
var errBroken = errors.New("a bound is broken")

// groundFlags are those of the command ground.
type groundFlags struct {
	program, ledger, out, keep string
	seed, faults               int
	check, figures             bool
}

// playGround plays scripts of faults between many processes.
func playGround(ctx context.Context, args []string, out io.Writer) error {
	var x groundFlags
	f, err := flags("ground", "[flags] SCRIPT.yaml...", args, out, func(f *flag.FlagSet) {
		f.StringVar(&x.program, "olivearch", "", "`PROGRAM` under test; left out: this source, built with the tag ground")
		f.StringVar(&x.ledger, "oliveledger", "", "`PROGRAM` of the ledger's voters; left out: this source, built likewise")
		f.StringVar(&x.out, "out", "", "`FOLDER` for a plot of each script's time (NAME-SEED.svg), and for schedules that fail")
		f.StringVar(&x.keep, "keep", "", "`FOLDER` in which the processes' disks and logs stay")
		f.IntVar(&x.seed, "seed", 0, "draw `N`: the script's seed, and with --faults the faults too; 0: the script's own")
		f.IntVar(&x.faults, "faults", 0, "draw so many faults in the place of the script's")
		f.BoolVar(&x.check, "check", false, "read the scripts and play nothing")
		f.BoolVar(&x.figures, "figures", false, "list the figures that bounds may use")
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
			fmt.Fprintf(out, "%s is well: %d balancers, %d nodes, %d faults, %d bounds\n", f.Arg(i), file.Balancers.Count, file.Nodes.Count, len(file.Faults), len(file.Bounds))
		}
		return nil
	}
	votes := slices.ContainsFunc(files, func(f *script.File) bool { return f.Voters.Count > 0 })
	if x.program == "" || (votes && x.ledger == "") {
		folder, err := os.MkdirTemp("", "olivearch-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(folder)
		program, ledger, err := faulttest.Build(ctx, folder)
		if err != nil {
			return fmt.Errorf("building the programs under test (or name them with --olivearch and --oliveledger): %w", err)
		}
		x.program, x.ledger = cmp.Or(x.program, program), cmp.Or(x.ledger, ledger)
	}
	for _, file := range files {
		errs = append(errs, x.play(ctx, file, out))
	}
	return errors.Join(errs...)
}

// play plays one script, and makes the schedule of faults shorter if one that was drawn fails.
func (x *groundFlags) play(ctx context.Context, file *script.File, out io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	o := faulttest.Options{Program: x.program, Ledger: x.ledger, Self: []string{self, standinRole}, Progress: os.Stderr}
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

// shrink looks for a shorter schedule that fails too, and prints it as a script that plays again.
func (x *groundFlags) shrink(ctx context.Context, file *script.File, o faulttest.Options, out io.Writer) error {
	o.Progress = io.Discard
	short, plays := schedule.Shrink(file, schedule.Plays, func(f *script.File) bool {
		r, err := faulttest.Play(ctx, f, o)
		return err == nil && !r.Holds
	})
	text, err := short.Text()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "# %d of %d faults, after %d plays\n%s", len(short.Faults), len(file.Faults), plays, text)
	if x.out == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(x.out, fmt.Sprintf("%s-%d.yaml", file.Name, file.Seed)), []byte(text), 0o644)
}
