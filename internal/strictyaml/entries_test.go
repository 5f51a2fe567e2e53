package strictyaml

import (
	"strings"
	"testing"
)

// TestEntriesErrorKeysAreThoseOfTheFile: errors in entries that are decoded without the rest of the file have the same
// keys and positions as when the whole file is decoded.
func TestEntriesErrorKeysAreThoseOfTheFile(t *testing.T) {
	for _, c := range []struct {
		text string
		from string // the beginning of the entry that is decoded
		key  string
		into func() any
	}{
		{
			"list:\n- name: a\n- name: b\n- count: x\n", "- count", "list[2].count",
			func() any { return new([]sample) },
		},
		{
			"map:\n  a: 1\n  b: much\n", "  b: much", "map.b",
			func() any { return new(map[string]int) },
		},
	} {
		whole := Decode("f", []byte(c.text), new(sample))
		section := Outline([]byte(c.text))[0]
		from := strings.Index(c.text, c.from)
		diagnosed := DiagnoseEntries("f", []byte(c.text), section, from, len(c.text), c.into())

		entries := SplitEntries([]byte(c.text)[section.Body:])
		entries.Section = section.Key
		last := len(entries.Starts) - 1
		read, ok := entries.Read("f", 1, last, last+1, c.into())
		if ok {
			t.Errorf("%q was decoded without an error", c.text)
		}
		for name, d := range map[string]*Doc{"whole": whole, "diagnosed": diagnosed, "read": read} {
			if len(d.errs) != 1 || d.errs[0] != whole.errs[0] || d.errs[0].Key != c.key {
				t.Errorf("%s: got %+v, want %+v with the key %s", name, d.errs, whole.errs, c.key)
			}
		}
	}
}
