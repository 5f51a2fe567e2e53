package route

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// letter returns a random one of the first n letters.
func letter(rng *rand.Rand, n int) string { return string(rune('a' + rng.IntN(n))) }

// lettersAtDepth is the number of different letters for each segment of a path. The root gets enough edges for a map.
var lettersAtDepth = []int{20, 3, 2}

// randomRule returns a rule with one of few hosts and paths, so that many rules overlap.
func randomRule(rng *rand.Rand, name string) Rule {
	rule := Rule{
		Name:  name,
		Kind:  PathKind(rng.IntN(3)),
		Path:  "/",
		Pools: []WeightedPool{{name, 1}},
		To:    rng.IntN(100),
	}
	for range rng.IntN(3) {
		rule.Hosts = append(rule.Hosts, oneOf(rng, "x.org", "y.org", "*.org", "*.x.org"))
	}
	slices.Sort(rule.Hosts)
	rule.Hosts = slices.Compact(rule.Hosts)
	if depth := rng.IntN(4); depth > 0 {
		rule.Path = ""
		for _, letters := range lettersAtDepth[:depth] {
			if rule.Kind == Pattern && rng.IntN(2) == 0 {
				rule.Path += "/{" + letter(rng, 3) + "}"
			} else {
				rule.Path += "/" + letter(rng, letters)
			}
		}
	}
	if rng.IntN(3) == 0 {
		rule.Methods = []string{oneOf(rng, "GET", "PUT")}
	}
	if rng.IntN(4) == 0 {
		rule.Class = letter(rng, 2)
	}
	return rule
}

// randomQuery returns a query that rules of randomRule may match.
func randomQuery(rng *rand.Rand) *Query {
	query := &Query{
		Host:   oneOf(rng, "x.org", "y.org", "a.x.org", "z"),
		Path:   "/",
		Method: oneOf(rng, "GET", "PUT"),
		Class:  oneOf(rng, "", "a", "b"),
		Fields: parseQuery("GET h /").Fields,
	}
	if depth := rng.IntN(4); depth > 0 {
		query.Path = ""
		for _, letters := range lettersAtDepth[:depth] {
			query.Path += "/" + letter(rng, letters)
		}
	}
	return query
}

// version is a table with the rules that it should have, by name.
type version struct {
	table *Table
	rules map[string]Rule
}

// checkEqualsBuilt compares a table that results from changes with a table that Build makes from the same rules.
func (v version) checkEqualsBuilt(t *testing.T, rng *rand.Rand) {
	t.Helper()
	built, errs := Build(slices.Collect(maps.Values(v.rules)))
	if errs != nil {
		t.Fatal(errs)
	}
	if v.table.Len() != len(v.rules) || len(slices.Collect(v.table.Rules())) != len(v.rules) {
		t.Fatalf("%d rules, want %d", v.table.Len(), len(v.rules))
	}
	for range 100 {
		query := randomQuery(rng)
		got := v.table.Lookup(query)
		want := built.Lookup(query)
		if nameOf(got) != nameOf(want) {
			t.Fatalf("%+v finds %+v, built at once %+v", query, got, want)
		}
		if got != nil && (got.To != want.To || v.table.Rule(got.Name) != got) {
			t.Fatalf("%+v finds %+v, built at once %+v", query, got, want)
		}
	}
}

// change is a change of the rules of a version.
type change struct {
	removed []string
	added   []Rule
	rules   map[string]Rule // the rules after the change
}

func randomChange(rng *rand.Rand, rules map[string]Rule) change {
	c := change{rules: maps.Clone(rules)}
	for range rng.IntN(3) {
		name := fmt.Sprint(rng.IntN(80))
		delete(c.rules, name)
		c.removed = append(c.removed, name)
	}
	for range rng.IntN(3) {
		name := fmt.Sprint(rng.IntN(80))
		if _, exists := c.rules[name]; exists {
			continue
		}
		rule := randomRule(rng, name)
		c.rules[name] = rule
		c.added = append(c.added, rule)
	}
	return c
}

// apply returns the next version and whether the change was accepted. It fails unless Build accepts the resulting rules
// too, or rejects them too. Only ties may be rejected.
func (v version) apply(t *testing.T, c change) (next version, accepted bool) {
	t.Helper()
	table, errs := v.table.With(c.removed, c.added)
	_, buildErrs := Build(slices.Collect(maps.Values(c.rules)))
	if (errs == nil) != (buildErrs == nil) {
		t.Fatalf("With: %v, Build: %v", errs, buildErrs)
	}
	if errs == nil {
		return version{table: table, rules: c.rules}, true
	}
	var conflict ConflictError
	if !errors.As(errs[0], &conflict) {
		t.Fatal(errs)
	}
	return v, false
}

// TestWithMatchesBuild: a table that results from many changes is equivalent to a table that Build makes from the same
// rules, and rejects the same rules. The tables before the changes stay as they are.
func TestWithMatchesBuild(t *testing.T) {
	rng := rand.New(rand.NewPCG(36, 3))
	empty, errs := Build(nil)
	if errs != nil {
		t.Fatal(errs)
	}
	current := version{table: empty, rules: map[string]Rule{}}
	earlier := current
	rejected := 0
	for i := range 500 {
		next, accepted := current.apply(t, randomChange(rng, current.rules))
		if !accepted {
			rejected++
		}
		if i%10 == 0 {
			earlier.checkEqualsBuilt(t, rng)
			earlier = current
		}
		current = next
		current.checkEqualsBuilt(t, rng)
	}
	if rejected < 20 || len(current.rules) < 20 {
		t.Errorf("only %d changes rejected and %d rules at the end, too few for a comparison", rejected, len(current.rules))
	}
	emptied, _ := current.table.With(slices.Collect(maps.Keys(current.rules)), nil)
	left := len(emptied.exactHosts) + len(emptied.suffixHosts) + len(emptied.rules)
	if left > 0 || emptied.anyHost != nil {
		t.Errorf("a table without rules is not empty: %+v", emptied)
	}
}

func BenchmarkWith(b *testing.B) {
	for _, n := range []int{10, 15000} {
		var rules []Rule
		for i := range n {
			rules = append(rules, Rule{
				Name: fmt.Sprintf("route-%05d", i), Hosts: []string{fmt.Sprintf("s%03d.example.org", i%490)}, Kind: Prefix,
				Path: fmt.Sprintf("/r%05d", i), Pools: []WeightedPool{{fmt.Sprintf("pool-%03d", i%490), 1}},
			})
		}
		table, errs := Build(rules)
		if errs != nil {
			b.Fatal(errs)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				rule := rules[i%n]
				if _, errs := table.With([]string{rule.Name}, []Rule{rule}); errs != nil {
					b.Fatal(errs)
				}
			}
		})
	}
}
