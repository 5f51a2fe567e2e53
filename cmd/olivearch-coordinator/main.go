// Command olivearch-coordinator is a voter of the ledger of promises: a process on each of three, five or seven machines that keeps, with the
// others, what balancers hold for each other. It is a command of its own, so that balancers do not carry its libraries.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/coordination/server"
)

const usage = `olivearch-coordinator is a voter of the ledger of promises (docs/operate/promises.md).

Usage:
  olivearch-coordinator run FILE                       take part, until SIGTERM
  olivearch-coordinator check FILE...                  tell everything that is wrong with voters' files, alone and with each other
  olivearch-coordinator recover --accept-loss FILE     after a majority has been lost: go on from this voter's folder alone
  olivearch-coordinator show FILE                      tell what the folder of a voter that does not run holds

Exit status: 0 done, 1 it failed or a file is wrong, 2 wrong usage, 3 the folder or the disk can't be trusted.
`

var errUsage = errors.New("wrong usage")

func main() {
	err := dispatch(os.Args[1:], os.Stdout)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "olivearch-coordinator:", err)
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	case errors.Is(err, server.ErrDamaged), errors.Is(err, server.ErrForeignFolder), errors.Is(err, server.ErrDisk):
		os.Exit(3)
	}
	os.Exit(1)
}

func dispatch(args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: a command is wanted", errUsage)
	}
	switch rest := args[1:]; args[0] {
	case "help", "--help", "-h":
		_, err := fmt.Fprint(out, usage)
		return err
	case "run":
		return one(rest, run)
	case "check":
		return check(rest, out)
	case "recover":
		if len(rest) != 2 || rest[0] != "--accept-loss" {
			return fmt.Errorf("%w: recover wants --accept-loss and a FILE: what the lost majority held and this folder does not is lost for good", errUsage)
		}
		return one(rest[1:], func(v *config.Voter) error {
			text, err := server.Recover(v.Folder, v.Name, v.Voters[v.Name])
			fmt.Fprint(out, text)
			return err
		})
	case "show":
		return one(rest, func(v *config.Voter) error {
			text, err := server.Inspect(v.Folder, v.Name)
			fmt.Fprint(out, text)
			return err
		})
	}
	return fmt.Errorf("%w: there is no command %q", errUsage, args[0])
}

func one(files []string, do func(*config.Voter) error) error {
	if len(files) != 1 {
		return fmt.Errorf("%w: one FILE is wanted", errUsage)
	}
	v, err := config.LoadVoter(files[0])
	if err != nil {
		return err
	}
	return do(v)
}

func check(files []string, out io.Writer) error {
	if len(files) == 0 {
		return fmt.Errorf("%w: check wants a FILE", errUsage)
	}
	all := map[string]*config.Voter{}
	var errs []error
	for _, path := range files {
		v, err := config.LoadVoter(path)
		if err == nil {
			all[path] = v
			_, err = os.Stat(v.Folder)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(out, "%s: well: voter %s of %d, at %s\n", path, v.Name, len(v.Voters), v.Listen)
	}
	return errors.Join(append(errs, config.AgreeVoters(all))...)
}

// run takes part until SIGTERM.
func run(v *config.Voter) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", v.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	runtime.GOMAXPROCS(1) // it is beside a balancer; on several it uses twice as much when idle, for waking them
	x, err := server.New(server.Config{
		Name: v.Name, Address: v.Voters[v.Name], Voters: v.Voters, Folder: v.Folder, WriteQuorum: v.Copies,
		ReplaceAfter: time.Duration(v.ReplaceAfter),
	}, l)
	if err != nil {
		l.Close()
		return err
	}
	slog.Info("voting", "name", v.Name, "listen", v.Listen, "voters", len(v.Voters))
	err = x.Run(ctx)
	slog.Info("stopped", "name", v.Name, "err", err)
	return err
}
