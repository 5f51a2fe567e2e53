package config

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestErrorNearEndOfLargeText: an error near the end of a configuration with 155,000 entries is reported with line and
// column within 5 s.
func TestErrorNearEndOfLargeText(t *testing.T) {
	text := generatedText(490, 15000, 140000)
	c, err := Parse("c.yaml", text)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(text), "\n")
	for _, x := range []struct{ from, to, want string }{
		{"quota", "qouta", `c.yaml:155000:19: unknown key "qouta"; did you mean "quota"?`},
		{"quota: ", "quota: -", "c.yaml:155000:26: the quota must be a rate"},
		{"}", "", "c.yaml:154999:1: did not find expected ',' or '}'"}, // the line that the parser reports
	} {
		invalid := slices.Clone(lines)
		invalid[154999] = strings.Replace(invalid[154999], x.from, x.to, 1)
		edit := []byte(strings.Join(invalid, ""))
		if _, _, diagnosis := c.parseChanges("c.yaml", edit); diagnosis == nil {
			t.Errorf("%q for %q: not diagnosed without parsing the whole text", x.to, x.from)
		}
		began := time.Now()
		_, err := c.reparse("c.yaml", edit)
		took := time.Since(began)
		if took > 5*time.Second {
			t.Errorf("%q for %q took %v", x.to, x.from, took)
		}
		if err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: %v", x.to, x.from, err)
		}
	}
}

// TestErrorWithLittleMemory: if limits.memory is too small for parsing the whole text, an error still has its position,
// from the batch in which it was found.
func TestErrorWithLittleMemory(t *testing.T) {
	text := strings.Replace(string(generatedText(10, 100, 40000)), "memory: 1GiB", "memory: 64MiB", 1)
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

// TestDiagnosesMatchWhole: for random errors among many entries, diagnoses that are found without parsing the whole
// text are the errors that parsing the whole text gives.
func TestDiagnosesMatchWhole(t *testing.T) {
	text := string(generatedText(40, 80, 120))
	c, err := Parse("/c/c.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(36, 155))
	invalid, diagnosed := 0, 0
	lines := strings.SplitAfter(text, "\n")
	for range 400 {
		at := 10 + rng.IntN(len(lines)-15) // edits are within four lines
		middle := withRandomEdits(rng, strings.Join(lines[at:at+4], ""))
		edit := strings.Join(lines[:at], "") + middle + strings.Join(lines[at+4:], "")
		result := checkAgainstWhole(t, c, edit)
		if result.next == nil {
			invalid++
		}
		if result.diagnosed {
			diagnosed++
		}
	}
	if diagnosed < invalid/5 {
		t.Errorf("only %d of %d errors were diagnosed without parsing the whole text", diagnosed, invalid)
	}
	t.Logf("%d of %d errors were diagnosed without parsing the whole text", diagnosed, invalid)
}
