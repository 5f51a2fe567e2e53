package route

import (
	"errors"
	"testing"
)

func TestTiesNameBothRules(t *testing.T) {
	header := func(name, value string) []Header { return []Header{{name, value}} }
	exact := func(methods ...string) Rule { return Rule{Kind: Exact, Path: "/a", Methods: methods} }
	withHeader := func(name, value string) Rule {
		return Rule{Kind: Exact, Path: "/a", Headers: header(name, value)}
	}
	onHosts := func(hosts ...string) Rule { return Rule{Kind: Exact, Path: "/a", Hosts: hosts} }
	for _, c := range []struct {
		name          string
		first, second Rule
		ties          bool
	}{
		{"same prefix", Rule{Kind: Prefix, Path: "/a"}, Rule{Kind: Prefix, Path: "/a/"}, true},
		{"same shape", Rule{Kind: Pattern, Path: "/a/{x}"}, Rule{Kind: Pattern, Path: "/a/{y}"}, true},
		{"methods overlap", exact("GET", "HEAD"), exact("HEAD"), true},
		{"methods differ", exact("GET"), exact("HEAD"), false},
		{"one names a method", exact("GET"), exact(), false},
		{"different fields", withHeader("X", "1"), withHeader("Y", "1"), true},
		{"field against class", withHeader("X", "1"), Rule{Kind: Exact, Path: "/a", Class: "c"}, true},
		{"values differ", withHeader("x", "1"), withHeader("X", "2"), false},
		{"kinds differ", exact(), Rule{Kind: Prefix, Path: "/a"}, false},
		{"one host in common", onHosts("h", "i"), onHosts("I"), true},
		{"host against suffix", onHosts("h.i"), onHosts("*.i"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.first.Name = "one"
			c.first.Pools = onlyPool()
			c.second.Name = "two"
			c.second.Pools = onlyPool()
			_, errs := Build([]Rule{c.first, c.second})
			var conflict ConflictError
			got := len(errs) == 1 && errors.As(errs[0], &conflict)
			if got != c.ties {
				t.Fatalf("%v, want a tie: %v", errs, c.ties)
			}
			if got && (conflict.First != "one" || conflict.Second != "two") {
				t.Errorf("%v names %q and %q", errs, conflict.First, conflict.Second)
			}
		})
	}
}

func TestInvalidRules(t *testing.T) {
	for _, rule := range []Rule{
		{Path: "x"},
		{Path: ""},
		{Path: "/a//b"},
		{Path: "/a/../b"},
		{Path: "/%61"},
		{Path: "/a?b"},
		{Path: "http://h/a"},
		{Path: "/{x}", Kind: Prefix},
		{Path: "/a{x}", Kind: Pattern},
		{Path: "/{}", Kind: Pattern},
		{Path: "/{{x}}", Kind: Pattern},
		{Path: "/", Hosts: []string{""}},
		{Path: "/", Hosts: []string{"a:80"}},
		{Path: "/", Hosts: []string{"*.*.x"}},
		{Path: "/", Hosts: []string{"a..b"}},
		{Path: "/", Pools: []WeightedPool{}},
		{Path: "/", Pools: []WeightedPool{{"p", -1}}},
		{Path: "/", Pools: []WeightedPool{{"p", 0}}},
	} {
		if rule.Pools == nil {
			rule.Pools = onlyPool()
		}
		if _, errs := Build([]Rule{rule}); len(errs) != 1 {
			t.Errorf("%+v: %v, want one error", rule, errs)
		}
	}
}

func TestChooseFollowsWeightsAndIsSticky(t *testing.T) {
	split := func(oldWeight, newWeight int) *Rule {
		pools := []WeightedPool{{"old", oldWeight}, {"new", newWeight}}
		return build(t, Rule{Name: "r", Path: "/", Kind: Prefix, Pools: pools}).Lookup(parseQuery("GET h /"))
	}
	tenth := split(90, 10)
	fifth := split(80, 20)
	const keys = 20000
	moved := 0
	toNew := 0
	for key := range uint64(keys) {
		before := tenth.Choose(key)
		after := fifth.Choose(key)
		if tenth.Choose(key) != before {
			t.Fatal("the same key got two different pools")
		}
		if before == "new" {
			toNew++
			if after != "new" {
				t.Fatal("a key moved to the old pool while the new pool's weight grew")
			}
		}
		if before != after {
			moved++
		}
	}
	const want = keys / 10
	if toNew < want*9/10 || toNew > want*11/10 || moved > want*11/10 {
		t.Errorf("%d of %d keys on the new pool, %d moved by a tenth more weight; want a tenth for both", toNew, keys, moved)
	}
	none := split(0, 1)
	for key := range uint64(1000) {
		if none.Choose(key) == "old" {
			t.Fatal("a pool of weight 0 got a request")
		}
	}
}
