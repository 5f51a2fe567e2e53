package script

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const good = `name: x
length: 2s
balancers: {count: 10}
nodes: {count: 4}
peers: {count: 2}
load: {rate: 5}
faults:
  - {at: 1s, for: 500ms, kind: cut, way: back, from: [balancers 30%], to: [nodes, n-1]}
  - {at: 1s, for: 1s, kind: kill, of: [b-9]}
bounds:
  - {figure: served, least: 0.5}
`

func TestErrorsNameTheirPlace(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"length: 2s", "length: 2", `x.yaml:2:9: "2" is not a time`},
		{"kind: kill", "kind: kil", `x.yaml:9:29: there is no fault "kil"; did you mean "kill"?`},
		{"kind: kill, of: [b-9]", "kind: kill", `x.yaml:9:5: of is wanted`},
		{"of: [b-9]", "of: [b-10]", `x.yaml:9:40: there is no b-10: 10 are in the script`},
		{"of: [b-9]", "of: [n-1]", `"n-1" is none of balancers, peers`},
		{"of: [b-9]", "of: [b-09]", `"b-09" is no name such as b-0`},
		{"of: [b-9]", "of: [balancers 0%]", `"balancers 0%" is no part`},
		{"of: [b-9]", "of: [balancers in q]", `no balancers are in a zone "q"`},
		{"to: [nodes, n-1]", "to: [node]", `"node" names nobody`},
		{"way: back", "way: bak", `did you mean "back"?`},
		{"figure: served", "figure: serve", `x.yaml:11:14: there is no figure "serve"; did you mean "served"?`},
		{", least: 0.5", "", "a bound wants most, least or both"},
		{"kind: kill", "kind: reset, from: [clients], to: [b-0]", "x.yaml:9:5: 0 is not from 0.0001 to 1"},
		{"kind: kill", "kind: clock", "clock wants an offset"},
		{"kind: kill", "kind: disk, disk: wet", `there is no disk fault "wet"`},
		{"at: 1s, for: 1s", "at: 3s, for: 1s", "after the end of the load"},
		{"rate: 5", "rat: 5", `unknown key "rat"; did you mean "rate"?`},
		{"count: 10", "count: 0", "x.yaml:3:20: 0 is not from 1 to 2000"},
		{"name: x", "name: a/b", "letters, digits and hyphens"},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		if _, err := Parse("x.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s -> %s: %v, want %q", c.from, c.to, err, c.want)
		}
	}
}

// Chance chooses by the seed and the fault's number alone, and a script that is written out plays the same.
func TestChoiceAndText(t *testing.T) {
	f, err := Parse("x.yaml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	words := f.Faults[0].From
	first := f.Choose(words, 0)
	if len(first) != 3 || !reflect.DeepEqual(first, f.Choose(words, 0)) || reflect.DeepEqual(first, f.Choose(words, 1)) {
		t.Errorf("%v, then %v, another fault %v", first, f.Choose(words, 0), f.Choose(words, 1))
	}
	if all := f.Choose(f.Faults[0].To, 0); len(all) != 4 {
		t.Errorf("one named twice: %v", all)
	}
	text, err := f.Text()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("again.yaml", []byte(text))
	if err != nil || !reflect.DeepEqual(f, again) {
		t.Errorf("%v\n%s", err, text)
	}
}

func TestScriptsOfTheProject(t *testing.T) {
	paths, err := filepath.Glob("../../../faultscripts/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		f, err := Read(path)
		if err != nil {
			t.Error(err)
		} else if f.Name+".yaml" != filepath.Base(path) {
			t.Errorf("%s is named %s", path, f.Name)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none.yaml")); !os.IsNotExist(err) {
		t.Error(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, text []byte) {
		x, err := Parse("x.yaml", text)
		if err != nil {
			return
		}
		for i, fault := range x.Faults {
			x.Choose(fault.From, i)
			x.Choose(fault.To, i)
			x.Choose(fault.Of, i)
		}
		written, err := x.Text()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("y.yaml", []byte(written)); err != nil {
			t.Errorf("%v\n%s", err, written)
		}
	})
}
