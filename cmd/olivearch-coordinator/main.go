// Command olivearch-coordinator runs a server of the coordination cluster, which stores overrides, leases and
// reservations for all balancers. A cluster has a server on each of three, five or seven machines. This is a program of
// its own so that balancers do not link its libraries.
package main

import (
	"context"
	_ "embed" // for usage.txt
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
	"olivearch/internal/cpushare"
)

//go:embed usage.txt
var usage string

// errUsage is wrapped by errors about the arguments: the program prints the usage text and exits with exitUsage.
var errUsage = errors.New("wrong usage")

// The exit statuses, as the usage text lists them.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitUntrusted = 3 // the folder or the disk can't be trusted: a restart alone does not help
)

func main() {
	err := dispatch(os.Args[1:], os.Stdout)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "olivearch-coordinator:", err)
	status := exitStatus(err)
	if status == exitUsage {
		fmt.Fprint(os.Stderr, usage)
	}
	os.Exit(status)
}

func exitStatus(err error) int {
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, server.ErrDamaged), errors.Is(err, server.ErrForeignFolder), errors.Is(err, server.ErrDisk):
		return exitUntrusted
	}
	return exitFailed
}

// dispatch runs the subcommand that the arguments begin with.
func dispatch(args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: a command is wanted", errUsage)
	}
	switch rest := args[1:]; args[0] {
	case "help", "--help", "-h":
		_, err := fmt.Fprint(out, usage)
		return err
	case "run":
		return withSettings(rest, run)
	case "check":
		return check(rest, out)
	case "recover":
		return recoverFolder(rest, out)
	case "show":
		return withSettings(rest, func(settings *config.Voter) error {
			report, err := server.Inspect(settings.Folder, settings.Name)
			fmt.Fprint(out, report)
			return err
		})
	}
	return fmt.Errorf("%w: there is no command %q", errUsage, args[0])
}

// withSettings calls do with the settings of the configuration file, which must be the only argument.
func withSettings(files []string, do func(*config.Voter) error) error {
	if len(files) != 1 {
		return fmt.Errorf("%w: one FILE is wanted", errUsage)
	}
	settings, err := config.LoadVoter(files[0])
	if err != nil {
		return err
	}
	return do(settings)
}

// check reports every error in the configuration files of servers, including contradictions between files.
func check(files []string, out io.Writer) error {
	if len(files) == 0 {
		return fmt.Errorf("%w: check wants a FILE", errUsage)
	}
	valid := map[string]*config.Voter{} // by path
	var errs []error
	for _, path := range files {
		settings, err := config.LoadVoter(path)
		if err == nil {
			valid[path] = settings
			_, err = os.Stat(settings.Folder)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(out, "%s: well: voter %s of %d, at %s\n",
			path, settings.Name, len(settings.Voters), settings.Listen)
	}
	return errors.Join(append(errs, config.CheckVotersAgree(valid))...)
}

// recoverFolder turns one server's folder into that of a new cluster, after a majority of the servers has been
// permanently lost.
func recoverFolder(args []string, out io.Writer) error {
	if len(args) != 2 || args[0] != "--accept-loss" {
		return fmt.Errorf("%w: recover wants --accept-loss and a FILE: "+
			"grants that only the lost majority had stored are permanently lost", errUsage)
	}
	return withSettings(args[1:], func(settings *config.Voter) error {
		report, err := server.Recover(settings.Folder, settings.Name, settings.Voters[settings.Name])
		fmt.Fprint(out, report)
		return err
	})
}

// run serves until SIGTERM or an interrupt, or until the server fails.
func run(settings *config.Voter) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	// The process shares its machine with a balancer. When idle, several threads would double its CPU time, since
	// each of them has to be woken.
	runtime.GOMAXPROCS(1)
	coordinator, err := server.New(server.Config{
		Name:         settings.Name,
		Address:      settings.Voters[settings.Name],
		Addresses:    settings.Voters,
		Folder:       settings.Folder,
		WriteQuorum:  settings.Copies,
		ReplaceAfter: time.Duration(settings.ReplaceAfter),
	}, cpushare.NewListener(listener))
	if err != nil {
		listener.Close()
		return err
	}
	slog.Info("server started", "name", settings.Name, "listen", settings.Listen, "voters", len(settings.Voters))
	err = coordinator.Run(ctx)
	slog.Info("server stopped", "name", settings.Name, "err", err)
	return err
}
