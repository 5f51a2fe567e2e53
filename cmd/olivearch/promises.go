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
	"net/netip"
	"os"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/disk"
)

const promisesUsage = `olivearch promises asks the ledger of promises (docs/operate/promises.md).

Usage:
  olivearch promises list                          what staff have said, bounds, leases and slots
  olivearch promises show TARGET                   what is said of one: an upstream's id, zone/NAME, pool/NAME
  olivearch promises set out TARGET                take it out for all balancers
  olivearch promises set cap ID N                  a balancer has at most N attempts out there
  olivearch promises set share ID PARTS            thousandths of its usual share, 1 to 1000
  olivearch promises clear out|cap|share TARGET    take that back
  olivearch promises bound NAME LIMIT              a bound for leases (with --slots: for places in each second); 0 removes it
  olivearch promises members                       the voters, as each of them sees it
  olivearch promises members add NAME=ADDRESS      let a voter of that name join
  olivearch promises members remove NAME           take a voter out, once the others can do without
  olivearch promises replace NAME                  its machine has gone for good: an empty one need not wait
  olivearch promises snapshot FILE                 write what staff have said, and the bounds, to a file
  olivearch promises restore FILE                  say it all anew, to an empty ledger

Flags:
`

// ledgerCall is what a command of promises works with.
type ledgerCall struct {
	voters, file, why, by string
	within, hold          time.Duration
	slots, stale          bool
	args                  []string
	caller                *client.Client
	out                   io.Writer
}

// promises asks the ledger, or tells it something.
func promises(args []string, out io.Writer) error {
	c := ledgerCall{out: out}
	f := flag.NewFlagSet("promises", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.StringVar(&c.voters, "voters", os.Getenv("OLIVEARCH_VOTERS"), "`NAME=ADDRESS,...` of the voters; OLIVEARCH_VOTERS if left out")
	f.StringVar(&c.file, "config", "", "a `FILE` that names the voters: one of a voter, of promises, or of serve")
	f.DurationVar(&c.within, "within", 2*time.Second, "`TIME` within which an answer comes, yes or no")
	f.StringVar(&c.why, "why", "", "`TEXT` for others: why")
	f.StringVar(&c.by, "by", "", "`NAME` of who says so; the user's if left out")
	f.DurationVar(&c.hold, "for", 0, "`TIME` after which a word ends by itself; left out: when it is cleared")
	f.BoolVar(&c.slots, "slots", false, "the bound is for places in each second")
	f.BoolVar(&c.stale, "stale", false, "list and show: what any voter has, however old, where no quorum answers")
	if err := parseAnywhere(f, args, &c.args); errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(out, promisesUsage)
		f.SetOutput(out)
		f.PrintDefaults()
		return nil
	} else if err != nil {
		return fmt.Errorf("%w: promises: %v", errUsage, err)
	}
	if len(c.args) == 0 {
		return fmt.Errorf("%w: promises wants a command: list, show, set, clear, bound, members, replace, snapshot or restore", errUsage)
	}
	voters, err := c.addresses()
	if err != nil {
		return err
	}
	if c.by == "" {
		c.by = "staff"
		if u, err := user.Current(); err == nil {
			c.by = u.Username
		}
	}
	c.caller = client.New(c.by, voters)
	defer c.caller.Close()
	run := map[string]struct {
		least, most int // further words
		do          func(ctx context.Context, words []string) error
	}{
		"list": {0, 0, c.list}, "show": {1, 1, c.show}, "set": {2, 3, c.set}, "clear": {2, 2, c.clear}, "bound": {2, 2, c.bound}, "members": {0, 2, c.members},
		"replace": {1, 1, c.replace}, "snapshot": {1, 1, c.snapshot}, "restore": {1, 1, c.restore},
	}
	command, ok := run[c.args[0]]
	words := c.args[1:]
	if !ok || len(words) < command.least || len(words) > command.most {
		return fmt.Errorf("%w: promises does not know %q; \"olivearch promises --help\" lists what it knows", errUsage, strings.Join(c.args, " "))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.within)
	defer cancel()
	return command.do(ctx, words)
}

// parseAnywhere takes flags before, between and behind the words.
func parseAnywhere(f *flag.FlagSet, args []string, words *[]string) error {
	for len(args) > 0 {
		if err := f.Parse(args); err != nil {
			return err
		}
		if args = f.Args(); len(args) > 0 {
			*words, args = append(*words, args[0]), args[1:]
		}
	}
	return nil
}

