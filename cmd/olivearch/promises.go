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
	minArgs, maxArgs int // arguments behind the name
	run              func(*promisesCall, context.Context, []string) error
	usage            []promisesUsage
}

// promisesUsage is a line of the usage text.
type promisesUsage struct{ arguments, summary string }

var promisesCommands = []promisesCommand{
	{"list", 0, 0, (*promisesCall).list, []promisesUsage{
		{"", "what staff have said, bounds, leases and slots"},
	}},
	{"show", 1, 1, (*promisesCall).show, []promisesUsage{
		{"TARGET", "what is said of one: an upstream's id, zone/NAME, pool/NAME"},
	}},
	{"set", 2, 3, (*promisesCall).set, []promisesUsage{
		{"out TARGET", "take it out for all balancers"},
		{"cap ID N", "a balancer has at most N attempts out there"},
		{"share ID PARTS", "thousandths of its usual share, 1 to 1000"},
	}},
	{"clear", 2, 2, (*promisesCall).clear, []promisesUsage{
		{"out|cap|share TARGET", "take that back"},
	}},
	{"bound", 2, 2, (*promisesCall).bound, []promisesUsage{
		{"NAME LIMIT", "a bound for leases (with --slots: for places in each second); 0 removes it"},
	}},
	{"members", 0, 2, (*promisesCall).members, []promisesUsage{
		{"", "the voters, as each of them sees it"},
		{"add NAME=ADDRESS", "let a voter of that name join"},
		{"remove NAME", "take a voter out, once the others can do without"},
	}},
	{"replace", 1, 1, (*promisesCall).replace, []promisesUsage{
		{"NAME", "its machine has gone for good: an empty one need not wait"},
	}},
	{"snapshot", 1, 1, (*promisesCall).snapshot, []promisesUsage{
		{"FILE", "write what staff have said, and the bounds, to a file"},
	}},
	{"restore", 1, 1, (*promisesCall).restore, []promisesUsage{
		{"FILE", "say it all anew, to an empty ledger"},
	}},
}

// promisesOptions are the values of the flags.
type promisesOptions struct {
	voters   string // NAME=ADDRESS,...
	file     string // a configuration file that names the voters
	within   time.Duration
	reason   string
	by       string        // who sets an override
	duration time.Duration // of an override; 0: until it is cleared
	slots    bool
	stale    bool
}

// promisesCall is one run of a subcommand.
type promisesCall struct {
	promisesOptions
	client *client.Client
	out    io.Writer
}

// promises reads or changes what the coordination cluster holds, by a subcommand.
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

// flagSet returns the flags, whose values go to the options.
func (o *promisesOptions) flagSet() *flag.FlagSet {
	flagSet := flag.NewFlagSet("promises", flag.ContinueOnError)
	flagSet.SetOutput(io.Discard)
	flagSet.StringVar(&o.voters, "voters", os.Getenv("OLIVEARCH_VOTERS"),
		"`NAME=ADDRESS,...` of the voters; OLIVEARCH_VOTERS if left out")
	flagSet.StringVar(&o.file, "config", "",
		"a `FILE` that names the voters: one of a voter, of promises, or of serve")
	flagSet.DurationVar(&o.within, "within", 2*time.Second, "`TIME` within which an answer comes, yes or no")
	flagSet.StringVar(&o.reason, "why", "", "`TEXT` for others: why")
	flagSet.StringVar(&o.by, "by", "", "`NAME` of who says so; the user's if left out")
	flagSet.DurationVar(&o.duration, "for", 0,
		"`TIME` after which a word ends by itself; left out: when it is cleared")
	flagSet.BoolVar(&o.slots, "slots", false, "the bound is for places in each second")
	flagSet.BoolVar(&o.stale, "stale", false,
		"list and show: what any voter has, however old, where no quorum answers")
	return flagSet
}

// parseAnywhere parses flags before, between and behind the words, and returns the words.
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
	fmt.Fprint(out, "olivearch promises asks the ledger of promises (docs/operate/promises.md).\n\nUsage:\n")
	for _, command := range promisesCommands {
		for _, usage := range command.usage {
			fmt.Fprintf(out, "  olivearch promises %-29s %s\n", command.name+" "+usage.arguments, usage.summary)
		}
	}
	fmt.Fprint(out, "\nFlags:\n")
	flagSet.SetOutput(out)
	flagSet.PrintDefaults()
}

// promisesCommandNames lists the subcommands in a sentence.
func promisesCommandNames() string {
	names := make([]string, 0, len(promisesCommands))
	for _, command := range promisesCommands {
		names = append(names, command.name)
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}

// findPromisesCommand returns the subcommand that the words name, if it takes that many arguments.
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

// currentUser is the user's name, for the record of who set an override.
func currentUser() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "staff"
}
