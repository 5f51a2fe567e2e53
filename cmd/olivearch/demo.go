package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"olivearch/internal/demo"
)

// Bounds of the demo's length, in seconds.
const (
	minDemoSeconds     = 2
	maxDemoSeconds     = 3600
	defaultDemoSeconds = 20
)

const defaultDemoInterval = 4 * time.Second

// runDemo runs the demo and returns an error if a rule was broken.
func runDemo(args []string, out io.Writer) error {
	var options demo.Options
	var seconds float64
	flagSet, err := parseFlags("demo", "[--seconds N] [--seed N] [--every TIME]", args, func(f *flag.FlagSet) {
		f.Float64Var(&seconds, "seconds", defaultDemoSeconds, "length of the run: `N` seconds")
		f.Uint64Var(&options.Seed, "seed", 1, "`N`: seed of the random traffic and of the work of each request")
		f.DurationVar(&options.Every, "every", defaultDemoInterval, "`TIME` between two tables; 0: print none")
	})
	if err != nil {
		return err
	}
	validLength := seconds >= minDemoSeconds && seconds <= maxDemoSeconds // false for NaN
	if flagSet.NArg() > 0 || !validLength {
		return fmt.Errorf("%w: demo takes flags only, and from 2 to 3,600 seconds", errUsage)
	}
	options.Length = time.Duration(seconds * float64(time.Second))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := demo.Run(ctx, options, out)
	if err != nil {
		return err
	}
	report.Write(out)
	if len(report.Breaches) > 0 {
		return errors.New("a rule was broken")
	}
	return nil
}
