package config

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestIncrementalParsingMatchesWhole: for sequences of random edits of random configurations, parsing in sections and
// parsing only the changes give the result of parsing the whole text, or none.
func TestIncrementalParsingMatchesWhole(t *testing.T) {
	rounds := 20
	incremental, diagnosed, edits := 0, 0, 0
	if testing.Short() {
		rounds = 10
	}
	for seed := range rounds {
		rng := rand.New(rand.NewPCG(36, uint64(seed)))
		text := randomText(rng)
		c, _ := parseInSections("/c/c.yaml", []byte(text), 0)
		if c == nil {
			_, err := parseWhole("/c/c.yaml", []byte(text))
			t.Fatalf("a valid text is not parsed in sections (%v):\n%s", err, text)
		}
		for range 40 {
			edit := withRandomEdits(rng, text)
			result := checkAgainstWhole(t, c, edit)
			edits++
			if result.byChanges {
				incremental++
			}
			if result.diagnosed {
				diagnosed++
			}
			if result.next != nil {
				c = result.next
				text = edit
			}
		}
	}
	if diagnosed < edits/20 {
		t.Errorf("only %d errors in %d edits were diagnosed without parsing the whole text, too few for a comparison",
			diagnosed, edits)
	}
	if incremental < edits/5 {
		t.Errorf("only %d of %d edits were parsed incrementally, too few for a comparison", incremental, edits)
	}
	t.Logf("%d of %d edits were parsed incrementally, %d errors were diagnosed without parsing the whole text",
		incremental, edits, diagnosed)
}

// TestUnusualLayouts: texts with lines that look like entries and are not, or the other way round, give the same result
// as parsing the whole text.
func TestUnusualLayouts(t *testing.T) {
	const text = `listeners: [{address: '127.0.0.1:0'}]
classes: {c: {aim: 100ms, deadline: 1s}}
tenants:
  a: {quota: 5}
  b: {quota: 6}
  c: {quota: 7}
pools:
  p:
    nodes: {file: p.yaml}
  q:
    nodes: {file: q.yaml}
routes:
- {name: one, class: c, pool: p}
- {name: two, class: c, pool: q, path: {prefix: /two}}
`
	c, _ := parseInSections("/c/c.yaml", []byte(text), 0)
	if c == nil {
		t.Fatal("the text is not parsed in sections")
	}
	for _, x := range []struct {
		old, new string
		valid    bool // parseWhole accepts it
	}{
		{"pools:\n", "tenants:\n  d: {quota: 8}\npools:\n", false}, // a repeated section
		{"classes:", "limits: {memory: 256MiB}\nlimits: {memory: 512MiB}\nclasses:", false},
		{"file: p.yaml}", "file: \"p\n  q: {nodes: {file: x}}\n  r.yaml\"}", true},             // entries within quotes
		{"file: p.yaml}", "file: \"p\nroutes:\n  r.yaml\"}", true},                             // a section
		{"  b: {quota: 6}\n", "  b: {quota:\n  6}\n", true},                                    // a value where keys begin
		{"  b: {quota: 6}\n", "  ? b\n  : {quota: 6}\n", true},                                 // an entry of two lines
		{"  b: {quota: 6}\n", "  b: {quota: 6}\u0085  d: {quota: 8}\n", true},                  // two entries in a line
		{"  b: {quota: 6}\n", "  b: &b {quota: 6}\n", true},                                    // an anchor
		{"b: {quota: 6}\n  c: {quota: 7}", "b: &b {quota: 6}\n  c: *b", true},                  // with an alias
		{"  b: {quota: 6}\n", "  a: {quota: 6}\n", false},                                      // a repeated name
		{"  c: {quota: 7}\n", "  a: {quota: 5}\n", false},                                      // apart from the first
		{"name: two", "name: one", false},                                                      // a repeated route name
		{"{prefix: /two}", "{prefix: /}", false},                                               // routes that tie
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n   d: {quota: 8}\n", false},                    // indented further
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n d: {quota: 8}\n", false},                      // indented less
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n- d\n", false},                                 // an item among keys
		{"  a: {quota: 5}\n  b: {quota: 6}\n  c: {quota: 7}\n", "", false},                     // no entries
		{"  a: {quota: 5}\n  b: {quota: 6}\n  c: {quota: 7}\n", "  # none\n", false},           // only a comment
		{"  a: {quota: 5}\n  b: {quota: 6}\n", "", true},                                       // one entry
		{"tenants:\n", "tenants: # of now\n", true},                                            // a comment after a key
		{"tenants:\n", "tenants: &t\n", true},                                                  // an anchor after a key
		{"tenants:\n", "%TAG ! x\ntenants:\n", false},                                          // a directive
		{"pools:\n", "---\npools:\n", false},                                                   // another document
		{"  b: {quota: 6}\n", "  b: {quota: 6}\r\n", true},                                     // another line end
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n\tx\n", false},                                 // a tab
		{"file: p.yaml}", "file: p.yaml}\n    rest: >-\n      always\n    # not always", true}, // a block of text
	} {
		edit := strings.Replace(text, x.old, x.new, 1)
		if _, err := parseWhole("/c/c.yaml", []byte(edit)); edit == text || (err == nil) != x.valid {
			t.Errorf("%q for %q: parseWhole: %v", x.new, x.old, err)
		}
		checkAgainstWhole(t, c, edit)
	}
}

