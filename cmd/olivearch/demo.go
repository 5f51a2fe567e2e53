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

// runDemo plays the demo and ends with an error if a rule broke.
func runDemo(args []string, out io.Writer) error {
	o := demo.Options{}
	var seconds float64
	f, err := flags("demo", "[--seconds N] [--seed N] [--every TIME]", args, func(f *flag.FlagSet) {
		f.Float64Var(&seconds, "seconds", 20, "length of the run, in seconds: `N`")
		f.Uint64Var(&o.Seed, "seed", 1, "`N` from which traffic and work are drawn")
		f.DurationVar(&o.Every, "every", 4*time.Second, "`TIME` between two tables; 0 for none")
	})
	if err != nil {
		return err
	}
	if f.NArg() > 0 || !(seconds >= 2 && seconds <= 3600) {
		return fmt.Errorf("%w: demo takes flags only, and from 2 to 3,600 seconds", errUsage)
	}
	o.Length = time.Duration(seconds * float64(time.Second))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	r, err := demo.Run(ctx, o, out)
	if err != nil {
		return err
	}
	r.Write(out)
	if len(r.Breaches) > 0 {
		return errors.New("a rule was broken")
	}
	return nil
}
