package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"olivearch/internal/http1"
)

func to(pool string) []WeightedPool { return []WeightedPool{{pool, 1}} }

func build(t testing.TB, rules ...Rule) *Table {
	t.Helper()
	for i := range rules {
		if rules[i].Pools == nil {
			rules[i].Pools = to("p")
		}
	}
	table, errs := Build(rules)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	return table
}

// query reads "METHOD host path [class] [Name=value]".
func query(text string) *Query {
	f := strings.Fields(text)
	q := &Query{Method: f[0], Host: f[1], Path: f[2]}
	var fields http1.Fields
	for _, x := range f[3:] {
		if name, value, ok := strings.Cut(x, "="); ok {
			fields.Add(name, value)
		} else {
			q.Class = x
		}
	}
	q.Fields = fields
	return q
}

func TestPrecedence(t *testing.T) {
	table := build(t,
		Rule{Name: "root", Kind: Prefix, Path: "/"},
		Rule{Name: "star", Hosts: []string{"*.example.org"}, Kind: Prefix, Path: "/"},
		Rule{Name: "star-long", Hosts: []string{"*.plano.example.org"}, Kind: Prefix, Path: "/maps"},
		Rule{Name: "host", Hosts: []string{"CheckIn.plano.example.org."}, Kind: Prefix, Path: "/checkin/"},
		Rule{Name: "host-deep", Hosts: []string{"checkin.plano.example.org"}, Kind: Prefix, Path: "/checkin/bulk"},
		Rule{Name: "host-post", Hosts: []string{"checkin.plano.example.org"}, Kind: Prefix, Path: "/checkin", Methods: []string{"POST"}},
		Rule{Name: "host-field", Hosts: []string{"checkin.plano.example.org"}, Kind: Prefix, Path: "/checkin", Headers: []Header{{"x-kiosk", "1"}}},
		Rule{Name: "host-class", Hosts: []string{"checkin.plano.example.org"}, Kind: Prefix, Path: "/checkin", Headers: []Header{{"X-Kiosk", "1"}}, Class: "checkin"},
		Rule{Name: "exact", Hosts: []string{"a"}, Kind: Exact, Path: "/flights/list"},
		Rule{Name: "pattern", Hosts: []string{"a"}, Kind: Pattern, Path: "/flights/{id}"},
		Rule{Name: "pattern-left", Hosts: []string{"a"}, Kind: Pattern, Path: "/flights/{id}/gate/{n}"},
		Rule{Name: "pattern-literal", Hosts: []string{"a"}, Kind: Pattern, Path: "/flights/next/{what}/{n}"},
		Rule{Name: "prefix", Hosts: []string{"a"}, Kind: Prefix, Path: "/flights"},
		Rule{Name: "prefix-longer", Hosts: []string{"a"}, Kind: Prefix, Path: "/flights/list"},
		Rule{Name: "slash", Hosts: []string{"a"}, Kind: Exact, Path: "/"},
		Rule{Name: "six", Hosts: []string{"[::1]"}, Kind: Prefix, Path: "/"},
	)
	for _, c := range []struct{ ask, want string }{
		{"GET x /", "root"},
		{"GET b.example.org /maps", "star"},
		{"GET example.org /", "root"}, // a suffix is of whole labels, one at least
		{"GET bexample.org /", "root"},
		{"GET maps.plano.example.org /maps/1", "star-long"},
		{"GET maps.plano.example.org /mapsy", "star"}, // prefixes are of whole segments; then the shorter suffix
		{"GET checkin.plano.example.org /checkin", "host"},
		{"GET checkin.plano.example.org /checkin/", "host"},
		{"POST checkin.plano.example.org /checkin/bulk/1", "host-deep"}, // path before method
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
		r := table.Lookup(query(c.ask))
		if r == nil || r.Name != c.want {
			t.Errorf("%s: %+v, want %s", c.ask, r, c.want)
		}
	}
	if r := build(t, Rule{Name: "n", Hosts: []string{"a"}, Kind: Exact, Path: "/x"}).Lookup(query("GET a /y")); r != nil {
		t.Errorf("no rule fits, got %q", r.Name)
	}
}

