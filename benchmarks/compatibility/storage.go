package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
)

// This file is about what one version has stored and the other reads: snapshot files, and the servers' folders.

// resourceKind is a resource's limit in a list of overrides.
const resourceKind = "leases"

// restoreFile writes a snapshot file by one version's command, clears all overrides and restores them by the other's.
func (r *clusterRun) restoreFile(ctx context.Context) error {
	path := filepath.Join(r.folder, "snapshot")
	if _, err := promises(ctx, r.copied.old, r.addresses(), "snapshot", path); err != nil {
		return err
	}
	held := r.set
	r.set = nil
	for _, entry := range held {
		if entry.kind == resourceKind {
			r.set = append(r.set, entry) // a resource stays: restoring it sets the same limit again
			continue
		}
		if err := r.change(ctx, r.copied.old, "clear", entry.kind, entry.target); err != nil {
			return err
		}
	}
	if err := r.seenByBoth(ctx); err != nil {
		return fmt.Errorf("after all overrides were cleared: %w", err)
	}
	r.set = held
	if _, err := promises(ctx, r.copied.next, r.addresses(), "restore", path); err != nil {
		return err
	}
	return r.seenByBoth(ctx)
}

// folderSizes finds how many overrides and resources a folder holds in the output of "show".
var folderSizes = regexp.MustCompile(`(?m)^(\d+) \w+, (\d+) \w+, \d+ bytes`)

// numbers finds all numbers in a text.
var numbers = regexp.MustCompile(`\d+`)

// errNoSizes is returned for an output of "show" without the sizes.
var errNoSizes = errors.New("the output does not say how much the folder holds")

// readFolders reads the stopped servers' folders by the programs of both versions. Their outputs must have the same
// figures, and as many overrides and resources as were set.
func (r *clusterRun) readFolders(ctx context.Context) error {
	overrides, resources := r.countSet()
	for _, server := range r.servers {
		var outputs []string
		for _, using := range r.bothVersions() {
			text, err := command(ctx, "", using.coordinator, "show", server.configPath)
			if err == nil {
				err = checkFolder(text, overrides, resources)
			}
			if err != nil {
				return fmt.Errorf("reading the folder of %s by the %s: %w", server.name, using.name, err)
			}
			outputs = append(outputs, text)
		}
		if !slices.Equal(numbers.FindAllString(outputs[0], -1), numbers.FindAllString(outputs[1], -1)) {
			return fmt.Errorf("the folder of %s is read as %q and as %q", server.name, outputs[0], outputs[1])
		}
	}
	return nil
}

// countSet counts the overrides and the resources that were set.
func (c *cluster) countSet() (overrides, resources int) {
	for _, entry := range c.set {
		if entry.kind == resourceKind {
			resources++
		}
	}
	return len(c.set) - resources, resources
}

// checkFolder compares the sizes in the output of "show" with what was set.
func checkFolder(text string, overrides, resources int) error {
	found := folderSizes.FindStringSubmatch(text)
	if found == nil {
		return fmt.Errorf("%w: %q", errNoSizes, text)
	}
	if found[1] != strconv.Itoa(overrides) || found[2] != strconv.Itoa(resources) {
		return fmt.Errorf("%d overrides and %d resources were set, and it holds %s and %s",
			overrides, resources, found[1], found[2])
	}
	return nil
}