// addresses are the voters', from a flag or a file.
func (c *ledgerCall) addresses() (map[string]string, error) {
	if c.file != "" {
		return votersOf(c.file)
	}
	voters := map[string]string{}
	for _, one := range strings.FieldsFunc(c.voters, func(r rune) bool { return r == ',' }) {
		name, address, ok := strings.Cut(one, "=")
		if _, err := netip.ParseAddrPort(address); !ok || err != nil {
			return nil, fmt.Errorf("%w: --voters: %q is not NAME=ADDRESS, such as k1=127.0.0.1:7101", errUsage, one)
		}
		voters[name] = address
	}
	if len(voters) == 0 {
		return nil, fmt.Errorf("%w: which voters? --voters k1=127.0.0.1:7101,... or --config FILE", errUsage)
	}
	return voters, nil
}

// votersOf reads the voters from a file of any of the three kinds. Of the errors that of the kind which the file seems to be is told.
func votersOf(path string) (map[string]string, error) {
	v, err := config.LoadVoter(path)
	if err == nil {
		return v.Voters, nil
	}
	if p, err2 := config.LoadPromises(path); err2 == nil {
		return p.Voters, nil
	}
	if s, err3 := config.Load(path); err3 == nil {
		if s.Promises == nil {
			return nil, fmt.Errorf("%s: it has no promises: it names no voters", path)
		}
		return s.Promises.Voters, nil
	}
	return nil, err
}

// state is what is held, by a quorum's word, or with --stale by the voter's that has come furthest.
func (c *ledgerCall) state(ctx context.Context) (*state.State, string, error) {
	s, a, err := c.caller.Read(ctx)
	if err == nil {
		return s, fmt.Sprintf("held by the ledger, revision %d", a.Index), nil
	}
	if !c.stale {
		return nil, "", fmt.Errorf("%w (--stale shows what a voter has, however old)", err)
	}
	var best *state.State
	note, index := "", uint64(0)
	for _, voter := range c.caller.Voters() {
		one, cancel := context.WithTimeout(context.Background(), time.Second)
		s, a, err := c.caller.ReadLocal(one, voter)
		cancel()
		if err == nil && (best == nil || a.Index > index) {
			best, index = s, a.Index
			note = fmt.Sprintf("STALE: what %s has, revision %d, last confirmed %v ago", voter, a.Index, a.Age.Round(time.Second))
		}
	}
	if best == nil {
		return nil, "", err
	}
	return best, note, nil
}

func (c *ledgerCall) list(ctx context.Context, _ []string) error {
	s, note, err := c.state(ctx)
	if err != nil {
		return err
	}
	return c.print(s, note, s.Overrides(), true)
}

func (c *ledgerCall) show(ctx context.Context, words []string) error {
	scope, target, err := state.ParseTarget(words[0])
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	s, note, err := c.state(ctx)
	if err != nil {
		return err
	}
	of := slices.DeleteFunc(s.Overrides(), func(w state.Override) bool { return w.Scope != scope || w.Target != target })
	return c.print(s, note, of, false)
}

// print prints words, and bounds where they are wanted.
func (c *ledgerCall) print(s *state.State, note string, words []state.Override, bounds bool) error {
	fmt.Fprintf(c.out, "%s; %d of %d bytes\n", note, s.UsedBytes(), int64(state.MaxBytes))
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "what\ttarget\tvalue\tby\twhen\tuntil\twhy")
	for _, w := range words {
		value, until := "", "cleared"
		if w.Kind != state.OutOfService {
			value = strconv.FormatInt(w.Value, 10)
		}
		if w.Until > 0 {
			until = "in " + (time.Duration(w.Until-min(w.Until, s.Clock())) * time.Millisecond).Round(time.Second).String()
		}
		fmt.Fprintf(t, "%s\t%s/%s\t%s\t%s\t%s\t%s\t%s\n", w.Kind, w.Scope, w.Target, value, w.By, time.UnixMilli(w.At).Format(time.DateTime), until, w.Reason)
	}
	if bounds {
		for _, b := range s.Resources() {
			kind := "leases"
			if b.Slots {
				kind = "slots"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t\t\t\t\n", kind, b.Name, b.Limit)
			for _, l := range b.Leases() {
				fmt.Fprintf(t, "  lease\t%s\t%d\t%s\t\tin %v\tfence %d\n", b.Name, l.Units, l.Holder, time.Duration(l.Until-min(l.Until, s.Clock()))*time.Millisecond, l.FencingToken)
			}
		}
	}
	return t.Flush()
}