func TestTiesNameBothRules(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b Rule
		ties bool
	}{
		{"same prefix", Rule{Kind: Prefix, Path: "/a"}, Rule{Kind: Prefix, Path: "/a/"}, true},
		{"same shape", Rule{Kind: Pattern, Path: "/a/{x}"}, Rule{Kind: Pattern, Path: "/a/{y}"}, true},
		{"methods meet", Rule{Kind: Exact, Path: "/a", Methods: []string{"GET", "HEAD"}}, Rule{Kind: Exact, Path: "/a", Methods: []string{"HEAD"}}, true},
		{"methods differ", Rule{Kind: Exact, Path: "/a", Methods: []string{"GET"}}, Rule{Kind: Exact, Path: "/a", Methods: []string{"HEAD"}}, false},
		{"one names a method", Rule{Kind: Exact, Path: "/a", Methods: []string{"GET"}}, Rule{Kind: Exact, Path: "/a"}, false},
		{"fields can both be there", Rule{Kind: Exact, Path: "/a", Headers: []Header{{"X", "1"}}}, Rule{Kind: Exact, Path: "/a", Headers: []Header{{"Y", "1"}}}, true},
		{"field against class", Rule{Kind: Exact, Path: "/a", Headers: []Header{{"X", "1"}}}, Rule{Kind: Exact, Path: "/a", Class: "c"}, true},
		{"values differ", Rule{Kind: Exact, Path: "/a", Headers: []Header{{"x", "1"}}}, Rule{Kind: Exact, Path: "/a", Headers: []Header{{"X", "2"}}}, false},
		{"kinds differ", Rule{Kind: Exact, Path: "/a"}, Rule{Kind: Prefix, Path: "/a"}, false},
		{"one host in common", Rule{Kind: Exact, Path: "/a", Hosts: []string{"h", "i"}}, Rule{Kind: Exact, Path: "/a", Hosts: []string{"I"}}, true},
		{"host against suffix", Rule{Kind: Exact, Path: "/a", Hosts: []string{"h.i"}}, Rule{Kind: Exact, Path: "/a", Hosts: []string{"*.i"}}, false},
	} {
		c.a.Name, c.b.Name, c.a.Pools, c.b.Pools = "one", "two", to("p"), to("p")
		_, errs := Build([]Rule{c.a, c.b})
		var conflict Conflict
		if got := len(errs) == 1 && errors.As(errs[0], &conflict); got != c.ties || (got && (conflict.First != "one" || conflict.Second != "two")) {
			t.Errorf("%s: %v, want a tie: %v", c.name, errs, c.ties)
		}
	}
}

func TestBadRules(t *testing.T) {
	for _, r := range []Rule{
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
		if r.Pools == nil {
			r.Pools = to("p")
		}
		if _, errs := Build([]Rule{r}); len(errs) != 1 {
			t.Errorf("%+v: %v, want one error", r, errs)
		}
	}
}

func TestChooseFollowsWeightsAndSticks(t *testing.T) {
	even := build(t, Rule{Name: "r", Path: "/", Kind: Prefix, Pools: []WeightedPool{{"old", 90}, {"new", 10}}}).Lookup(query("GET h /"))
	more := build(t, Rule{Name: "r", Path: "/", Kind: Prefix, Pools: []WeightedPool{{"old", 80}, {"new", 20}}}).Lookup(query("GET h /"))
	const n = 20000
	moved, fresh := 0, 0
	for i := range uint64(n) {
		a, b := even.Choose(i), more.Choose(i)
		if even.Choose(i) != a {
			t.Fatal("one key, two pools")
		}
		if a == "new" {
			fresh++
			if b != "new" {
				t.Fatal("a key went back while the new pool's weight grew")
			}
		}
		if a != b {
			moved++
		}
	}
	if fresh < n/10*9/10 || fresh > n/10*11/10 || moved > n/10*11/10 {
		t.Errorf("%d of %d to the new pool, want a tenth; %d moved with a tenth more, want as many", fresh, n, moved)
	}
	none := build(t, Rule{Name: "r", Path: "/", Kind: Prefix, Pools: []WeightedPool{{"old", 0}, {"new", 1}}}).Lookup(query("GET h /"))
	for i := range uint64(1000) {
		if none.Choose(i) == "old" {
			t.Fatal("weight 0 got a request")
		}
	}
}

