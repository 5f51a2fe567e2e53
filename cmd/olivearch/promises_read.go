package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"olivearch/internal/coordination/state"
)

// localReadTimeout bounds the read of one server's copy.
const localReadTimeout = time.Second

// list prints all overrides, resources and leases.
func (c *promisesCall) list(ctx context.Context, _ []string) error {
	current, note, err := c.readState(ctx)
	if err != nil {
		return err
	}
	table := newGrantTable(c.out, current, note)
	table.addOverrides(current.Overrides())
	table.addResources(current.Resources())
	return table.writer.Flush()
}

// show prints the overrides of one target.
func (c *promisesCall) show(ctx context.Context, args []string) error {
	scope, target, err := state.ParseTarget(args[0])
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	current, note, err := c.readState(ctx)
	if err != nil {
		return err
	}
	overrides := slices.DeleteFunc(current.Overrides(), func(override state.Override) bool {
		return override.Scope != scope || override.Target != target
	})
	table := newGrantTable(c.out, current, note)
	table.addOverrides(overrides)
	return table.writer.Flush()
}

// readState returns the state that a quorum confirms. With --stale, if no quorum answers, it returns the copy of the
// server that has applied the most log entries. The note says where the state is from.
func (c *promisesCall) readState(ctx context.Context) (current *state.State, note string, err error) {
	current, response, err := c.client.Read(ctx)
	if err == nil {
		return current, fmt.Sprintf("held by the ledger, revision %d", response.Index), nil
	}
	if !c.stale {
		return nil, "", fmt.Errorf("%w (--stale shows the copy of a single voter, however old)", err)
	}
	latest, note := c.readLatestLocal()
	if latest == nil {
		return nil, "", err
	}
	return latest, note, nil
}

// readLatestLocal returns the copy of the server that has applied the most log entries, or nil if no server answers.
func (c *promisesCall) readLatestLocal() (latest *state.State, note string) {
	latestIndex := uint64(0)
	for _, server := range c.client.Voters() {
		ctx, cancel := context.WithTimeout(context.Background(), localReadTimeout)
		local, response, err := c.client.ReadLocal(ctx, server)
		cancel()
		if err != nil || latest != nil && response.Index <= latestIndex {
			continue
		}
		latest, latestIndex = local, response.Index
		note = fmt.Sprintf("STALE: what %s has, revision %d, last confirmed %v ago",
			server, response.Index, response.Age.Round(time.Second))
	}
	return latest, note
}

// grantTable prints grants as a table.
type grantTable struct {
	writer *tabwriter.Writer
	clock  uint64 // the cluster clock, in milliseconds
}

// newGrantTable prints the note and the size of the state, and begins the table.
func newGrantTable(out io.Writer, current *state.State, note string) *grantTable {
	fmt.Fprintf(out, "%s; %d of %d bytes\n", note, current.UsedBytes(), int64(state.MaxBytes))
	table := &grantTable{writer: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0), clock: current.Clock()}
	fmt.Fprintln(table.writer, "what\ttarget\tvalue\tby\twhen\tuntil\twhy")
	return table
}

func (t *grantTable) addOverrides(overrides []state.Override) {
	for _, override := range overrides {
		value, until := "", "cleared"
		if override.Kind != state.OutOfService {
			value = strconv.FormatInt(override.Value, 10)
		}
		if override.Until > 0 {
			until = "in " + t.timeLeft(override.Until).Round(time.Second).String()
		}
		setAt := time.UnixMilli(override.At).Format(time.DateTime)
		fmt.Fprintf(t.writer, "%s\t%s/%s\t%s\t%s\t%s\t%s\t%s\n",
			override.Kind, override.Scope, override.Target, value, override.By, setAt, until, override.Reason)
	}
}

// addResources prints resources, each with its leases.
func (t *grantTable) addResources(resources []*state.Resource) {
	for _, resource := range resources {
		kind := "leases"
		if resource.PerSecond {
			kind = "slots"
		}
		fmt.Fprintf(t.writer, "%s\t%s\t%d\t\t\t\t\n", kind, resource.Name, resource.Limit)
		for _, lease := range resource.Leases() {
			fmt.Fprintf(t.writer, "  lease\t%s\t%d\t%s\t\tin %v\tfence %d\n",
				resource.Name, lease.Units, lease.Holder, t.timeLeft(lease.Until), lease.FencingToken)
		}
	}
}

// timeLeft returns the time until a moment of the cluster clock, which is given in milliseconds; 0 if it has passed.
func (t *grantTable) timeLeft(until uint64) time.Duration {
	return time.Duration(until-min(until, t.clock)) * time.Millisecond
}
