package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/route"
)

// told is all that a configuration says, in a form that can be compared.
func told(c *Loaded) string {
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
	for _, r := range slices.SortedFunc(c.Table.Rules(), func(x, y *route.Rule) int { return strings.Compare(x.Name, y.Name) }) {
		rule := *r
		rule.To = 0
		say(rule, c.Targets[r.To])
	}
	for _, t := range slices.SortedFunc(c.Tenants.All(), func(x, y balancer.Tenant) int { return strings.Compare(x.Name, y.Name) }) {
		say(t)
	}
	return b.String()
}

// shaped is a configuration whose entries have many forms.
func shaped(rng *rand.Rand) string {
	entry := func(forms ...string) string { return forms[rng.IntN(len(forms))] }
	var b strings.Builder
	b.WriteString(entry("", "# head\n", "\n"))
	b.WriteString("listeners: [{address: '127.0.0.1:0', connections: 500}]\nlimits: {memory: 512MiB}\n")
	sections := []func(){
		func() {
			b.WriteString("classes:\n  c: {aim: 100ms, deadline: 1s}\n  r: {repeat: safe, aim: 100ms, deadline: 2s}\n")
		},
		func() {
			b.WriteString("pools:\n")
			for i := range 5 {
				fmt.Fprintf(&b, entry("  p%d: {nodes: {file: p%[1]d.yaml}, queue: 20}\n", "  p%d:\n    # its list\n    nodes:\n      file: p%[1]d.yaml\n    queue: 20\n",
					"  \"p%d\": {nodes: {static: [\n    {address: '127.0.0.1:90%[1]d'}]}, queue: 9}\n"), i)
			}
		},
		func() {
			indent := entry("", "  ")
			b.WriteString("routes:\n")
			for i := range 5 + rng.IntN(20) {
				text := fmt.Sprintf(entry("- {name: r%d, path: {prefix: /r%[1]d}, class: c, pool: p%[2]d}\n",
					"- name: r%d\n  path:\n    exact: /r%[1]d\n  # of its own\n  class: r\n\n  pool: p%[2]d\n",
					"- {name: 'r%d', hosts: [a.org,\n  '*.b.org'], class: c, pools: [{pool: p%[2]d, weight: 1}, {pool: p0, weight: 3}],\n  path: {pattern: '/r%[1]d/{x}'}}\n",
					"-\n  name: r%d\n  key_cookie: >-\n    one\n    line\n  path: {prefix: /r%[1]d}\n  class: c\n  pool: p%[2]d\n"), i, rng.IntN(5))
				for _, line := range strings.SplitAfter(strings.TrimSuffix(text, "\n"), "\n") {
					b.WriteString(indent + line)
				}
				b.WriteString("\n")
			}
		},
		func() {
			if rng.IntN(4) == 0 {
				b.WriteString("tenants: {t1: {quota: 5}, t2: {quota: 7}}\n")
				return
			}
			b.WriteString("tenants:\n")
			for i := range 5 + rng.IntN(40) {
				fmt.Fprintf(&b, entry("  t%d: {quota: 5}\n", "  t%d: {quota: 1.5} # small\n", "  't%d':\n    quota: 7\n", "  # next\n  t%d: {quota: 2}\n\n"), i)
			}
		},
	}
	rng.Shuffle(len(sections), func(i, j int) { sections[i], sections[j] = sections[j], sections[i] })
	for _, f := range sections {
		f()
	}
	return b.String()
}

