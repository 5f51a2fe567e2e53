package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/route"
	"olivearch/internal/strictyaml"
)

const smallConfig = `listeners: [{address: '127.0.0.1:0'}]
classes:
  c: {aim: 100ms, deadline: 1s}
  r: {repeat: safe, aim: 100ms, deadline: 2s}
pools:
  p: {nodes: {static: [{address: '127.0.0.1:9001'}]}}
  q: {nodes: {file: q.yaml}}
routes:
  - {name: one, path: {prefix: /one}, class: c, pool: p, deadline: 500ms}
  - {name: two, path: {prefix: /two}, class: r, pools: [{pool: p, weight: 1}, {pool: q, weight: 9}], deadline: 5s}
`

func TestDefaultsAreSafe(t *testing.T) {
	c, err := Parse("/etc/olivearch/c.yaml", []byte(smallConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Class("c").Idempotency != balancer.NonIdempotent {
		t.Error("the default of repeat is not unsafe")
	}
	if got := c.Targets[c.Table.Rule("two").To].Deadline; got != Duration(2*time.Second) {
		t.Errorf("the deadline of a route exceeds that of its class: %v", time.Duration(got))
	}
	if got := c.Pools["q"].Nodes.File; got != "/etc/olivearch/q.yaml" {
		t.Errorf("file %q", got)
	}
	if s := c.Settings("q"); len(s.Classes) != 1 || s.Classes[0].Name != "r" {
		t.Errorf("the settings of pool q have classes of no route to it: %+v", s.Classes)
	}
	if s := c.Settings("p"); len(s.Classes) != 2 || s.Limits.Hedging {
		t.Errorf("%+v", s)
	}
	if r := c.Table.Lookup(&route.Query{Host: "x", Path: "/two/x"}); r == nil || r.Name != "two" {
		t.Errorf("%+v", r)
	}
}

// TestShippedConfiguration: the configuration in deploy is valid, and the files of its endpoint lists exist.
func TestShippedConfiguration(t *testing.T) {
	folder := filepath.Join("..", "..", "deploy")
	c, err := Load(filepath.Join(folder, "services.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range c.Pools {
		if _, err := os.Stat(p.Nodes.File); err != nil {
			t.Error(err)
		}
	}
}

func TestErrorPositionsAndTexts(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"classes:", "clases:", `c.yaml:2:1: unknown key "clases"; did you mean "classes"?`},
		{"aim: 100ms, deadline: 1s", "aim: 100, deadline: 1s", `c.yaml:3:12: "100" is not a time with a unit`},
		{"aim: 100ms, deadline: 1s", "aim: 100ms, deadline: 50ms", "c.yaml:3:6: aim must be at least 10ms"},
		{"aim: 100ms, deadline: 1s", "aim: 100ms, deadline: 1s, repeat: sometimes", `c.yaml:3:41: "sometimes" is none of`},
		{"repeat: safe", "repeat: keyed", "a keyed class needs memory"},
		{"pool: p, deadline", "pool: pp, deadline", `c.yaml:9:55: there is no pool "pp"; did you mean "p"?`},
		{"class: c,", "class: d,", `c.yaml:9:46: there is no class "d"`},
		{"{prefix: /two}", "{prefix: /one/}", `c.yaml:10:5: routes "one" and "two" match the same requests`},
		{"{prefix: /two}", "{prefix: /two, exact: /two}", "at most one of"},
		{"{prefix: /two}", "{prefix: two}", `c.yaml:10:5: route "two": path "two" is not in canonical form`},
		{"name: two", "name: one", "a route needs a unique name; \"one\" is empty or already used"},
		{"127.0.0.1:9001", "localhost:9001", `c.yaml:6:34: "localhost:9001" is not an IP address`},
		{"{file: q.yaml}", "{file: q.yaml, discovery: '127.0.0.1:1'}", "exactly one of file, static and discovery"},
		{"{file: q.yaml}", "{file: q.yaml, keep: q.kept}", "keep applies only to discovery"},
		{"{file: q.yaml}", "{discovery: '127.0.0.1:1', keep: nowhere/q.kept}", "there is no folder"},
		{"{file: q.yaml}", "{discovery: '127.0.0.1:1', keep: q.kept}", ""},
		{"listeners:", "admin: {address: '0.0.0.0:81'}\nlisteners:", "can be reached by others"},
		{"listeners:", "limits: {descriptors: 100}\nlisteners:", ""}, // the default values fit
		{"listeners:", "limits: {memory: 32MiB}\nlisteners:", "c.yaml:1:18: pools may hold 512 requests"},
		{"{file: q.yaml}", "{file: q.yaml}, queue: 600", "a pool that stalls could use up the connections of others"},
		{"{file: q.yaml}", "{file: q.yaml}, connections: 2000", "c.yaml:1:1: listeners and pools may take"},
		{"{file: q.yaml}", "{file: q.yaml}, share: -1", "the share must be over 0"},
		{"routes:", "pools: {}\nroutes:", `"pools" stands here for a second time, first in line 5`},
		{"address: '127.0.0.1:0'", "address: 8080", `"8080" is not an IP address and a port`},
		{"[{address: '127.0.0.1:0'}]", "3", "c.yaml:1:12: a single value stands here; a list is wanted"},
		{"routes:", "routes: [", "c.yaml:"},
		{"weight: 9", "weight: x", `"x" is not a whole number`},
		{"weight: 9", "weight: -9", `weight -9 is out of range`},
		{"deadline: 5s", "deadline: 5s, methods: [get]", `"get" is not a method`},
		{"deadline: 5s", "deadline: 5s, request_class: c", `request_class "c" and class "r" must be the same`},
	} {
		text := strings.Replace(smallConfig, c.old, c.new, 1)
		_, err := Parse("c.yaml", []byte(text))
		if text == smallConfig || (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q for %q: %v\nwant %q", c.new, c.old, err, c.want)
		}
	}
}

// TestAllErrorsAtOnce: all errors of a file are reported at once.
func TestAllErrorsAtOnce(t *testing.T) {
	text := strings.NewReplacer(
		"pool: p, dead", "pool: x, dead",
		"aim: 100ms, deadline: 2s", "aim: 5s, deadline: 2s",
		"127.0.0.1:9001", "nowhere",
	).Replace(smallConfig)
	_, err := Parse("c.yaml", []byte(text))
	if err == nil || strings.Count(err.Error(), "c.yaml:") != 3 {
		t.Errorf("got %v, want three errors", err)
	}
}

// TestErrorHasFileLineColumnAndKey: errors.As finds the first error of a file, with its position and key.
func TestErrorHasFileLineColumnAndKey(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		line, column   int
		key            string
	}{
		{"unknown key", "aim: 100ms, deadline: 1s", "aim: 100ms, deadlin: 1s", 3, 19, "classes.c.deadlin"},
		{"wrong form", "aim: 100ms, deadline: 1s", "aim: 100, deadline: 1s", 3, 12, "classes.c.aim"},
		{"wrong value", "repeat: safe", "repeat: often", 4, 15, "classes.r.repeat"},
		{"item of a list", "127.0.0.1:9001", "localhost:9001", 6, 34, "pools.p.nodes.static[0].address"},
		{"unknown pool", "pool: p, deadline", "pool: pp, deadline", 9, 55, "routes[0].pool"},
		{"conflict", "{prefix: /two}", "{prefix: /one/}", 10, 5, "routes[1]"},
		{"too little memory", "listeners:", "limits: {memory: 32MiB}\nlisteners:", 1, 18, "limits.memory"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("c.yaml", []byte(strings.Replace(smallConfig, c.old, c.new, 1)))
			checkErrorPosition(t, err, strictyaml.Error{
				File: "c.yaml", Position: strictyaml.Position{Line: c.line, Column: c.column}, Key: c.key,
			})
		})
	}
}

