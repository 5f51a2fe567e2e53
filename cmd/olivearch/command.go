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

// command is a word that may follow the program's name.
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
		summary: "tell everything that is wrong with configuration files, with line and column",
	},
	{
		name: "top", arguments: "[--admin ADDRESS]", run: top,
		summary: "show the live view of a running olivearch as a table",
	},
	{
		name: "promises", arguments: "COMMAND", run: promises,
		summary: "what balancers hold for each other: list, set, clear, members, replace and more",
	},
	{
		name: "demo", arguments: "[--seconds N]", run: runDemo,
		summary: "run the balancer between a stand-in fleet and clients, with troubles, and judge it",
	},
	{
		name: "version", run: printVersion,
		summary: "print the version",
	},
}

var helpWords = []string{"--help", "-help", "-h", "help"}

// dispatch runs the command that the arguments name. Without arguments it runs what a platform configures.
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
	fmt.Fprint(out, `  olivearch                             be told by a platform: RELAY_CONFIG names a JSON file

"olivearch COMMAND --help" tells the flags of a command.

Signals of serve: SIGHUP reads the configuration again (all of it or nothing), SIGTERM answers what was taken and ends.
Exit status: 0 done, 1 it failed or a file is wrong, 2 wrong usage.
A sample configuration is deploy/services.yaml; docs/operate/services.md goes through it.
`)
}

// parseFlags parses a command's flags, which define declares. For --help it prints the usage and returns flag.ErrHelp;
// other errors wrap errUsage.
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
