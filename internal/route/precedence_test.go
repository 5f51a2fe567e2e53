package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// oneOf returns a random one of the choices.
func oneOf[T any](rng *rand.Rand, choices ...T) T { return choices[rng.IntN(len(choices))] }

// randomScanRule returns a random rule for TestLookupAgainstScan.
func randomScanRule(rng *rand.Rand, name string) Rule {
	rule := Rule{Name: name, Kind: PathKind(rng.IntN(3)), Pools: onlyPool()}
	if host := oneOf(rng, "a.x", "b.x", "*.x", "*.a.x", ""); host != "" {
		rule.Hosts = []string{host}
	}
	segments := []string{"p", "q"}
	if rule.Kind == Pattern {
		segments = append(segments, "{n}")
	}
	for range rng.IntN(4) {
		rule.Path += "/" + oneOf(rng, segments...)
	}
	if rule.Path == "" {
		rule.Path = "/"
	}
	if rng.IntN(3) == 0 {
		rule.Methods = []string{"GET"}
	}
	if rng.IntN(3) == 0 {
		rule.Class = "c"
	}
	return rule
}

// randomScanQuery returns a random query for TestLookupAgainstScan.
func randomScanQuery(rng *rand.Rand) *Query {
	query := &Query{
		Host:   oneOf(rng, "a.x", "b.x", "c.a.x", "z"),
		Method: oneOf(rng, "GET", "POST"),
		Class:  oneOf(rng, "", "c"),
	}
	for range rng.IntN(4) {
		query.Path += "/" + oneOf(rng, "p", "q", "r")
	}
	if query.Path == "" {
		query.Path = "/"
	}
	return query
}

// withoutTies returns random rules without ties between them.
func withoutTies(rng *rand.Rand) []Rule {
	var rules []Rule
	for i := range 40 {
		rule := randomScanRule(rng, fmt.Sprint(i))
		if _, errs := Build(append(slices.Clone(rules), rule)); errs == nil {
			rules = append(rules, rule)
		}
	}
	return rules
}

func nameOf(rule *Rule) string {
	if rule == nil {
		return "no rule"
	}
	return rule.Name
}

// TestLookupAgainstScan compares lookups in random tables with a linear scan of all rules by the documented precedence.
func TestLookupAgainstScan(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	found := 0
	for round := range 300 {
		rules := withoutTies(rng)
		table, errs := Build(rules)
		if errs != nil {
			t.Fatal(errs)
		}
		for range 200 {
			query := randomScanQuery(rng)
			want := scan(rules, query)
			got := table.Lookup(query)
			if got != nil {
				found++
			}
			if nameOf(got) != nameOf(want) {
				t.Fatalf("round %d: %+v: got %+v, want %+v", round, query, got, want)
			}
		}
	}
	if found < 10000 {
		t.Errorf("only %d lookups found a rule, too few for a comparison", found)
	}
}

// scan returns the rule for a query by comparing the ranks of all rules.
func scan(rules []Rule, query *Query) *Rule {
	var best *Rule
	var bestRank []int
	for i := range rules {
		rank := rankOf(&rules[i], query)
		if rank != nil && (best == nil || slices.Compare(rank, bestRank) > 0) {
			best = &rules[i]
			bestRank = rank
		}
	}
	return best
}

// maxSegments is greater than the number of segments of any path in this test.
const maxSegments = 8

// rankOf returns the criteria of precedence of a rule as numbers, the most significant first; nil if the rule doesn't
// match.
func rankOf(rule *Rule, query *Query) []int {
	host, ok := hostRank(rule, query)
	if !ok {
		return nil
	}
	path, ok := pathRank(rule, query)
	if !ok || !rule.matches(query) {
		return nil
	}
	rank := []int{host, 2 - int(rule.Kind)}
	rank = append(rank, path...)
	for len(rank) < 2+maxSegments {
		rank = append(rank, 0)
	}
	return append(rank, rule.methodRank(), rule.fieldRank())
}

func hostRank(rule *Rule, query *Query) (rank int, ok bool) {
	if len(rule.Hosts) == 0 {
		return 0, true
	}
	suffix, isSuffix := strings.CutPrefix(rule.Hosts[0], "*")
	if isSuffix {
		return len(suffix), strings.HasSuffix(query.Host, suffix)
	}
	return 1000, rule.Hosts[0] == query.Host
}

// pathRank returns 1 for each literal segment of the rule's path and 0 for each parameter.
func pathRank(rule *Rule, query *Query) (rank []int, ok bool) {
	have := strings.Split(query.Path[1:], "/")
	want := strings.Split(rule.Path[1:], "/")
	if rule.Path == "/" && rule.Kind == Prefix {
		want = nil
	}
	if len(have) < len(want) || (len(have) > len(want) && rule.Kind != Prefix) {
		return nil, false
	}
	for i, segment := range want {
		switch {
		case segment == "{n}" && rule.Kind == Pattern:
			if have[i] == "" {
				return nil, false
			}
			rank = append(rank, 0)
		case segment == have[i]:
			rank = append(rank, 1)
		default:
			return nil, false
		}
	}
	return rank, true
}
