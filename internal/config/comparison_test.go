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

// contentOf returns all that a configuration says, in a form that can be compared.
func contentOf(c *Loaded) string {
	var b strings.Builder
	say := func(x ...any) {
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
	say(f)
	for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
		say(c.Class(name))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		s := c.Settings(name)
		s.Tenants = nil
		say(name, c.Pools[name], s)
	}
	byRuleName := func(x, y *route.Rule) int { return strings.Compare(x.Name, y.Name) }
	for _, r := range slices.SortedFunc(c.Table.Rules(), byRuleName) {
		rule := *r
		rule.To = 0
		say(rule, c.Targets[r.To])
	}
	byTenantName := func(x, y balancer.Tenant) int { return strings.Compare(x.Name, y.Name) }
	for _, t := range slices.SortedFunc(c.Tenants.All(), byTenantName) {
		say(t)
	}
	return b.String()
}

// firstDifference returns the first line in which two configurations differ.
func firstDifference(x, y *Loaded) string {
	if y == nil {
		return "a mistake"
	}
	a, b := strings.Split(contentOf(x), "\n"), strings.Split(contentOf(y), "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("\n%s\nnot\n%s", a[i], b[i])
		}
	}
	return fmt.Sprintf("%d lines, not %d", len(a), len(b))
}

// checkSamePools fails if pools are told something else by one configuration than by another that says they are not.
func checkSamePools(t *testing.T, before, after *Loaded) {
	t.Helper()
	if len(before.Pools) != len(after.Pools) {
		t.Fatalf("%d pools, %d before", len(after.Pools), len(before.Pools))
	}
	for name := range before.Pools {
		was, is := before.Settings(name), after.Settings(name)
		was.Tenants, is.Tenants = nil, nil
		if !reflect.DeepEqual(was, is) || !reflect.DeepEqual(before.Pools[name], after.Pools[name]) {
			t.Fatalf("pool %s is told something else:\n%+v\n%+v", name, was, is)
		}
	}
}

// reparsed is what came of a text in parseChanges and parseInSections.
type reparsed struct {
	next      *Loaded // nil if the whole has to be read
	byChanges bool    // next was made of what differs
	diagnosed bool    // a mistake was found without reading the whole
}

// checkAgainstWhole fails unless reading what differs, and reading in sections, give what reading the whole gives, or
// leave it to that.
func checkAgainstWhole(t *testing.T, before *Loaded, text string) reparsed {
	t.Helper()
	const path = "/c/c.yaml"
	want, wrong := parseWhole(path, []byte(text))
	inSections, _ := parseInSections(path, []byte(text), 0)
	if inSections != nil && (wrong != nil || contentOf(inSections) != contentOf(want)) {
		t.Fatalf("in sections another configuration than at once (%v): %s\n%s",
			wrong, firstDifference(inSections, want), text)
	}
	changed, mistaken, diagnosis := before.parseChanges(path, []byte(text))
	if diagnosis != nil && (wrong == nil || diagnosis.Error() != wrong.Error()) {
		t.Fatalf("by the difference another mistake than at once:\n%v\nnot\n%v\n%s\n--- from\n%s",
			diagnosis, wrong, text, before.source.text)
	}
	if changed == nil {
		if mistaken && wrong == nil {
			t.Logf("a mistake was seen where there is none, and the whole was read:\n%s", text)
		}
		return reparsed{next: inSections, diagnosed: diagnosis != nil}
	}
	if wrong != nil || contentOf(changed) != contentOf(want) {
		t.Fatalf("by the difference another configuration than at once (%v): %s\n%s\n--- from\n%s",
			wrong, firstDifference(changed, want), text, before.source.text)
	}
	if changed.SamePools(before) {
		checkSamePools(t, before, changed)
	}
	return reparsed{next: changed, byChanges: true, diagnosed: diagnosis != nil}
}
