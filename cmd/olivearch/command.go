package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"olivearch/internal/strictyaml"
)

// command is a subcommand of the program.
type command struct {
	name      string
	arguments string // as the help shows them
	summary   string
	run       func(args []string, out io.Writer) error
}

var commands = []command{
	{
		name: "serve", arguments: "--config FILE", run: serve,
		summary: "run the listeners, routes and pools of a configuration file",
	},
	{
		name: "check", arguments: "FILE...", run: check,
		summary: "report every error in configuration files, with line and column",
	},
	{
		name: "top", arguments: "[--admin ADDRESS]", run: top,
		summary: "show the live view of a running olivearch as a table",
	},
	{
		name: "promises", arguments: "COMMAND", run: promises,
		summary: "manage the coordination cluster: overrides for all balancers, limits of resources, members",
	},
	{
		name: "demo", arguments: "[--seconds N]", run: runDemo,
		summary: "run the balancer with stand-in servers and clients, inject faults and check its rules",
	},
	{
		name: "version", run: printVersion,
		summary: "print the version",
	},
}

var helpWords = []string{"--help", "-help", "-h", "help"}

// dispatch runs the command that the arguments name. Without arguments it runs the balancer that a platform configures.
func dispatch(args []string, out io.Writer) error {
	if len(args) == 0 {
		return platform()
	}
	if slices.Contains(helpWords, args[0]) {
		printHelp(out)
		return nil
	}
	var names []string
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(args[1:], out)
		}
		names = append(names, c.name)
	}
	if nearest := strictyaml.Nearest(args[0], names); nearest != "" {
		return fmt.Errorf("%w: there is no command %q; did you mean %q?", errUsage, args[0], nearest)
	}
	return fmt.Errorf("%w: there is no command %q", errUsage, args[0])
}

func printVersion(_ []string, out io.Writer) error {
	_, err := fmt.Fprintln(out, "olivearch", version())
	return err
}

func printHelp(out io.Writer) {
	fmt.Fprint(out, `olivearch is a load balancer for fleets of HTTP servers.

Usage:
`)
	for _, c := range commands {
		fmt.Fprintf(out, "  olivearch %-8s %-18s %s\n", c.name, c.arguments, c.summary)
	}
	fmt.Fprint(out, `  olivearch                             run for a platform: RELAY_CONFIG names the JSON configuration

"olivearch COMMAND --help" lists the flags of a command.

Signals to serve: SIGHUP reloads the configuration, or changes nothing if it is invalid; SIGTERM answers the accepted
requests and ends.
Exit status: 0 success, 1 failure or invalid file, 2 wrong usage.
deploy/services.yaml is a sample configuration; docs/operate/services.md explains it.
`)
}

// parseFlags parses a command's flags, which define declares. For --help it prints the usage and returns flag.ErrHelp.
// Other errors wrap errUsage.
func parseFlags(name, usage string, args []string, define func(*flag.FlagSet)) (*flag.FlagSet, error) {
	flagSet := flag.NewFlagSet(name, flag.ContinueOnError)
	flagSet.SetOutput(io.Discard)
	define(flagSet)
	err := flagSet.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Println("Usage: olivearch", name, usage)
		flagSet.SetOutput(os.Stdout)
		flagSet.PrintDefaults()
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errUsage, name, err)
	}
	return flagSet, nil
}