// edited is a text with a few random edits, most of which leave it right.
func edited(rng *rand.Rand, text string) string {
	for range 1 + rng.IntN(3) {
		lines := strings.SplitAfter(text, "\n")
		at := rng.IntN(len(lines))
		other := rng.IntN(len(lines))
		replace := func(pairs ...string) {
			i := 2 * rng.IntN(len(pairs)/2)
			lines[at] = strings.Replace(lines[at], pairs[i], pairs[i+1], 1)
		}
		switch rng.IntN(22) {
		case 0, 1, 2:
			replace("quota: 5", "quota: 6", "quota: 7", "quota: 0.5", "/r", "/s", "class: c", "class: r", "p1", "p2", "queue: 20", "queue: 21", "weight: 3", "weight: 4", "9", "8")
		case 3, 4:
			lines = slices.Delete(lines, at, at+1)
		case 5, 6:
			lines = slices.Insert(lines, at, lines[other])
		case 7:
			lines[at], lines[other] = lines[other], lines[at]
		case 8:
			lines[at] = " " + lines[at]
		case 9:
			lines[at] = strings.TrimPrefix(lines[at], " ")
		case 10:
			lines[at] = strings.Replace(lines[at], " ", "\t", 1)
		case 11:
			lines = slices.Insert(lines, at, "# a comment\n")
		case 12:
			lines = slices.Insert(lines, at, "    # deeper: {comment}\n")
		case 13:
			lines = slices.Insert(lines, at, "\n")
		case 14:
			lines = slices.Insert(lines, at, fmt.Sprintf("  new%d: {quota: 3}\n", rng.IntN(5)))
		case 15:
			lines = slices.Insert(lines, at, fmt.Sprintf("  - {name: new%d, path: {prefix: /n%[1]d}, class: c, pool: p%d}\n", rng.IntN(5), rng.IntN(6)))
		case 16:
			replace("}", "", "{", "", "'", "", "'", "\"", ": ", ":", "]", "", "\"", "")
		case 17:
			replace("\n", " '\n", "\n", " \"\n", "\n", " |\n", "\n", " {\n", "\n", " [\n", "\n", "\r\n", "\n", " >+\n", "\n", "\n---\n", "\n", "\n...\n", "\n", " &a\n", "\n", " x\n")
		case 18:
			replace("c", "&x c", "5", "!!str 5", "c", "*x", "name", "? name", "t", "<<", "r", "ü", "p", "\u0085p", "2", "\u20282")
		case 19:
			i := rng.IntN(len(text) + 1)
			text = text[:i] + string(rune("'\"{}[]:,#&*!|>%@`- \n\t\r\x00"[rng.IntN(23)])) + text[i:]
			continue
		case 20:
			i := rng.IntN(len(text) + 1)
			text = text[:i] + text[min(len(text), i+1+rng.IntN(3)):]
			continue
		case 21: // entries to another place
			n := min(len(lines)-at, 1+rng.IntN(6))
			moved := slices.Clone(lines[at : at+n])
			lines = slices.Delete(lines, at, at+n)
			lines = slices.Insert(lines, rng.IntN(len(lines)+1), moved...)
		}
		text = strings.Join(lines, "")
	}
	return text
}

// differ is the first line in which two configurations differ.
func differ(x, y *Loaded) string {
	if y == nil {
		return "a mistake"
	}
	a, b := strings.Split(told(x), "\n"), strings.Split(told(y), "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("\n%s\nnot\n%s", a[i], b[i])
		}
	}
	return fmt.Sprintf("%d lines, not %d", len(a), len(b))
}

