package main

import (
	"context"
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/disk"
)

// maxSnapshot bounds the file of a snapshot that is restored, in bytes.
const maxSnapshot = 64 << 20

// snapshot writes the overrides and resources to a file.
func (c *promisesCall) snapshot(ctx context.Context, args []string) error {
	path := args[0]
	current, note, err := c.readState(ctx)
	if err != nil {
		return err
	}
	if err := disk.Replace(path, current.Encode()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s: %d words, %d bounds (%s). Leases and slots are not in it: they end by themselves\n",
		path, len(current.Overrides()), len(current.Resources()), note)
	return err
}

// restore proposes the overrides and resources of a snapshot. It requires a cluster without overrides, since it can't
// tell which of two overrides of the same subject is the later one.
func (c *promisesCall) restore(ctx context.Context, args []string) error {
	path := args[0]
	encoded, err := disk.Read(path, maxSnapshot)
	if err != nil {
		return err
	}
	stored, err := state.DecodeState(encoded)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	current, _, err := c.client.Read(ctx)
	if err != nil {
		return err
	}
	if present := len(current.Overrides()); present > 0 {
		return fmt.Errorf("the cluster has %d overrides: a snapshot is only restored to a cluster without any", present)
	}
	commands := restoreCommands(stored)
	for i, command := range commands {
		if err := c.proposeWithin(command); err != nil {
			return fmt.Errorf("restored %d of %d overrides and resources, then failed: %w", i, len(commands), err)
		}
	}
	_, err = fmt.Fprintf(c.out, "%d words and %d bounds are held again\n",
		len(stored.Overrides()), len(stored.Resources()))
	return err
}

// restoreCommands returns the commands that set a snapshot's resources and overrides. An override of limited duration
// gets the time that it had left when the snapshot was written.
func restoreCommands(stored *state.State) []state.Command {
	var commands []state.Command
	for _, resource := range stored.Resources() {
		commands = append(commands, &state.SetResource{
			Name: resource.Name, PerSecond: resource.PerSecond, Limit: resource.Limit,
		})
	}
	for _, override := range stored.Overrides() {
		left := time.Duration(0)
		if override.Until > 0 {
			left = time.Duration(max(1, override.Until-min(override.Until, stored.Clock()))) * time.Millisecond
		}
		commands = append(commands, &state.SetOverride{
			Subject: override.Subject, Value: override.Value, By: override.By, Reason: override.Reason,
			At: override.At, Duration: left,
		})
	}
	return commands
}

// proposeWithin proposes a command with a time limit of its own.
func (c *promisesCall) proposeWithin(command state.Command) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.within)
	defer cancel()
	_, err := c.client.Propose(ctx, command)
	return err
}
