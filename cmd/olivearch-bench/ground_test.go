package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const faultScriptText = `name: tiny
length: 1s
balancers: {count: 2}
nodes: {count: 2}
load: {rate: 10}
faults:
  - {at: 200ms, for: 200ms, kind: stop, of: [b-0]}
`

// build builds a program of this repository into a temporary folder and returns its path.
func build(t *testing.T, name string, tags string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command(
		"go", "build", "-tags", tags, "-o", path, "olivearch/cmd/"+name,
	).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// TestGroundCommand: the command plays a script, prints the result in JSON, writes a timeline, and exits by whether the
// bounds hold. Wrong arguments and scripts are reported.
func TestGroundCommand(t *testing.T) {
	bench, program := build(t, "olivearch-bench", ""), build(t, "olivearch", "faultinject")
	folder := t.TempDir()
	good := writeFile(t, folder, "tiny.yaml", faultScriptText)
	out, err := exec.Command(bench, "ground", "--olivearch", program, "--out", folder, "--seed", "3", good).Output()
	if err != nil || !strings.Contains(string(out), `"holds":true`) || !strings.Contains(string(out), `"seed":3`) {
		t.Errorf("%v %s", err, out)
	}
	if info, err := os.Stat(filepath.Join(folder, "tiny-3.svg")); err != nil || info.Size() < 1000 {
		t.Errorf("the timeline: %v", err)
	}
	// A bound that can't hold, with random faults: exit status 1, and a shorter schedule that is a valid script.
	broken := writeFile(t, folder, "broken.yaml", faultScriptText+"bounds: [{figure: asked, least: 1000000}]\n")
	out, err = exec.Command(bench, "ground", "--olivearch", program, "--out", folder, "--faults", "1", broken).Output()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 || !strings.Contains(string(out), `"holds":false`) {
		t.Errorf("%v %s", err, out)
	}
	if out, err := exec.Command(
		bench, "ground", "--check", filepath.Join(folder, "tiny-1.yaml"),
	).CombinedOutput(); err != nil || !strings.Contains(string(out), "0 faults") {
		t.Errorf("the shorter schedule: %v %s", err, out)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"ground"}, "ground wants scripts"},
		{
			[]string{"ground", writeFile(t, folder, "bad.yaml", strings.Replace(faultScriptText, "stop", "stopp", 1))},
			`bad.yaml:7:35: there is no fault "stopp"; did you mean "stop"?`,
		},
	} {
		if out, err := runCommand(t, c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %s %v", c.args, out, err)
		}
	}
	if out, err := runCommand(t, "ground", "--figures"); err != nil || !strings.Contains(out, "deaths_in_flight") {
		t.Error(out, err)
	}
}

// children returns the direct child processes of a process.
func children(t *testing.T, parent int) (all []int) {
	t.Helper()
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", parent)) // CONFIG_PROC_CHILDREN, proc(5)
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		for _, word := range strings.Fields(string(text)) {
			pid, err := strconv.Atoi(word)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, pid)
		}
	}
	return all
}

// hasEnded reports whether a process has ended. A zombie, for which no process has waited yet, has ended.
func hasEnded(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(rest, "Z")
}

// TestKilledGroundLeavesNoProcess: if olivearch-bench is killed during a fault script, every process that it has
// started ends too, even one that the script had stopped at that time.
func TestKilledGroundLeavesNoProcess(t *testing.T) {
	bench, program := build(t, "olivearch-bench", ""), build(t, "olivearch", "faultinject")
	script := writeFile(t, t.TempDir(), "long.yaml", strings.Replace(
		strings.Replace(faultScriptText, "length: 1s", "length: 60s", 1), "for: 200ms", "for: 50s", 1))
	cmd := exec.Command(bench, "ground", "--olivearch", program, script)
	progress, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(progress)
	for lines.Scan() && !strings.Contains(lines.Text(), "stop begins") {
	}
	started := children(t, cmd.Process.Pid)
	if len(started) < 4 { // two balancers, the nodes, the clients
		t.Errorf("only %d processes: %v", len(started), started)
	}
	if err := cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	cmd.Wait()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		var left []int
		for _, pid := range started {
			if !hasEnded(pid) {
				left = append(left, pid)
			}
		}
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("left behind: %v of %v", left, started)
		}
	}
}
