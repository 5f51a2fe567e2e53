package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTextsInTurns: over reloads that are adopted, that are not, that have mistakes and of files that grow and shrink,
// what is read is what a reading of the file alone gives, and what is not the text that holds is given back.
func TestTextsInTurns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.yaml")
	small, large := string(generated(10, 200, 300)), string(generated(20, 2000, 9000))
	if len(small) >= minBufferedSize || len(large) <= minBufferedSize {
		t.Fatalf("texts of %d and %d bytes", len(small), len(large))
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(large)
	c, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	empty := func(where int) bool {
		for _, b := range c.buffers.memory[where] {
			if b != 0 {
				return false
			}
		}
		return true
	}
	in := map[int]int{}
	for i, x := range []struct {
		text    string
		adopted bool
	}{
		{strings.Replace(large, "quota: 7}", "quota: 8}", 1), true},
		{strings.Replace(large, "quota: 7}", "quota: 9}", 1), true},
		{strings.Replace(large, "/r00003", "/other", 1), false},
		{strings.Replace(large, "quota: 8}", "quota: 1}", 1), true},
		{strings.Replace(large, "quota: 8}", "quota: -1}", 1), false},
		{large + strings.Repeat("# more\n", 1<<16), true}, // it wants other memory
		{large, true},
		{small, true},
		{large, true},
		{strings.Replace(large, "name: route-00007,", "name: &a route-00007,", 1), true}, // read as a whole
		{large, true},
		{strings.Replace(large, "quota: 7}", "quota: 8}", 1), true},
	} {
		write(x.text)
		want, wrong := Parse(path, []byte(x.text))
		next, err := Reload(path, c)
		if (err == nil) != (wrong == nil) {
			t.Fatalf("%d: %v, want %v", i, err, wrong)
		}
		if err == nil {
			if differs := differ(next, want); told(next) != told(want) {
				t.Fatalf("%d: %s", i, differs)
			}
		}
		if err == nil && x.adopted {
			c = next
			c.Adopted()
			in[c.bufferIndex]++
		}
		if held := c.source; held != nil && (len(held.text) == 0 || held.text[0] != 'l') {
			t.Fatalf("%d: the text that holds is gone", i)
		}
		for where := range c.buffers.memory {
			if where != c.bufferIndex && (err != nil || x.adopted) && !empty(where) {
				t.Errorf("%d: the text in %d is still held, the one in %d holds", i, where, c.bufferIndex)
			}
		}
	}
	if in[0] < 2 || in[1] < 2 || in[notBuffered] < 2 {
		t.Errorf("texts were held in %v", in)
	}
}
