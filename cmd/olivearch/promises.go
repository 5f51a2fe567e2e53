package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"olivearch/internal/coordination/client"
)

// promisesCommand is a subcommand of "olivearch promises".
type promisesCommand struct {
	name             string
	minArgs, maxArgs int // number of arguments after the name
	run              func(*promisesCall, context.Context, []string) error
	usage            []promisesUsage
}

// promisesUsage is a line of the usage text: a form of the arguments and what it does.
type promisesUsage struct{ arguments, summary string }

var promisesCommands = []promisesCommand{
	{"list", 0, 0, (*promisesCall).list, []promisesUsage{
		{"", "list overrides, and resources with their limits and leases"},
	}},
	{"show", 1, 1, (*promisesCall).show, []promisesUsage{
		{"TARGET", "list the overrides of an upstream (TARGET is its id), zone/NAME or pool/NAME"},
	}},
	{"set", 2, 3, (*promisesCall).set, []promisesUsage{
		{"out TARGET", "take the target out of service for all balancers"},
		{"cap ID N", "let each balancer have at most N attempts in flight at the upstream"},
		{"share ID PARTS", "give the upstream 1 to 1000 thousandths of its usual traffic share"},
	}},
	{"clear", 2, 2, (*promisesCall).clear, []promisesUsage{
		{"out|cap|share TARGET", "clear an override of the target"},
	}},
	{"bound", 2, 2, (*promisesCall).bound, []promisesUsage{
		{"NAME LIMIT", "limit a resource: units leased at once, or with --slots slots per second; 0 removes it"},
	}},
	{"members", 0, 2, (*promisesCall).members, []promisesUsage{
		{"", "show the status of each voter, and the members of the cluster"},
		{"add NAME=ADDRESS", "let a voter of that name join the cluster"},
		{"remove NAME", "remove a voter from the cluster, once the others can do without it"},
	}},
	{"replace", 1, 1, (*promisesCall).replace, []promisesUsage{
		{"NAME", "declare a voter lost for good: one of that name with an empty folder may replace it at once"},
	}},
	{"snapshot", 1, 1, (*promisesCall).snapshot, []promisesUsage{
		{"FILE", "write the overrides and the limits of resources to a file"},
	}},
	{"restore", 1, 1, (*promisesCall).restore, []promisesUsage{
		{"FILE", "set the overrides and limits in the file again; the cluster must have no overrides"},
	}},
}

// promisesOptions are the values of the flags.
type promisesOptions struct {
	voters   string // NAME=ADDRESS,...
	file     string // a configuration file that names the voters
	within   time.Duration
	reason   string
	by       string        // who sets an override
	duration time.Duration // of an override; 0: it holds until it is cleared
	slots    bool
	stale    bool
}

// promisesCall is one run of a subcommand.
type promisesCall struct {
	promisesOptions
	client *client.Client
	out    io.Writer
}

// promises reads or changes what the coordination cluster stores, by a subcommand.
func promises(args []string, out io.Writer) error {
	call := promisesCall{out: out}
	flagSet := call.flagSet()
	words, err := parseAnywhere(flagSet, args)
	if errors.Is(err, flag.ErrHelp) {
		printPromisesHelp(flagSet, out)
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: promises: %w", errUsage, err)
	}
	if len(words) == 0 {
		return fmt.Errorf("%w: promises wants a command: %s", errUsage, promisesCommandNames())
	}
	voters, err := call.voterAddresses()
	if err != nil {
		return err
	}
	if call.by == "" {
		call.by = currentUser()
	}
	call.client = client.New(call.by, voters)
	defer call.client.Close()
	command, err := findPromisesCommand(words)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.within)
	defer cancel()
	return command.run(&call, ctx, words[1:])
}

// flagSet returns the flags of the command, which write their values to the options.
func (o *promisesOptions) flagSet() *flag.FlagSet {
	flagSet := flag.NewFlagSet("promises", flag.ContinueOnError)
	flagSet.SetOutput(io.Discard)
	flagSet.StringVar(&o.voters, "voters", os.Getenv("OLIVEARCH_VOTERS"),
		"`NAME=ADDRESS,...` of the voters, the servers of the cluster; left out: the value of OLIVEARCH_VOTERS")
	flagSet.StringVar(&o.file, "config", "",
		"`FILE` that names the voters: the configuration of a voter, of RELAY_PROMISES or of serve")
	flagSet.DurationVar(&o.within, "within", 2*time.Second, "`TIME` to wait for the answer of the cluster")
	flagSet.StringVar(&o.reason, "why", "", "set: `TEXT` that tells other operators the reason")
	flagSet.StringVar(&o.by, "by", "", "set and clear: `NAME` of the operator; left out: the name of the user")
	flagSet.DurationVar(&o.duration, "for", 0,
		"set: `TIME` after which the override ends; left out: it holds until it is cleared")
	flagSet.BoolVar(&o.slots, "slots", false, "bound: limit the slots per second instead of the units leased at once")
	flagSet.BoolVar(&o.stale, "stale", false,
		"list, show and snapshot: if no quorum answers, use the copy of a single voter, however old")
	return flagSet
}

// parseAnywhere parses flags, which may stand before, between and after the other arguments, and returns the others.
func parseAnywhere(flagSet *flag.FlagSet, args []string) ([]string, error) {
	var words []string
	for len(args) > 0 {
		if err := flagSet.Parse(args); err != nil {
			return nil, err
		}
		if args = flagSet.Args(); len(args) > 0 {
			words, args = append(words, args[0]), args[1:]
		}
	}
	return words, nil
}

func printPromisesHelp(flagSet *flag.FlagSet, out io.Writer) {
	fmt.Fprint(out, "olivearch promises manages the coordination cluster (docs/operate/promises.md).\n\nUsage:\n")
	for _, command := range promisesCommands {
		for _, usage := range command.usage {
			fmt.Fprintf(out, "  olivearch promises %-29s %s\n", command.name+" "+usage.arguments, usage.summary)
		}
	}
	fmt.Fprint(out, "\nFlags:\n")
	flagSet.SetOutput(out)
	flagSet.PrintDefaults()
}

// promisesCommandNames returns the names of the subcommands as they appear in a sentence.
func promisesCommandNames() string {
	names := make([]string, 0, len(promisesCommands))
	for _, command := range promisesCommands {
		names = append(names, command.name)
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}

// findPromisesCommand returns the subcommand that the first word names, if it takes as many arguments as follow.
func findPromisesCommand(words []string) (*promisesCommand, error) {
	arguments := len(words) - 1
	for i := range promisesCommands {
		command := &promisesCommands[i]
		if command.name == words[0] && command.minArgs <= arguments && arguments <= command.maxArgs {
			return command, nil
		}
	}
	return nil, fmt.Errorf("%w: promises does not know %q; \"olivearch promises --help\" lists what it knows",
		errUsage, strings.Join(words, " "))
}

// currentUser returns the name of the user, which an override records as its author.
func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "staff"
}
