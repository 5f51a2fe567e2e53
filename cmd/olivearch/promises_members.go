package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

const (
	// statusTimeout bounds the wait for one server's status.
	statusTimeout = time.Second
	// longestAge is the longest age that is printed as a duration; a longer one is printed as never.
	longestAge = 24 * time.Hour
)

// members prints the cluster's members, or adds or removes one.
func (c *promisesCall) members(ctx context.Context, args []string) error {
	switch {
	case len(args) == 0:
		return c.printMembers()
	case len(args) == 2 && args[0] == "add":
		name, address, ok := parseVoter(args[1])
		if !ok {
			return fmt.Errorf("%w: %q is not NAME=ADDRESS, such as k4=127.0.0.1:7104", errUsage, args[1])
		}
		return c.propose(ctx, &state.AddVoter{Name: name, Address: address})
	case len(args) == 2 && args[0] == "remove":
		return c.propose(ctx, &state.RemoveVoter{Name: args[1]})
	}
	return fmt.Errorf("%w: members, members add NAME=ADDRESS or members remove NAME", errUsage)
}

// replace declares that a voter's machine is lost for good.
func (c *promisesCall) replace(ctx context.Context, args []string) error {
	if err := c.client.DeclareLost(ctx, args[0]); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.out, "the next voter named %s with an empty folder takes its place; "+
		"\"olivearch promises members\" shows how far it has come\n", args[0])
	return err
}

// printMembers prints each server's own status, and how the leader sees the members.
func (c *promisesCall) printMembers() error {
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "voter\tmember\trole\tleader\tterm\tapplied\tconfirmed\tdisk ms\tfollowers\tnote")
	reached := 0
	var leader *client.ServerStatus
	for _, server := range c.client.Voters() {
		status, err := c.status(server)
		if err != nil {
			fmt.Fprintf(table, "%s\t\tNOT REACHED\t\t\t\t\t\t\t%v\n", server, err)
			continue
		}
		reached++
		if status.Role == "leader" {
			leader = status
		}
		printStatusRow(table, status)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if reached == 0 {
		return fmt.Errorf("%w: no voter was reached", client.ErrNotAttempted)
	}
	if leader == nil {
		fmt.Fprintln(c.out, "NO VOTER LEADS: what is held stays, and no new promise is given")
		return nil
	}
	printLeaderView(c.out, leader)
	return nil
}

// status reads one server's status.
func (c *promisesCall) status(server string) (*client.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), min(c.within, statusTimeout))
	defer cancel()
	response, err := c.client.Call(ctx, server, client.Request{Operation: client.OpStatus})
	if err != nil {
		return nil, err
	}
	status := &client.ServerStatus{}
	return status, json.Unmarshal(response.Body, status)
}

func printStatusRow(table io.Writer, status *client.ServerStatus) {
	confirmed := "never"
	if status.AgeMS < longestAge.Milliseconds() {
		confirmed = fmt.Sprintf("%v ago", milliseconds(status.AgeMS))
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%.1f\t%d\t%s\n",
		status.Name, status.ID, status.Role, status.Leader, status.Term, status.Applied, confirmed,
		status.DiskMS, status.Followers, cmp.Or(status.Fault, status.LastRejected))
}

// printLeaderView prints what the leader knows of the cluster, its members and the joining voters.
func printLeaderView(out io.Writer, leader *client.ServerStatus) {
	fmt.Fprintf(out, "cluster %s: %d of %d bytes, level %d; promises: %s\n",
		leader.Cluster, leader.UsedBytes, leader.MaxBytes, leader.FeatureLevel, formatCounts(leader.Grants))
	for _, member := range leader.Members {
		note := fmt.Sprintf("heard %v ago, %d entries behind", milliseconds(member.LastContactMS), member.EntriesBehind)
		if member.LastContactMS < 0 {
			note = "NEVER HEARD by this leader"
		}
		if member.Learner {
			note += ", being brought up to date: no vote yet"
		}
		fmt.Fprintf(out, "  %s (%s): %s\n", member.Name, member.ID, note)
	}
	for _, joining := range leader.JoiningVoters {
		fmt.Fprintf(out, "  %s (%s) wants to join: %s\n", joining.Name, joining.ID, joining.Reason)
	}
}

// formatCounts formats counts, sorted by kind, in the form "2 out, 1 share". If there are no kinds it returns "none".
func formatCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[kind], kind))
	}
	return strings.Join(parts, ", ")
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