// propose asks for a promise and prints what came of it.
func (c *ledgerCall) propose(ctx context.Context, command state.Command) error {
	a, err := c.caller.Propose(ctx, command)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "held by %d of %d voters, revision %d\n", a.Stored, a.Voters, a.Result.Revision)
	return err
}

// subject reads a kind and a target.
func subject(kind, target string) (s state.Subject, err error) {
	if s.Kind, err = state.ParseKind(kind); err == nil {
		s.Scope, s.Target, err = state.ParseTarget(target)
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	return s, err
}

func (c *ledgerCall) set(ctx context.Context, words []string) error {
	s, err := subject(words[0], words[1])
	if err != nil {
		return err
	}
	word := &state.SetOverride{Subject: s, By: c.by, Reason: c.why, At: time.Now().UnixMilli(), Duration: c.hold}
	if (s.Kind == state.OutOfService) != (len(words) == 2) {
		return fmt.Errorf("%w: out takes a target alone; cap and share take a number behind it", errUsage)
	}
	if s.Kind != state.OutOfService {
		if word.Value, err = strconv.ParseInt(words[2], 10, 64); err != nil {
			return fmt.Errorf("%w: %q is no number", errUsage, words[2])
		}
	}
	return c.propose(ctx, word)
}

func (c *ledgerCall) clear(ctx context.Context, words []string) error {
	s, err := subject(words[0], words[1])
	if err != nil {
		return err
	}
	return c.propose(ctx, &state.ClearOverride{Subject: s, By: c.by})
}

func (c *ledgerCall) bound(ctx context.Context, words []string) error {
	limit, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return fmt.Errorf("%w: %q is no number", errUsage, words[1])
	}
	return c.propose(ctx, &state.SetResource{Name: words[0], Slots: c.slots, Limit: limit})
}

func (c *ledgerCall) members(ctx context.Context, words []string) error {
	switch {
	case len(words) == 0:
		return c.voterTable()
	case len(words) == 2 && words[0] == "add":
		name, address, ok := strings.Cut(words[1], "=")
		if _, err := netip.ParseAddrPort(address); !ok || err != nil {
			return fmt.Errorf("%w: %q is not NAME=ADDRESS, such as k4=127.0.0.1:7104", errUsage, words[1])
		}
		return c.propose(ctx, &state.AddVoter{Name: name, Address: address})
	case len(words) == 2 && words[0] == "remove":
		return c.propose(ctx, &state.RemoveVoter{Name: words[1]})
	}
	return fmt.Errorf("%w: members, members add NAME=ADDRESS or members remove NAME", errUsage)
}

// voterTable prints what each voter says of itself, and what the leader says of all.
func (c *ledgerCall) voterTable() error {
	t := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "voter\tmember\trole\tleader\tterm\tapplied\tconfirmed\tdisk ms\tfollowers\tnote")
	reached := 0
	var leader *client.VoterStatus
	for _, name := range c.caller.Voters() {
		s, err := c.status(name)
		if err != nil {
			fmt.Fprintf(t, "%s\t\tNOT REACHED\t\t\t\t\t\t\t%v\n", name, err)
			continue
		}
		reached++
		if s.Role == "leader" {
			leader = s
		}
		age := "never"
		if s.AgeMS < int64(24*time.Hour/time.Millisecond) {
			age = fmt.Sprintf("%v ago", time.Duration(s.AgeMS)*time.Millisecond)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%.1f\t%d\t%s\n", s.Name, s.ID, s.Role, s.Leader, s.Term, s.Applied, age, s.DiskMS, s.Followers, cmp.Or(s.Fault, s.LastRejected))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	switch {
	case reached == 0:
		return fmt.Errorf("%w: no voter was reached", client.ErrNobody)
	case leader == nil:
		fmt.Fprintln(c.out, "NO VOTER LEADS: what is held stays, and no new promise is given")
		return nil
	}
	fmt.Fprintf(c.out, "cluster %s: %d of %d bytes, level %d; promises: %v\n", leader.Cluster, leader.UsedBytes, leader.MaxBytes, leader.FeatureLevel, leader.Grants)
	for _, m := range leader.Members {
		note := fmt.Sprintf("heard %v ago, %d entries behind", time.Duration(m.LastContactMS)*time.Millisecond, m.EntriesBehind)
		if m.LastContactMS < 0 {
			note = "NEVER HEARD by this leader"
		}
		if m.Learner {
			note += ", being brought up to date: no vote yet"
		}
		fmt.Fprintf(c.out, "  %s (%s): %s\n", m.Name, m.ID, note)
	}
	for _, n := range leader.JoiningVoters {
		fmt.Fprintf(c.out, "  %s (%s) wants to join: %s\n", n.Name, n.ID, n.Reason)
	}
	return nil
}

