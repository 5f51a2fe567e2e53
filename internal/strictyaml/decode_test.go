package strictyaml

import (
	"errors"
	"reflect"
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
	want := sample{
		Name: "12", On: true, Part: 0.1, Inner: &sample{Count: 3},
		List: []sample{{Count: 3}, {}}, Map: map[string]int{"a": 1},
	}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v, want %+v", s, want)
	}
	if p := d.At("inner.count"); p != (Position{4, 19}) {
		t.Errorf("inner.count is at %v", p)
	}
	if p := d.At("list[1].name"); p != (Position{5, 12}) { // missing, so the position of list[1]
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

// TestAliasesOfAliases: a few lines that expand to more values than fit in memory are rejected.
func TestAliasesOfAliases(t *testing.T) {
	text := "inner: &a {list: [{}, {}, {}, {}, {}, {}, {}, {}, {}, {}]}\nlist:\n"
	last := "a"
	for i := range 8 {
		next := string(rune('b' + i))
		text += "- &" + next + " {list: [" + strings.TrimSuffix(strings.Repeat("*"+last+", ", 10), ", ") + "]}\n"
		last = next
	}
	err := Decode("f", []byte(text), new(sample)).Err()
	if err == nil || !strings.Contains(err.Error(), "too many values") {
		t.Errorf("got %v", err)
	}
}

// TestErrorHasFileLineColumnAndKey: errors.As finds the first error of a file, with its position and the path of the
// value.
func TestErrorHasFileLineColumnAndKey(t *testing.T) {
	for _, c := range []struct {
		text string
		want Error
	}{
		{"count: 1.5", Error{"f", Position{1, 8}, "count", `"1.5" is not a whole number`}},
		{
			"list: [{}, {inner: {nme: x}}]",
			Error{"f", Position{1, 21}, "list[1].inner.nme", `unknown key "nme"; did you mean "name"?`},
		},
		{"name: a\nname: b", Error{"f", Position{2, 1}, "name", `"name" stands here for a second time, first in line 1`}},
		{"name: a\n---\n{}", Error{"f", Position{1, 1}, "", "one document is wanted, and another follows"}},
		{"on: maybe\ncount: x", Error{"f", Position{1, 5}, "on", `"maybe" is not true or false`}},
	} {
		var got Error
		if err := Decode("f", []byte(c.text), new(sample)).Err(); !errors.As(err, &got) || got != c.want {
			t.Errorf("%q: got %+v, want %+v", c.text, got, c.want)
		}
	}
}