func TestHost(t *testing.T) {
	for text, want := range map[string]string{
		"Maps.Plano.example.ORG:8080": "maps.plano.example.org", "a.": "a", "127.0.0.1:1": "127.0.0.1",
		"[::0001]:80": "[::1]", "[2001:DB8::1]": "[2001:db8::1]", "a_b-c": "a_b-c",
		"": "", ":80": "", "a:b": "", "a:123456": "", "user@a": "", "a b": "", "a..b": "", ".a": "", "ü": "", "[::1": "", "[1.2.3.4]": "",
		"[::1]x": "", "a/b": "", "a%2eb": "", strings.Repeat("a", 64): "", strings.Repeat("a.", 127) + "a": "",
	} {
		got, err := Host(text)
		if got != want || (err == nil) != (want != "") || (err != nil && !errors.Is(err, ErrAmbiguous)) {
			t.Errorf("%q: %q, %v, want %q", text, got, err, want)
		}
	}
}

func TestTarget(t *testing.T) {
	for text, want := range map[string]string{
		"/a/b?x=%2f..//": "/a/b?x=%2f..//", "/a//b///": "/a/b/", "/%61/%7e": "/a/~", "/a/%2e%2E/b": "/b", "/a/./b/.": "/a/b/",
		"/a/..": "/", "/.well-known/x": "/.well-known/x", "/a%c3%a9": "/a%C3%A9", "/a;v=1": "/a;v=1", "//a/b": "/a/b", "/...": "/...",
		"http://H:80/a/../b?q": "h|/b?q", "HTTP://h": "h|/", "http://h?q": "h|/?q", "/": "/", "/a/%3Bx": "/a/%3Bx",
		"/a%2fb": "", "/a%5Cb": "", "/a\\b": "", "/%00": "", "/a%0a": "", "/%": "", "/%4": "", "/%zz": "", "/..": "", "/a/../../b": "",
		"/%2e%2e/x": "", "/a/..;/b": "", "/a/.;x/b": "", "*": "", "": "", "a": "", "a:443": "", "https://h/a": "", "http://u@h/": "", "/a b": "",
		"/a#b": "", "http:///a": "", "http://a\\b/": "",
	} {
		got, err := ParseTarget(text)
		shown := got.String()
		if got.Host != "" {
			shown = got.Host + "|" + shown
		}
		if err != nil {
			shown = ""
		}
		if shown != want || (err != nil && !errors.Is(err, ErrAmbiguous)) {
			t.Errorf("%q: %q, %v, want %q", text, shown, err, want)
		}
	}
}

// FuzzTarget: the reading is a fixed point, and holds nothing that a server could read as another path.
func FuzzTarget(f *testing.F) {
	for _, s := range []string{"/a/%2e%2e//b?c", "http://H/%41", "/..;/", "/%25%32%65", "//", "/a/.."} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		target, err := ParseTarget(text)
		if err != nil {
			return
		}
		again, err := ParseTarget(target.String())
		if err != nil || again.Path != target.Path || again.Query != target.Query {
			t.Fatalf("%q reads as %q, and that as %q, %v", text, target, again, err)
		}
		for _, wrong := range []string{"//", "/./", "/../", "\\", "%2F", "%2f", "%5C", "%00", "/..;"} {
			if strings.Contains(target.Path, wrong) {
				t.Errorf("%q reads as %q", text, target.Path)
			}
		}
		if strings.HasSuffix(target.Path, "/..") || strings.HasSuffix(target.Path, "/.") || target.Path[0] != '/' {
			t.Errorf("%q reads as %q", text, target.Path)
		}
	})
}

// FuzzHost: the reading is a fixed point that DNS could hold.
func FuzzHost(f *testing.F) {
	for _, s := range []string{"A.b:80", "[::1]:1", "a..", "[fe80::1%25x]"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		host, err := Host(text)
		if err != nil {
			return
		}
		if again, err := Host(host); again != host || err != nil {
			t.Fatalf("%q reads as %q, and that as %q, %v", text, host, again, err)
		}
		if host != strings.ToLower(host) || strings.ContainsAny(host, " /@%\\") || len(host) > maxHostLength {
			t.Errorf("%q reads as %q", text, host)
		}
	})
}

