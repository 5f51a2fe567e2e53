package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"olivearch/balancer"
	"olivearch/internal/route"
)

// contentOf returns the content of a configuration as a text, for comparison.
func contentOf(c *Loaded) string {
	var b strings.Builder
	write := func(x ...any) {
		for _, x := range x {
			text, err := json.Marshal(x)
			if err != nil {
				panic(err)
			}
			b.Write(append(text, ' '))
		}
		b.WriteByte('\n')
	}
	f := c.File
	f.Pools = nil
	write(f)
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		write(c.Class(name))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		s := c.Settings(name)
		s.Tenants = nil
		write(name, c.Pools[name], s)
	}
	byRuleName := func(x, y *route.Rule) int { return strings.Compare(x.Name, y.Name) }
	for _, r := range slices.SortedFunc(c.Table.Rules(), byRuleName) {
		rule := *r
		rule.To = 0
		write(rule, c.Targets[r.To])
	}
	byTenantName := func(x, y balancer.Tenant) int { return strings.Compare(x.Name, y.Name) }
	for _, t := range slices.SortedFunc(c.Tenants.All(), byTenantName) {
		write(t)
	}
	return b.String()
}

// firstDifference returns the first line in which the contents of two configurations differ.
func firstDifference(x, y *Loaded) string {
	if y == nil {
		return "no configuration"
	}
	a, b := strings.Split(contentOf(x), "\n"), strings.Split(contentOf(y), "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("\n%s\nnot\n%s", a[i], b[i])
		}
	}
	return fmt.Sprintf("%d lines, not %d", len(a), len(b))
}

// checkSamePools fails if two configurations differ in the pools or their settings, except for the tenants.
func checkSamePools(t *testing.T, before, after *Loaded) {
	t.Helper()
	if len(before.Pools) != len(after.Pools) {
		t.Fatalf("%d pools, %d before", len(after.Pools), len(before.Pools))
	}
	for name := range before.Pools {
		was, is := before.Settings(name), after.Settings(name)
		was.Tenants, is.Tenants = nil, nil
		if !reflect.DeepEqual(was, is) || !reflect.DeepEqual(before.Pools[name], after.Pools[name]) {
			t.Fatalf("the settings of pool %s differ:\n%+v\n%+v", name, was, is)
		}
	}
}

// reparsed is the result of parseChanges, or else of parseInSections.
type reparsed struct {
	next      *Loaded // nil if the whole text has to be parsed
	byChanges bool    // next was made by parseChanges
	diagnosed bool    // an error was found without parsing the whole text
}

// checkAgainstWhole fails unless parseChanges and parseInSections give the result of parseWhole, or none.
func checkAgainstWhole(t *testing.T, before *Loaded, text string) reparsed {
	t.Helper()
	const path = "/c/c.yaml"
	want, wantErr := parseWhole(path, []byte(text))
	inSections, _ := parseInSections(path, []byte(text), 0)
	if inSections != nil && (wantErr != nil || contentOf(inSections) != contentOf(want)) {
		t.Fatalf("parseInSections and parseWhole (%v) differ: %s\n%s",
			wantErr, firstDifference(inSections, want), text)
	}
	changed, invalid, diagnosis := before.parseChanges(path, []byte(text))
	if diagnosis != nil && (wantErr == nil || diagnosis.Error() != wantErr.Error()) {
		t.Fatalf("parseChanges and parseWhole have different errors:\n%v\nnot\n%v\n%s\n--- from\n%s",
			diagnosis, wantErr, text, before.source.text)
	}
	if changed == nil {
		if invalid && wantErr == nil {
			t.Logf("parseChanges reports a valid text as invalid, so that it is parsed as a whole:\n%s", text)
		}
		return reparsed{next: inSections, diagnosed: diagnosis != nil}
	}
	if wantErr != nil || contentOf(changed) != contentOf(want) {
		t.Fatalf("parseChanges and parseWhole (%v) differ: %s\n%s\n--- from\n%s",
			wantErr, firstDifference(changed, want), text, before.source.text)
	}
	if changed.HasSamePoolSettings(before) {
		checkSamePools(t, before, changed)
	}
	return reparsed{next: changed, byChanges: true, diagnosed: diagnosis != nil}
}