// FuzzReload: for any edit of a text, incremental parsing gives the result of parsing the whole text, or none.
func FuzzReload(f *testing.F) {
	for seed := range 4 {
		f.Add(uint64(seed), 10, 20, "x")
	}
	f.Fuzz(func(t *testing.T, seed uint64, from, n int, put string) {
		text := randomText(rand.New(rand.NewPCG(seed, 0)))
		c, _ := parseInSections("/c/c.yaml", []byte(text), 0)
		if c == nil || from < 0 || n < 0 {
			return
		}
		from = min(from, len(text))
		checkAgainstWhole(t, c, text[:from]+put+text[min(len(text), from+n):])
	})
}

// TestCommonChangesAreIncremental: changes that are common in operation are parsed incrementally.
func TestCommonChangesAreIncremental(t *testing.T) {
	text := string(generatedText(20, 300, 500))
	c, err := Parse("/c/c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ old, new string }{
		{"tenant-000123: {quota: 24}", "tenant-000123: {quota: 99}"},
		{"tenant-000000: {quota: 1}", "tenant-000000: {quota: 2}"},
		{"tenant-000499: {quota: 50}", "tenant-000499: {quota: 51}"},
		{"  tenant-000007: {quota: 8}\n", ""},
		{"  tenant-000009: {quota: 10}\n", "  tenant-000009: {quota: 10}\n  new: {quota: 3}\n"},
		{"tenants:\n", "tenants:\n  first: {quota: 3}\n"},
		{"prefix: /r00044}", "prefix: /other}"},
		{
			"  - {name: route-00000,",
			"  - {name: new, class: read, pool: pool-001, path: {exact: /new}}\n  - {name: route-00000,",
		},
		{"name: route-00299,", "name: route-last,"},
		{"listeners:", "# a comment\nlisteners:"},
		{"tenants:\n", "# a comment\ntenants:\n"},
		{"  tenant-000300", "  # a comment\n  tenant-000300"},
		{"classes:\n", "classes:\n  # a comment\n"},
		{"pool-003.yaml}, queue: 4", "pool-003.yaml}, queue: 5"},
	} {
		edit := strings.Replace(text, x.old, x.new, 1)
		if edit == text {
			t.Fatalf("the text does not contain %q", x.old)
		}
		result := checkAgainstWhole(t, c, edit)
		if !result.byChanges {
			t.Errorf("%q for %q was not parsed incrementally", x.new, x.old)
			continue
		}
		c = result.next
		text = edit
		for name := range c.Pools {
			if c.Settings(name).Tenants != c.Tenants {
				t.Error("the settings of a pool have another table of tenants")
			}
		}
	}
}