// samePools fails if pools are told something else by one configuration than by another that says they are not.
func samePools(t *testing.T, before, after *Loaded) {
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

// nearby counts the mistakes that agrees saw told by what stands around them.
var nearby int

// agrees compares the small ways with reading the whole, and returns what holds then and whether a small way was taken.
func agrees(t *testing.T, before *Loaded, text string) (next *Loaded, small bool) {
	t.Helper()
	want, wrong := parseWhole("/c/c.yaml", []byte(text))
	parts, _ := parseInSections("/c/c.yaml", []byte(text), 0)
	if parts != nil && (wrong != nil || told(parts) != told(want)) {
		t.Fatalf("in parts another configuration than at once (%v): %s\n%s", wrong, differ(parts, want), text)
	}
	changed, mistaken, mistake := before.parseChanges("/c/c.yaml", []byte(text))
	if mistake != nil && (wrong == nil || mistake.Error() != wrong.Error()) {
		t.Fatalf("by the difference another mistake than at once:\n%v\nnot\n%v\n%s\n--- from\n%s", mistake, wrong, text, before.source.text)
	}
	if mistake != nil {
		nearby++
	}
	if changed != nil {
		if wrong != nil || told(changed) != told(want) {
			t.Fatalf("by the difference another configuration than at once (%v): %s\n%s\n--- from\n%s", wrong, differ(changed, want), text, before.source.text)
		}
		if changed.SamePools(before) {
			samePools(t, before, changed)
		}
		return changed, true
	} else if mistaken && wrong == nil {
		t.Logf("a mistake was seen where there is none, and the whole was read:\n%s", text)
	}
	if parts != nil {
		return parts, false
	}
	return nil, false
}

// TestSmallWaysAreTheWhole: over random edits of random configurations, each from what the one before it has come to,
// reading in parts and reading the difference give what reading the whole gives, or give way to it.
func TestSmallWaysAreTheWhole(t *testing.T) {
	rounds, taken, edits := 20, 0, 0
	nearby = 0
	if testing.Short() {
		rounds = 10
	}
	for seed := range rounds {
		rng := rand.New(rand.NewPCG(36, uint64(seed)))
		text := shaped(rng)
		c, _ := parseInSections("/c/c.yaml", []byte(text), 0)
		if c == nil {
			_, err := parseWhole("/c/c.yaml", []byte(text))
			t.Fatalf("a right text is not read in parts (%v):\n%s", err, text)
		}
		for range 40 {
			edit := edited(rng, text)
			next, small := agrees(t, c, edit)
			edits++
			if small {
				taken++
			}
			if next != nil {
				c, text = next, edit
			}
		}
	}
	if nearby < edits/20 {
		t.Errorf("%d mistakes in %d edits were told by what stands around them: the comparison shows little", nearby, edits)
	}
	if taken < edits/5 {
		t.Errorf("%d of %d edits were read by their difference: the comparison shows little", taken, edits)
	}
	t.Logf("%d of %d edits were read by their difference, of %d mistakes were told by what stands around them", taken, edits, nearby)
}

// TestOddTexts: texts whose lines look like entries and are not, or the other way round, are read as the whole is.
func TestOddTexts(t *testing.T) {
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
		t.Fatal("the text is not read in parts")
	}
	for _, x := range []struct {
		old, new string
		right    bool // the whole takes it
	}{
		{"pools:\n", "tenants:\n  d: {quota: 8}\npools:\n", false}, // a section twice
		{"classes:", "limits: {memory: 256MiB}\nlimits: {memory: 512MiB}\nclasses:", false},
		{"file: p.yaml}", "file: \"p\n  q: {nodes: {file: x}}\n  r.yaml\"}", true},             // entries within quotes
		{"file: p.yaml}", "file: \"p\nroutes:\n  r.yaml\"}", true},                             // a section
		{"  b: {quota: 6}\n", "  b: {quota:\n  6}\n", true},                                    // a value where entries begin
		{"  b: {quota: 6}\n", "  ? b\n  : {quota: 6}\n", true},                                 // one entry in two lines
		{"  b: {quota: 6}\n", "  b: {quota: 6}\u0085  d: {quota: 8}\n", true},                  // two in one
		{"  b: {quota: 6}\n", "  b: &b {quota: 6}\n", true},                                    // an anchor
		{"b: {quota: 6}\n  c: {quota: 7}", "b: &b {quota: 6}\n  c: *b", true},                  // and its alias
		{"  b: {quota: 6}\n", "  a: {quota: 6}\n", false},                                      // a name twice
		{"  c: {quota: 7}\n", "  a: {quota: 5}\n", false},                                      // far from the first
		{"name: two", "name: one", false},                                                      // of routes
		{"{prefix: /two}", "{prefix: /}", false},                                               // two that tie
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n   d: {quota: 8}\n", false},                    // deeper than its section
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n d: {quota: 8}\n", false},                      // less deep
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n- d\n", false},                                 // an item among keys
		{"  a: {quota: 5}\n  b: {quota: 6}\n  c: {quota: 7}\n", "", false},                     // none left
		{"  a: {quota: 5}\n  b: {quota: 6}\n  c: {quota: 7}\n", "  # none\n", false},           // but a comment
		{"  a: {quota: 5}\n  b: {quota: 6}\n", "", true},                                       // one left
		{"tenants:\n", "tenants: # of now\n", true},                                            // a comment behind a key
		{"tenants:\n", "tenants: &t\n", true},                                                  // an anchor there
		{"tenants:\n", "%TAG ! x\ntenants:\n", false},                                          // a directive
		{"pools:\n", "---\npools:\n", false},                                                   // another document
		{"  b: {quota: 6}\n", "  b: {quota: 6}\r\n", true},                                     // another line end
		{"  b: {quota: 6}\n", "  b: {quota: 6}\n\tx\n", false},                                 // a tab
		{"file: p.yaml}", "file: p.yaml}\n    rest: >-\n      always\n    # not always", true}, // a block of text
	} {
		edit := strings.Replace(text, x.old, x.new, 1)
		if _, err := parseWhole("/c/c.yaml", []byte(edit)); edit == text || (err == nil) != x.right {
			t.Errorf("%q for %q: the whole says %v", x.new, x.old, err)
		}
		agrees(t, c, edit)
	}
}