func (c *ledgerCall) status(voter string) (*client.VoterStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(c.within, time.Second))
	defer cancel()
	a, err := c.caller.Call(ctx, voter, client.Request{Operation: client.OpStatus})
	if err != nil {
		return nil, err
	}
	s := &client.VoterStatus{}
	return s, json.Unmarshal(a.Body, s)
}

func (c *ledgerCall) replace(ctx context.Context, words []string) error {
	if err := c.caller.DeclareLost(ctx, words[0]); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "the next voter named %s with an empty folder takes its place; \"olivearch promises members\" shows how far it has come\n", words[0])
	return err
}

// maxSnapshot bounds a snapshot's file, in bytes.
const maxSnapshot = 64 << 20

func (c *ledgerCall) snapshot(ctx context.Context, words []string) error {
	s, note, err := c.state(ctx)
	if err != nil {
		return err
	}
	if err := disk.Replace(words[0], s.Encode()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s: %d words, %d bounds (%s). Leases and slots are not in it: they end by themselves\n", words[0], len(s.Overrides()), len(s.Resources()), note)
	return err
}

// restore says anew what a snapshot holds. A ledger that holds words already is left alone: which of two words is the later can't be told.
func (c *ledgerCall) restore(ctx context.Context, words []string) error {
	text, err := disk.Read(words[0], maxSnapshot)
	if err != nil {
		return err
	}
	kept, err := state.DecodeState(text)
	if err != nil {
		return fmt.Errorf("%s: %w", words[0], err)
	}
	now, _, err := c.caller.Read(ctx)
	if err != nil {
		return err
	}
	if n := len(now.Overrides()); n > 0 {
		return fmt.Errorf("the ledger holds %d words already: a snapshot is restored to an empty one", n)
	}
	var commands []state.Command
	for _, b := range kept.Resources() {
		commands = append(commands, &state.SetResource{Name: b.Name, Slots: b.Slots, Limit: b.Limit})
	}
	for _, w := range kept.Overrides() {
		left := time.Duration(0)
		if w.Until > 0 {
			left = time.Duration(max(1, w.Until-min(w.Until, kept.Clock()))) * time.Millisecond
		}
		commands = append(commands, &state.SetOverride{Subject: w.Subject, Value: w.Value, By: w.By, Reason: w.Reason, At: w.At, Duration: left})
	}
	for i, command := range commands {
		one, cancel := context.WithTimeout(context.Background(), c.within)
		_, err := c.caller.Propose(one, command)
		cancel()
		if err != nil {
			return fmt.Errorf("%d of %d are held, then: %w", i, len(commands), err)
		}
	}
	_, err = fmt.Fprintf(c.out, "%d words and %d bounds are held again\n", len(kept.Overrides()), len(kept.Resources()))
	return err
}

// checkPromises tells what is wrong with a file of promises, and what comes of it.
func checkPromises(p *config.Promises, out io.Writer) {
	names := slices.Sorted(maps.Keys(p.Voters))
	fmt.Fprintf(out, "  promises: follows %s\n", strings.Join(names, ", "))
	if len(names) == 2 {
		fmt.Fprintln(out, "  promises: two voters hold nothing that one would not: if either is lost, no promise can be given")
	}
	if p.Copy == "" {
		fmt.Fprintln(out, "  promises: no copy is kept, so a start while no voter can be reached knows of no word of staff's")
	}
}
