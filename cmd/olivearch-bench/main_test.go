package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"olivearch/internal/stats"
)

const scenarioText = `
name: tiny
length: 500ms
repeats: 3
contenders: [olivearch, least]
fleet: [{name: n, count: 2, cores: 2, service: 5ms}]
load: [{name: maps, rate: 200, repeat: safe}]
bounds: [{figure: breaches, most: 0}]
`

func writeFile(t *testing.T, folder, name, text string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := dispatch(t.Context(), args, &out)
	return out.String(), err
}

// TestRunCompareReport: run writes the figures and a page. Compared with itself, a result has no differences; a slower
// fleet is a regression, an error unless it is within --most. A broken bound is an error of run.
func TestRunCompareReport(t *testing.T) {
	folder := t.TempDir()
	path := writeFile(t, folder, "tiny.yaml", scenarioText)
	out, err := runCommand(t, "run", "--mode", "simulated", "--out", folder, path)
	if err != nil || !strings.Contains(out, "holds:  breaches of olivearch is 0") {
		t.Fatal(out, err)
	}
	result := filepath.Join(folder, "tiny-simulated.json")
	if out, err = runCommand(t, "compare", result, result); err != nil ||
		strings.Contains(out, "worse") || strings.Contains(out, "better") {
		t.Errorf("the same result: %s %v", out, err)
	}
	// The regression: a request takes 8 ms of service instead of 5 ms.
	if _, err = runCommand(t, "run", "--mode", "simulated", "--out", filepath.Join(folder, "slow"), writeFile(
		t, folder, "slow.yaml", strings.Replace(scenarioText, "service: 5ms", "service: 8ms", 1),
	)); err != nil {
		t.Fatal(err)
	}
	slow := filepath.Join(folder, "slow", "tiny-simulated.json")
	if out, err = runCommand(t, "compare", "--figures", "p50", slow, result); err == nil ||
		!strings.Contains(out, "worse") {
		t.Errorf("a regression: %s %v", out, err)
	}
	if out, err = runCommand(t, "compare", "--figures", "p50", "--most", "3", slow, result); err != nil {
		t.Errorf("a regression within what is allowed: %s %v", out, err)
	}
	if _, err = runCommand(t, "report", "--svg", filepath.Join(folder, "svg"), result); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"tiny-simulated.html", "svg/tiny-simulated-latency.svg"} {
		if info, err := os.Stat(filepath.Join(folder, name)); err != nil || info.Size() < 1000 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if out, err = runCommand(t, "run", "--mode", "simulated", writeFile(
		t, folder, "b.yaml", strings.Replace(scenarioText, "breaches, most: 0", "p99, most: 0.1", 1),
	)); err == nil || !strings.Contains(out, "BROKEN") {
		t.Errorf("a broken bound: %s %v", out, err)
	}
}

func TestWrongUsage(t *testing.T) {
	folder := t.TempDir()
	good := writeFile(t, folder, "tiny.yaml", scenarioText)
	bad := writeFile(t, folder, "bad.yaml", strings.Replace(scenarioText, "fleet", "flet", 1))
	other, err := json.Marshal(&stats.Result{Scenario: "x", Turns: []stats.Turn{{}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args  []string
		usage bool
		want  string
	}{
		{[]string{"runn"}, true, `did you mean "run"?`},
		{[]string{"run"}, true, "run wants scenarios"},
		{[]string{"run", "--mode", "real", good}, true, "run wants scenarios"},
		{[]string{"run", "--fast", good}, true, "not defined: -fast"},
		{[]string{"run", "--mode", "simulated", "--contenders", "reverse", good}, false, "none of the contenders reverse"},
		{[]string{"run", bad}, false, `bad.yaml:6:1: unknown key "flet"; did you mean "fleet"?`},
		{[]string{"check", good, bad}, false, `bad.yaml:6:1`},
		{[]string{"compare", good}, true, "compare wants two results"},
		{[]string{"compare", good, good}, false, "tiny.yaml: invalid character"},
		{[]string{"compare", "--figures", "p98", good, good}, true, `no figure "p98"`},
		{[]string{"report", writeFile(t, folder, "e.json", "{}")}, false, "e.json: the result has no turns"},
		{[]string{"list", t.TempDir()}, false, "no scenarios are in"},
	} {
		_, err := runCommand(t, c.args...)
		if err == nil || errors.Is(err, errUsage) != c.usage || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v", c.args, err)
		}
	}
	if _, err := runCommand(
		t, "compare", writeFile(t, folder, "x.json", string(other)),
		writeFile(t, folder, "y.json", strings.Replace(string(other), `"x"`, `"y"`, 1)),
	); err == nil || !strings.Contains(err.Error(), "not the same scenario") {
		t.Error(err)
	}
	if out, err := runCommand(t, "check", good); err != nil || !strings.Contains(out, "well: 2 contenders, 1 bounds") {
		t.Error(out, err)
	}
	if out, err := runCommand(t, "list", "../../scenarios"); err != nil || !strings.Contains(out, "cap-binding.yaml") {
		t.Error(out, err)
	}
	if out, err := runCommand(t, "--help"); err != nil || !strings.Contains(out, "olivearch-bench run") {
		t.Error(out, err)
	}
	if out, err := runCommand(t, "run", "--help"); err == nil ||
		!strings.Contains(out, "Usage: olivearch-bench run") || !strings.Contains(out, "-mode") {
		t.Error(out, err)
	}
}
