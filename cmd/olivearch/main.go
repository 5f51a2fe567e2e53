// Command olivearch is a load balancer for fleets of HTTP servers. With no arguments it is told what to do by a platform,
// through the RELAY_ environment variables; "olivearch serve" runs from a configuration file.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"

	"olivearch/internal/strictyaml"
)

// command is a word that may follow the program's name.
type command struct {
	name, arguments, about string
	run                    func(args []string, out io.Writer) error
}

var commands = []command{
	{"serve", "--config FILE", "run the listeners, routes and pools of a configuration file", serve},
	{"check", "FILE...", "tell everything that is wrong with configuration files, with line and column", check},
	{"top", "[--admin ADDRESS]", "show the live view of a running olivearch as a table", top},
	{"promises", "COMMAND", "what balancers hold for each other: list, set, clear, members, replace and more", promises},
	{"demo", "[--seconds N]", "run the balancer between a stand-in fleet and clients, with troubles, and judge it", runDemo},
	{"version", "", "print the version", func(_ []string, out io.Writer) error {
		_, err := fmt.Fprintln(out, "olivearch", version())
		return err
	}},
}

// errUsage ends the program with a hint at --help and exit status 2.
var errUsage = errors.New("wrong usage")

func main() {
	err := dispatch(os.Args[1:], os.Stdout)
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "olivearch:", err)
		fmt.Fprintln(os.Stderr, `Run "olivearch --help" for the commands.`)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "olivearch:", err)
		os.Exit(1)
	}
}

func dispatch(args []string, out io.Writer) error {
	if len(args) == 0 {
		return platform()
	}
	if slices.Contains([]string{"--help", "-help", "-h", "help"}, args[0]) {
		help(out)
		return nil
	}
	var names []string
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(args[1:], out)
		}
		names = append(names, c.name)
	}
	if near := strictyaml.Nearest(args[0], names); near != "" {
		return fmt.Errorf("%w: there is no command %q; did you mean %q?", errUsage, args[0], near)
	}
	return fmt.Errorf("%w: there is no command %q", errUsage, args[0])
}

func help(out io.Writer) {
	fmt.Fprint(out, `olivearch is a load balancer for fleets of HTTP servers.

Usage:
`)
	for _, c := range commands {
		fmt.Fprintf(out, "  olivearch %-8s %-18s %s\n", c.name, c.arguments, c.about)
	}
	fmt.Fprint(out, `  olivearch                             be told by a platform: RELAY_CONFIG names a JSON file

"olivearch COMMAND --help" tells the flags of a command.

Signals of serve: SIGHUP reads the configuration again (all of it or nothing), SIGTERM answers what was taken and ends.
Exit status: 0 done, 1 it failed or a file is wrong, 2 wrong usage.
A sample configuration is deploy/services.yaml; docs/operate/services.md goes through it.
`)
}

// flags parses a command's flags.
func flags(name, usage string, args []string, define func(*flag.FlagSet)) (*flag.FlagSet, error) {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	define(f)
	switch err := f.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		fmt.Println("Usage: olivearch", name, usage)
		f.SetOutput(os.Stdout)
		f.PrintDefaults()
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("%w: %s: %v", errUsage, name, err)
	}
	return f, nil
}

// version is what the build knows of itself.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 && v == "(devel)" {
			v = s.Value[:12]
		}
	}
	return v + " " + info.GoVersion
}
