package strictyaml

import (
	"strings"
	"testing"
)

type sample struct {
	Name  string         `yaml:"name"`
	On    bool           `yaml:"on"`
	Part  float64        `yaml:"part"`
	Count int            `yaml:"count"`
	Inner *sample        `yaml:"inner"`
	List  []sample       `yaml:"list"`
	Map   map[string]int `yaml:"map"`
}

func TestDecode(t *testing.T) {
	var s sample
	d := Decode("f", []byte("name: 12\non: true\npart: 1e-1\ninner: &x {count: 3}\nlist: [*x, {}]\nmap: {a: 1}\n"), &s)
	if err := d.Err(); err != nil {
		t.Fatal(err)
	}
	if s.Name != "12" || !s.On || s.Part != 0.1 || s.Inner.Count != 3 || len(s.List) != 2 || s.List[0].Count != 3 || s.Map["a"] != 1 {
		t.Errorf("%+v", s)
	}
	if p := d.At("inner.count"); p != (Position{4, 19}) {
		t.Errorf("inner.count is at %v", p)
	}
	if p := d.At("list[1].name"); p != (Position{5, 12}) { // not there: the nearest around it
		t.Errorf("list[1] is at %v", p)
	}
}

func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		"":                      "f:1:1: the file is empty",
		"nme: x":                `f:1:1: unknown key "nme"; did you mean "name"?`,
		"zzzzzzzz: x":           "known here: count, inner, list",
		"name: a\nname: b":      `f:2:1: "name" stands here for a second time, first in line 1`,
		"count: 1.5":            `f:1:8: "1.5" is not a whole number`,
		"on: maybe":             `"maybe" is not true or false`,
		"part: much":            "is not a number",
		"name:":                 "nothing stands here",
		"name: [a]":             "a list stands here; a single value is wanted",
		"list: {}":              "a mapping stands here; a list is wanted",
		"? [a]\n: b":            "a key is a single value",
		"name: a\n---\n{}":      "another follows",
		"name: a\n---\n{":       "f:",
		"name: 'a":              "f:1:",
		"inner: &x {inner: *x}": "f:",
		"map: {a: b}":           `f:1:10: "b" is not a whole number`,
	} {
		if err := Decode("f", []byte(text), new(sample)).Err(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// TestAliasesOfAliases: a few lines can stand for more than any memory holds.
func TestAliasesOfAliases(t *testing.T) {
	text := "inner: &a {list: [{}, {}, {}, {}, {}, {}, {}, {}, {}, {}]}\nlist:\n"
	last := "a"
	for i := range 8 {
		next := string(rune('b' + i))
		text += "- &" + next + " {list: [" + strings.TrimSuffix(strings.Repeat("*"+last+", ", 10), ", ") + "]}\n"
		last = next
	}
	if err := Decode("f", []byte(text), new(sample)).Err(); err == nil || !strings.Contains(err.Error(), "too many values") {
		t.Errorf("got %v", err)
	}
}
