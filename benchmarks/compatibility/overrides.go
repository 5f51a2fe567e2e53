package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// untilCleared stands in the column "until" of an override without an end of its own.
const untilCleared = "cleared"

// errNoTable is returned for a list without the table that both versions print.
var errNoTable = errors.New("the list has no table of overrides")

// tableColumns are the columns of "olivearch promises list".
var tableColumns = []string{"what", "target", "value", "by", "when", "until", "why"}

// override is one line of that list.
type override struct {
	kind    string // or "leases" and "slots" for a resource's limit
	target  string
	value   string
	by      string
	expires bool // it ends by itself
	reason  string
}

// parseOverrides reads what "olivearch promises list" prints: a line about the cluster, a head and a line for each
// override, with columns that stand below those of the head.
func parseOverrides(text string) ([]override, error) {
	lines := strings.Split(strings.TrimRight(text, "\n"), "\n")
	if len(lines) < 2 {
		return nil, errNoTable
	}
	var offsets []int
	for _, name := range tableColumns {
		at := strings.Index(lines[1], name)
		if at < 0 {
			return nil, fmt.Errorf("%w: it has no column %q", errNoTable, name)
		}
		offsets = append(offsets, at)
	}
	var found []override
	for _, line := range lines[2:] {
		cells := splitColumns(line, offsets)
		until := cells[5]
		found = append(found, override{
			kind: cells[0], target: cells[1], value: cells[2], by: cells[3],
			expires: until != "" && until != untilCleared, reason: cells[6],
		})
	}
	sortOverrides(found)
	return found, nil
}

// splitColumns cuts a line at offsets and trims the cells.
func splitColumns(line string, offsets []int) []string {
	cells := make([]string, len(offsets))
	for index, offset := range offsets {
		end := len(line)
		if index+1 < len(offsets) {
			end = min(end, offsets[index+1])
		}
		if offset < end {
			cells[index] = strings.TrimSpace(line[offset:end])
		}
	}
	return cells
}

func sortOverrides(all []override) {
	slices.SortFunc(all, func(a, b override) int {
		return cmp.Or(strings.Compare(a.kind, b.kind), strings.Compare(a.target, b.target))
	})
}

// compareOverrides reports in what a list differs from what was set.
func compareOverrides(wanted, found []override) error {
	wanted = slices.Clone(wanted)
	sortOverrides(wanted)
	if slices.Equal(wanted, found) {
		return nil
	}
	return fmt.Errorf("%d overrides were set and %d are listed: %v, then %v", len(wanted), len(found), wanted, found)
}