// FuzzReload: any edit of a text is read as the whole is, or gives way.
func FuzzReload(f *testing.F) {
	for seed := range 4 {
		f.Add(uint64(seed), 10, 20, "x")
	}
	f.Fuzz(func(t *testing.T, seed uint64, from, n int, put string) {
		text := shaped(rand.New(rand.NewPCG(seed, 0)))
		c, _ := parseInSections("/c/c.yaml", []byte(text), 0)
		if c == nil || from < 0 || n < 0 {
			return
		}
		from = min(from, len(text))
		agrees(t, c, text[:from]+put+text[min(len(text), from+n):])
	})
}

// TestSmallWayIsTaken: the changes of an ordinary day are read by their difference.
func TestSmallWayIsTaken(t *testing.T) {
	text := string(generated(20, 300, 500))
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
		{"  - {name: route-00000,", "  - {name: new, class: read, pool: pool-001, path: {exact: /new}}\n  - {name: route-00000,"},
		{"name: route-00299,", "name: route-last,"},
		{"listeners:", "# a comment\nlisteners:"},
		{"tenants:\n", "# a comment\ntenants:\n"},
		{"  tenant-000300", "  # a comment\n  tenant-000300"},
		{"classes:\n", "classes:\n  # a comment\n"},
		{"pool-003.yaml}, queue: 4", "pool-003.yaml}, queue: 5"},
	} {
		edit := strings.Replace(text, x.old, x.new, 1)
		if edit == text {
			t.Fatalf("%q is not there", x.old)
		}
		next, small := agrees(t, c, edit)
		if !small {
			t.Errorf("%q for %q was not read by its difference", x.new, x.old)
		} else if c, text = next, edit; !strings.Contains(x.new, "pool-") && !strings.Contains(x.old, "route-") {
			for name := range c.Pools {
				if c.Settings(name).Tenants != c.Tenants {
					t.Error("a pool has a table of its own")
				}
			}
		}
	}
}

// TestReloadKeepsWhatIsSame: what does not differ is not made anew.
func TestReloadKeepsWhatIsSame(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.yaml")
	text := string(generated(3, 30, 50))
	load := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	load(text)
	c, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	load(strings.Replace(text, "quota: 3}", "quota: 4}", 1))
	next, err := Reload(path, c)
	if err != nil || next.Table != c.Table || next.Tenants == c.Tenants {
		t.Errorf("after a quota: %v", err)
	}
	load(strings.Replace(text, "quota: 3}", "quota: -4}", 1))
	if _, err = Reload(path, c); err == nil || !strings.Contains(err.Error(), "c.yaml:44:26: the quota is a rate") {
		t.Errorf("%v", err)
	}
	load(strings.Replace(text, "/r00003", "/r3", 1))
	if next, err = Reload(path, c); err != nil || next.Tenants != c.Tenants || next.Table == c.Table || c.Table.Rule("route-00003").Path != "/r00003" {
		t.Errorf("after a route: %v", err)
	}
	if _, err := Reload(filepath.Join(filepath.Dir(path), "none"), c); err == nil {
		t.Error("a file that is not there was read")
	}
}

