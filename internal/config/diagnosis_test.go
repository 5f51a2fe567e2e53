package config

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

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
		{"quota: ", "quota: -", "c.yaml:155000:26: the quota must be a rate"},
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
		took := time.Since(began)
		if took > 5*time.Second {
			t.Errorf("%q for %q: after %v", x.to, x.from, took)
		}
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: %v", x.to, x.from, err)
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
		{
			"tenant-039000: {", "tenant-039000: &x {",
			"c.yaml:2:18: reading the file as a whole, which an error or anchors in it require, takes about 75 MiB",
		},
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
	rng := rand.New(rand.NewPCG(36, 155))
	wrong, diagnosed := 0, 0
	lines := strings.SplitAfter(text, "\n")
	for range 400 {
		at := 10 + rng.IntN(len(lines)-15) // the edits stand near each other
		middle := withRandomEdits(rng, strings.Join(lines[at:at+4], ""))
		edit := strings.Join(lines[:at], "") + middle + strings.Join(lines[at+4:], "")
		result := checkAgainstWhole(t, c, edit)
		if result.next == nil {
			wrong++
		}
		if result.diagnosed {
			diagnosed++
		}
	}
	if diagnosed < wrong/5 {
		t.Errorf("%d of %d mistakes were diagnosed by what stands around them", diagnosed, wrong)
	}
	t.Logf("%d of %d mistakes were diagnosed by what stands around them", diagnosed, wrong)
}
