package route

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// random returns a rule of a few hosts and paths, so that many meet.
func random(rng *rand.Rand, name string) Rule {
	pick := func(n int) string { return string(rune('a' + rng.IntN(n))) }
	r := Rule{Name: name, Kind: PathKind(rng.IntN(3)), Path: "/", Pools: []WeightedPool{{name, 1}}, To: rng.IntN(100)}
	for range rng.IntN(3) {
		r.Hosts = append(r.Hosts, []string{"x.org", "y.org", "*.org", "*.x.org"}[rng.IntN(4)])
	}
	if slices.Sort(r.Hosts); len(r.Hosts) == 2 && r.Hosts[0] == r.Hosts[1] {
		r.Hosts = r.Hosts[:1]
	}
	if depth := rng.IntN(4); depth > 0 {
		r.Path = ""
		for i := range depth {
			if r.Kind == Pattern && rng.IntN(2) == 0 {
				r.Path += "/{" + pick(3) + "}"
			} else {
				r.Path += "/" + pick([]int{20, 3, 2}[i])
			}
		}
	}
	if rng.IntN(3) == 0 {
		r.Methods = []string{[]string{"GET", "PUT"}[rng.IntN(2)]}
	}
	if rng.IntN(4) == 0 {
		r.Class = pick(2)
	}
	return r
}

func asked(rng *rand.Rand) *Query {
	q := &Query{Host: []string{"x.org", "y.org", "a.x.org", "z"}[rng.IntN(4)], Path: "/", Method: []string{"GET", "PUT"}[rng.IntN(2)], Class: []string{"", "a", "b"}[rng.IntN(3)], Fields: query("GET h /").Fields}
	if depth := rng.IntN(4); depth > 0 {
		q.Path = ""
		for i := range depth {
			q.Path += "/" + string(rune('a'+rng.IntN([]int{20, 3, 2}[i])))
		}
	}
	return q
}

// TestWithIsBuild: a table that comes of many changes finds what one built at once finds and refuses what that refuses; those
// it came of stay as they are.
func TestWithIsBuild(t *testing.T) {
	rng := rand.New(rand.NewPCG(36, 3))
	rules := map[string]Rule{}
	table, errs := Build(nil)
	if errs != nil {
		t.Fatal(errs)
	}
	var old *Table
	var oldRules map[string]Rule
	refused := 0
	same := func(table *Table, rules map[string]Rule) {
		t.Helper()
		fresh, errs := Build(slices.Collect(maps.Values(rules)))
		if errs != nil || table.Len() != len(rules) || len(slices.Collect(table.Rules())) != len(rules) {
			t.Fatalf("%v, %d rules, want %d", errs, table.Len(), len(rules))
		}
		for range 100 {
			q := asked(rng)
			x, y := table.Lookup(q), fresh.Lookup(q)
			if (x == nil) != (y == nil) || x != nil && (x.Name != y.Name || x.To != y.To || table.Rule(x.Name) != x) {
				t.Fatalf("%+v finds %+v, built at once %+v", q, x, y)
			}
		}
	}
	for i := range 500 {
		next := maps.Clone(rules)
		var gone []string
		var added []Rule
		for range rng.IntN(3) {
			name := fmt.Sprint(rng.IntN(80))
			delete(next, name)
			gone = append(gone, name)
		}
		for range rng.IntN(3) {
			name := fmt.Sprint(rng.IntN(80))
			if _, there := next[name]; there {
				continue
			}
			r := random(rng, name)
			next[name], added = r, append(added, r)
		}
		changed, errs := table.With(gone, added)
		if _, want := Build(slices.Collect(maps.Values(next))); (errs == nil) != (want == nil) {
			t.Fatalf("change %d: %v, built at once %v", i, errs, want)
		}
		if errs != nil {
			if tie := (Conflict{}); !errors.As(errs[0], &tie) {
				t.Fatal(errs)
			}
			refused++
			same(table, rules)
			continue
		}
		if i%10 == 0 {
			if old != nil {
				same(old, oldRules)
			}
			old, oldRules = table, rules
		}
		table, rules = changed, next
		same(table, rules)
	}
	if refused < 20 || len(rules) < 20 {
		t.Errorf("%d refused, %d rules at the end: the comparison shows little", refused, len(rules))
	}
	var all []string
	for name := range rules {
		all = append(all, name)
	}
	if table, _ = table.With(all, nil); len(table.exactHosts)+len(table.suffixHosts)+len(table.rules) > 0 || table.anyHost != nil {
		t.Errorf("something is left of an emptied table: %+v", table)
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
				r := rules[i%n]
				if _, errs := table.With([]string{r.Name}, []Rule{r}); errs != nil {
					b.Fatal(errs)
				}
			}
		})
	}
}