// TestPoolsThatComeAndGo: a pool taken out, put in or given another name, alone or with its routes, is never passed
// over by the small way: the whole is read, and pools are told anew.
func TestPoolsThatComeAndGo(t *testing.T) {
	text := string(generated(20, 300, 500))
	c, err := Parse("/c/c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	const last = "  pool-019: {nodes: {file: pool-019.yaml}, queue: 4, connections: 20}\n"
	moved := strings.ReplaceAll(text, "pool: pool-019}", "pool: pool-018}")
	for _, x := range []struct {
		name, text string
		pools      int
	}{
		{"out with its routes", strings.Replace(moved, last, "", 1), 19},
		{"in", strings.Replace(text, last, last+strings.ReplaceAll(last, "019", "020"), 1), 21},
		{"another name", strings.Replace(moved, last, strings.ReplaceAll(last, "019", "020"), 1), 20},
		{"in another's place", strings.Replace(strings.Replace(moved, last, "", 1), "pools:\n", "pools:\n"+strings.ReplaceAll(last, "019", "first"), 1), 20},
	} {
		if next, mistaken, _ := c.parseChanges("/c/c.yaml", []byte(x.text)); next != nil || mistaken {
			t.Errorf("%s: by the difference: %v, a mistake: %v", x.name, next != nil, mistaken)
		}
		next, err := c.reparse("/c/c.yaml", []byte(x.text))
		if err != nil || len(next.Pools) != x.pools || next.SamePools(c) || next.Read() < len(x.text) {
			t.Errorf("%s: %v", x.name, err)
			continue
		}
		if want, _ := parseWhole("/c/c.yaml", []byte(x.text)); told(next) != told(want) {
			t.Errorf("%s: %s", x.name, differ(next, want))
		}
	}
	out := strings.Replace(text, last, "", 1) // its routes lead nowhere
	if _, err := c.reparse("/c/c.yaml", []byte(out)); err == nil || !strings.Contains(err.Error(), "pool-019") {
		t.Errorf("a pool with routes is taken out: %v", err)
	}
}

// TestMistakeInLine155000: the whole size with one mistake near its end: line and column, within 5 s.
func TestMistakeInLine155000(t *testing.T) {
	text := generated(490, 15000, 140000)
	c, err := Parse("c.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(text), "\n")
	for _, x := range []struct{ from, to, want string }{
		{"quota", "qouta", `c.yaml:155000:19: unknown key "qouta"; did you mean "quota"?`},
		{"quota: ", "quota: -", "c.yaml:155000:26: the quota is a rate"},
		{"}", "", "c.yaml:154999:1: did not find expected ',' or '}'"}, // the parser's own count
	} {
		wrong := slices.Clone(lines)
		wrong[154999] = strings.Replace(wrong[154999], x.from, x.to, 1)
		edit := []byte(strings.Join(wrong, ""))
		if _, _, mistake := c.parseChanges("c.yaml", edit); mistake == nil {
			t.Errorf("%q for %q: the whole is read for it", x.to, x.from)
		}
		began := time.Now()
		_, err := c.reparse("c.yaml", edit)
		if took := time.Since(began); err == nil || !strings.Contains(err.Error(), x.want) || strings.Count(err.Error(), "\n") > 0 || took > 5*time.Second {
			t.Errorf("%q for %q: after %v %v", x.to, x.from, took, err)
		}
	}
}

// TestMistakeWithLittleMemory: where the memory does not bear reading the whole at once, the batch with the mistake
// tells its place.
func TestMistakeWithLittleMemory(t *testing.T) {
	text := strings.Replace(string(generated(10, 100, 40000)), "memory: 1GiB", "memory: 64MiB", 1)
	if _, err := Parse("c.yaml", []byte(text)); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ old, new, want string }{
		{"tenant-039000: {quota", "tenant-039000: {qouta", "c.yaml:39119:19: unknown key \"qouta\""},
		{"tenant-039000: {", "tenant-039000: &x {", "c.yaml:2:18: reading the file at once, as one with a mistake or with anchors has to be, takes about 75 MiB"},
	} {
		_, err := Parse("c.yaml", []byte(strings.Replace(text, x.old, x.new, 1)))
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", x.new, err)
		}
	}
}

// TestMistakesOfLongTexts: of random mistakes among many entries, what is told by what stands around them is what
// reading the whole tells.
func TestMistakesOfLongTexts(t *testing.T) {
	text := string(generated(40, 80, 120))
	c, err := Parse("/c/c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	rng, wrong := rand.New(rand.NewPCG(36, 155)), 0
	nearby = 0
	lines := strings.SplitAfter(text, "\n")
	for range 400 {
		at := 10 + rng.IntN(len(lines)-15) // the edits stand near each other
		edit := strings.Join(lines[:at], "") + edited(rng, strings.Join(lines[at:at+4], "")) + strings.Join(lines[at+4:], "")
		if next, _ := agrees(t, c, edit); next == nil {
			wrong++
		}
	}
	if nearby < wrong/5 {
		t.Errorf("%d of %d mistakes were told by what stands around them", nearby, wrong)
	}
	t.Logf("%d of %d mistakes were told by what stands around them", nearby, wrong)
}

func BenchmarkReload(b *testing.B) {
	text := string(generated(490, 15000, 140000))
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
					b.Fatal("not by the difference")
				}
			}
		})
	}
}