// checkErrorPosition fails unless errors.As finds an error with the wanted position and key. It does not compare texts.
func checkErrorPosition(t *testing.T, err error, want strictyaml.Error) {
	t.Helper()
	var got strictyaml.Error
	if !errors.As(err, &got) {
		t.Fatalf("no strictyaml.Error in %v", err)
	}
	want.Text = got.Text
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestReloadErrorHasFileLineColumnAndKey: an error in one of the entries that differ has the same position and key as
// when the whole text is parsed.
func TestReloadErrorHasFileLineColumnAndKey(t *testing.T) {
	text := string(generatedText(3, 30, 50))
	loaded, err := Parse("c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, key string }{
		{"quota: 3}", "quota: -4}", "tenants.tenant-000002.quota"},
		{"quota: 3}", "qouta: 3}", "tenants.tenant-000002.qouta"},
		{"route-00003, hosts", "route-00003, hsts", "routes[3].hsts"},
		{"pool-001.yaml}, queue", "pool-001.yaml}, queeu", "pools.pool-001.queeu"},
	} {
		t.Run(c.key, func(t *testing.T) {
			edit := []byte(strings.Replace(text, c.old, c.new, 1))
			_, _, diagnosis := loaded.parseChanges("c.yaml", edit)
			_, err := parseWhole("c.yaml", edit)
			var want strictyaml.Error
			if !errors.As(err, &want) || want.Key != c.key {
				t.Fatalf("parseWhole: %+v, want the key %s", want, c.key)
			}
			checkErrorPosition(t, diagnosis, want)
		})
	}
}

// FuzzParse: no text may cause a panic, and the decision module accepts the settings of every valid configuration.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallConfig))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte(`listeners: [{address: '[::1]:0'}]
classes: {c: &c {aim: 1s, deadline: 1s}, d: *c}
pools: {p: {nodes: {discovery: '1.2.3.4:5'}}}
routes: [{name: r, class: d, pool: p}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("c.yaml", text)
		if err != nil {
			return
		}
		for name := range c.Pools {
			if _, err := balancer.New(c.Settings(name), 1, 0, host{}); err != nil {
				t.Errorf("%v\n%s", err, text)
			}
		}
	})
}

type host struct{ balancer.Host }

func (host) SetTimer(time.Duration, uint64) {}
func (host) Watch(bool)                     {}