// TestReloadSharesUnchangedTables: a reload shares the tables that have not changed with the previous configuration.
func TestReloadSharesUnchangedTables(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.yaml")
	text := string(generatedText(3, 30, 50))
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	c, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	write(strings.Replace(text, "quota: 3}", "quota: 4}", 1))
	next, err := Reload(path, c)
	if err != nil || next.Table != c.Table || next.Tenants == c.Tenants {
		t.Errorf("after the change of a quota: %v", err)
	}
	write(strings.Replace(text, "quota: 3}", "quota: -4}", 1))
	if _, err = Reload(path, c); err == nil || !strings.Contains(err.Error(), "c.yaml:44:26: the quota must be a rate") {
		t.Errorf("%v", err)
	}
	write(strings.Replace(text, "/r00003", "/r3", 1))
	next, err = Reload(path, c)
	if err != nil || next.Tenants != c.Tenants || next.Table == c.Table {
		t.Errorf("after the change of a route: %v", err)
	}
	if got := c.Table.Rule("route-00003").Path; got != "/r00003" {
		t.Errorf("the previous configuration has the path %s", got)
	}
	if _, err := Reload(filepath.Join(filepath.Dir(path), "none"), c); err == nil {
		t.Error("a missing file was loaded")
	}
}

// TestAddedAndRemovedPools: the removal, addition or renaming of a pool, alone or with its routes, is never applied
// incrementally: the whole text is parsed, and all pools get new settings.
func TestAddedAndRemovedPools(t *testing.T) {
	text := string(generatedText(20, 300, 500))
	c, err := Parse("/c/c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	const last = "  pool-019: {nodes: {file: pool-019.yaml}, queue: 4, connections: 20}\n"
	first := "pools:\n" + strings.ReplaceAll(last, "019", "first")
	moved := strings.ReplaceAll(text, "pool: pool-019}", "pool: pool-018}")
	for _, x := range []struct {
		name, text string
		pools      int
	}{
		{"removed with its routes", strings.Replace(moved, last, "", 1), 19},
		{"added", strings.Replace(text, last, last+strings.ReplaceAll(last, "019", "020"), 1), 21},
		{"renamed", strings.Replace(moved, last, strings.ReplaceAll(last, "019", "020"), 1), 20},
		{"replaced", strings.Replace(strings.Replace(moved, last, "", 1), "pools:\n", first, 1), 20},
	} {
		if next, invalid, _ := c.parseChanges("/c/c.yaml", []byte(x.text)); next != nil || invalid {
			t.Errorf("%s: parsed incrementally: %v, invalid: %v", x.name, next != nil, invalid)
		}
		next, err := c.reparse("/c/c.yaml", []byte(x.text))
		if err != nil || len(next.Pools) != x.pools || next.HasSamePoolSettings(c) ||
			next.BytesRead() < len(x.text) {
			t.Errorf("%s: %v", x.name, err)
			continue
		}
		if want, _ := parseWhole("/c/c.yaml", []byte(x.text)); contentOf(next) != contentOf(want) {
			t.Errorf("%s: %s", x.name, firstDifference(next, want))
		}
	}
	removed := strings.Replace(text, last, "", 1) // routes to the pool remain
	if _, err := c.reparse("/c/c.yaml", []byte(removed)); err == nil || !strings.Contains(err.Error(), "pool-019") {
		t.Errorf("a pool with routes was removed: %v", err)
	}
}

func BenchmarkReload(b *testing.B) {
	text := string(generatedText(490, 15000, 140000))
	c, err := Parse("c.yaml", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	for _, x := range []struct{ name, old, new string }{
		{"head", "listeners:", "# a comment\nlisteners:"},
		{"comment", "tenants:", "# a comment\ntenants:"},
		{"quota", "tenant-100000: {quota: 1}", "tenant-100000: {quota: 2}"},
		{"route", "prefix: /r07000}", "prefix: /other}"},
	} {
		edit := []byte(strings.Replace(text, x.old, x.new, 1))
		b.Run(x.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if next, _, _ := c.parseChanges("c.yaml", edit); next == nil {
					b.Fatal("not parsed incrementally")
				}
			}
		})
	}
}