// TestLookupAgainstScan compares the table with a plain reading of the precedence rules on random tables.
func TestLookupAgainstScan(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	hosts, parts := []string{"a.x", "b.x", "*.x", "*.a.x", ""}, []string{"p", "q", "{n}"}
	asked := []string{"a.x", "b.x", "c.a.x", "z"}
	found := 0
	for round := range 300 {
		var rules []Rule
		for i := range 40 {
			r := Rule{Name: fmt.Sprint(i), Kind: PathKind(rng.IntN(3)), Pools: to("p")}
			if h := hosts[rng.IntN(len(hosts))]; h != "" {
				r.Hosts = []string{h}
			}
			limit := 2
			if r.Kind == Pattern {
				limit = 3
			}
			for range rng.IntN(4) {
				r.Path += "/" + parts[rng.IntN(limit)]
			}
			if r.Path == "" {
				r.Path = "/"
			}
			if rng.IntN(3) == 0 {
				r.Methods = []string{"GET"}
			}
			if rng.IntN(3) == 0 {
				r.Class = "c"
			}
			if _, errs := Build(append(slices.Clone(rules), r)); errs == nil {
				rules = append(rules, r)
			}
		}
		table, errs := Build(rules)
		if errs != nil {
			t.Fatal(errs)
		}
		for range 200 {
			q := &Query{Host: asked[rng.IntN(len(asked))], Method: []string{"GET", "POST"}[rng.IntN(2)], Class: []string{"", "c"}[rng.IntN(2)]}
			for range rng.IntN(4) {
				q.Path += "/" + []string{"p", "q", "r"}[rng.IntN(3)]
			}
			if q.Path == "" {
				q.Path = "/"
			}
			want, got := scan(rules, q), table.Lookup(q)
			if got != nil {
				found++
			}
			if (want == nil) != (got == nil) || (want != nil && want.Name != got.Name) {
				t.Fatalf("round %d: %+v: got %+v, want %+v", round, q, got, want)
			}
		}
	}
	if found < 10000 {
		t.Errorf("only %d lookups found a rule: the test shows little", found)
	}
}

// scan reads the precedence from the package comment, rule by rule.
func scan(rules []Rule, q *Query) *Rule {
	var best *Rule
	var rank []int
	for i := range rules {
		r := &rules[i]
		if mine := rankOf(r, q); mine != nil && (best == nil || slices.Compare(mine, rank) > 0) {
			best, rank = r, mine
		}
	}
	return best
}

func rankOf(r *Rule, q *Query) []int {
	host := 0
	if len(r.Hosts) == 1 {
		suffix, star := strings.CutPrefix(r.Hosts[0], "*")
		switch {
		case !star && r.Hosts[0] == q.Host:
			host = 1000
		case star && strings.HasSuffix(q.Host, suffix):
			host = len(suffix)
		default:
			return nil
		}
	}
	rank := []int{host, 2 - int(r.Kind)}
	have, want := strings.Split(q.Path[1:], "/"), strings.Split(r.Path[1:], "/")
	if r.Path == "/" && r.Kind == Prefix {
		want = nil
	}
	if len(have) < len(want) || (len(have) > len(want) && r.Kind != Prefix) {
		return nil
	}
	for i, w := range want {
		literal := 1
		if w == "{n}" && r.Kind == Pattern {
			literal = 0
			if have[i] == "" {
				return nil
			}
		} else if w != have[i] {
			return nil
		}
		rank = append(rank, literal)
	}
	for len(rank) < 10 {
		rank = append(rank, 0)
	}
	if !r.matches(q) {
		return nil
	}
	return append(rank, r.methodRank(), r.fieldRank())
}

func many(t testing.TB, n int) (*Table, []*Query) {
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
		at := i * 7919 % n
		queries = append(queries, query(fmt.Sprintf("GET h%d.example.org /service/%d/x", at%97, at)))
	}
	return table, queries
}

func TestLookupDoesNotAllocate(t *testing.T) {
	table, queries := many(t, 1000)
	if n := testing.AllocsPerRun(100, func() {
		for _, q := range queries {
			if table.Lookup(q) == nil {
				t.Fatal(q)
			}
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, queries := many(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if table.Lookup(queries[i%len(queries)]) == nil {
					b.Fatal("none")
				}
			}
		})
	}
}
