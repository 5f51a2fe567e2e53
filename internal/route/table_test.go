package route

import (
	"fmt"
	"strings"
	"testing"

	"olivearch/internal/http1"
)

// onlyPool returns the pools of rules whose pools don't matter.
func onlyPool() []WeightedPool { return []WeightedPool{{Pool: "p", Weight: 1}} }

// build returns a table of rules. Rules without pools get onlyPool.
func build(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	for i := range rules {
		if rules[i].Pools == nil {
			rules[i].Pools = onlyPool()
		}
	}
	table, errs := Build(rules)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return table
}

// parseQuery parses a query in the form "METHOD host path [class] [Name=value]...".
func parseQuery(text string) *Query {
	words := strings.Fields(text)
	query := &Query{Method: words[0], Host: words[1], Path: words[2]}
	var fields http1.Fields
	for _, word := range words[3:] {
		if name, value, isField := strings.Cut(word, "="); isField {
			fields.Add(name, value)
		} else {
			query.Class = word
		}
	}
	query.Fields = fields
	return query
}

func TestPrecedence(t *testing.T) {
	checkin := []string{"checkin.plano.example.org"}
	kiosk := []Header{{"x-kiosk", "1"}}
	table := build(t,
		Rule{Name: "root", Kind: Prefix, Path: "/"},
		Rule{Name: "star", Hosts: []string{"*.example.org"}, Kind: Prefix, Path: "/"},
		Rule{Name: "star-long", Hosts: []string{"*.plano.example.org"}, Kind: Prefix, Path: "/maps"},
		Rule{Name: "host", Hosts: []string{"CheckIn.plano.example.org."}, Kind: Prefix, Path: "/checkin/"},
		Rule{Name: "host-deep", Hosts: checkin, Kind: Prefix, Path: "/checkin/bulk"},
		Rule{Name: "host-post", Hosts: checkin, Kind: Prefix, Path: "/checkin", Methods: []string{"POST"}},
		Rule{Name: "host-field", Hosts: checkin, Kind: Prefix, Path: "/checkin", Headers: kiosk},
		Rule{
			Name: "host-class", Hosts: checkin, Kind: Prefix, Path: "/checkin",
			Headers: []Header{{"X-Kiosk", "1"}}, Class: "checkin",
		},
		Rule{Name: "exact", Hosts: []string{"a"}, Kind: Exact, Path: "/flights/list"},
		Rule{Name: "pattern", Hosts: []string{"a"}, Kind: Pattern, Path: "/flights/{id}"},
		Rule{Name: "pattern-left", Hosts: []string{"a"}, Kind: Pattern, Path: "/flights/{id}/gate/{n}"},
		Rule{Name: "pattern-literal", Hosts: []string{"a"}, Kind: Pattern, Path: "/flights/next/{what}/{n}"},
		Rule{Name: "prefix", Hosts: []string{"a"}, Kind: Prefix, Path: "/flights"},
		Rule{Name: "prefix-longer", Hosts: []string{"a"}, Kind: Prefix, Path: "/flights/list"},
		Rule{Name: "slash", Hosts: []string{"a"}, Kind: Exact, Path: "/"},
		Rule{Name: "six", Hosts: []string{"[::1]"}, Kind: Prefix, Path: "/"},
	)
	for _, c := range []struct{ query, want string }{
		{"GET x /", "root"},
		{"GET b.example.org /maps", "star"},
		{"GET example.org /", "root"}, // the star stands for at least one label
		{"GET bexample.org /", "root"},
		{"GET maps.plano.example.org /maps/1", "star-long"},
		{"GET maps.plano.example.org /mapsy", "star"}, // prefixes match whole segments, so the shorter suffix wins
		{"GET checkin.plano.example.org /checkin", "host"},
		{"GET checkin.plano.example.org /checkin/", "host"},
		{"POST checkin.plano.example.org /checkin/bulk/1", "host-deep"}, // the path takes precedence over the method
		{"POST checkin.plano.example.org /checkin X-Kiosk=1", "host-post"},
		{"GET checkin.plano.example.org /checkin X-Kiosk=1", "host-field"},
		{"GET checkin.plano.example.org /checkin checkin X-Kiosk=1", "host-class"},
		{"GET checkin.plano.example.org /checkin X-Kiosk=1 X-Kiosk=2", "host"},
		{"GET checkin.plano.example.org /maps", "star-long"}, // no rule of the exact host matches
		{"GET a /flights/list", "exact"},
		{"GET a /flights/7", "pattern"},
		{"GET a /flights/", "prefix"}, // a parameter is never empty
		{"GET a /flights/7/gate/2", "pattern-left"},
		{"GET a /flights/next/gate/2", "pattern-literal"},
		{"GET a /flights/list/2", "prefix-longer"},
		{"GET a /", "slash"},
		{"GET [::1] /x", "six"},
	} {
		rule := table.Lookup(parseQuery(c.query))
		if rule == nil || rule.Name != c.want {
			t.Errorf("%s: %+v, want %s", c.query, rule, c.want)
		}
	}
	single := build(t, Rule{Name: "n", Hosts: []string{"a"}, Kind: Exact, Path: "/x"})
	if rule := single.Lookup(parseQuery("GET a /y")); rule != nil {
		t.Errorf("no rule matches, got %q", rule.Name)
	}
}

// manyRules returns a table of n rules, and queries that each match one of them.
func manyRules(t testing.TB, n int) (*Table, []*Query) {
	t.Helper()
	var rules []Rule
	for i := range n {
		rules = append(rules, Rule{
			Name: fmt.Sprint(i), Hosts: []string{fmt.Sprintf("h%d.example.org", i%97)}, Kind: PathKind(i % 3),
			Path: fmt.Sprintf("/service/%d/x", i), Methods: []string{"GET"},
		})
	}
	table := build(t, rules...)
	var queries []*Query
	for i := range min(n, 1024) {
		service := i * 7919 % n
		queries = append(queries, parseQuery(fmt.Sprintf("GET h%d.example.org /service/%d/x", service%97, service)))
	}
	return table, queries
}

func TestLookupDoesNotAllocate(t *testing.T) {
	table, queries := manyRules(t, 1000)
	allocations := testing.AllocsPerRun(100, func() {
		for _, query := range queries {
			if table.Lookup(query) == nil {
				t.Fatal(query)
			}
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, queries := manyRules(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Lookup(queries[i%len(queries)]) == nil {
					b.Fatal("none")
				}
			}
		})
	}
}
