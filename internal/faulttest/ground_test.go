package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"olivearch/internal/faulttest/script"
	"olivearch/internal/standin/faultybalancer"
	"olivearch/internal/standin/fleetsim"
)

// The test's program is what a ground starts: stand-ins, and balancers that break a rule.
const roleVariable = "GROUND_ROLE"

// The built programs under test.
var program, ledgerProgram string

func TestMain(m *testing.M) {
	if faultybalancer.LeftBehind() {
		return
	}
	role, _ := os.LookupEnv(roleVariable)
	name := filepath.Base(os.Args[0])
	var err error
	switch {
	case role == "standin":
		err = fleetsim.Run(os.Stdin, os.Stdout)
	case strings.HasPrefix(name, roguePrefix): // a ground gives balancers no further word: the breach is in the name
		err = faultybalancer.Run(strings.TrimPrefix(name, roguePrefix))
	default:
		os.Exit(run(m))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "ground-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	if program, ledgerProgram, err = Build(context.Background(), folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

const roguePrefix = "rogue-"

func options(t *testing.T, program string) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Program: program, Ledger: ledgerProgram, Self: []string{self}, SelfEnv: []string{roleVariable + "=standin"}}
}

func parsed(t *testing.T, text string) *script.File {
	t.Helper()
	f, err := script.Parse("test.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// places bounds how many grounds are played at once: they wait most of the time, so there are more than cores. One with many processes
// takes several, one at a time, or tests of other packages that measure beside it would measure it.
var (
	places = make(chan struct{}, 6)
	large  sync.Mutex
)

// placesOf is how many a script takes: one for each ten of its balancers.
func placesOf(f *script.File) int { return min(cap(places), 1+f.Balancers.Count/10) }

// play begins to play a script, and returns what waits for its result.
func play(t *testing.T, program string, f *script.File) (result func(*testing.T) *Result) {
	t.Helper()
	o := options(t, program)
	var r *Result
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		large.Lock()
		for range placesOf(f) {
			places <- struct{}{}
		}
		large.Unlock()
		defer func() {
			for range placesOf(f) {
				<-places
			}
		}()
		r, err = Play(t.Context(), f, o)
	}()
	return func(t *testing.T) *Result {
		t.Helper()
		<-done
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%v %v", r.Figures, r.Faults)
		return r
	}
}

// TestJudgeFindsPlantedBreaches runs a balancer that breaks one rule, for each way to break one, and an honest one.
func TestJudgeFindsPlantedBreaches(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	const load = `
name: planted
length: 1500ms
balancers: {count: 2, run: platform}
nodes: {count: 3, tip_multiple: 1, tip_after: 300ms}
list: {notice: 50ms}
load: {rate: 40, work: 2ms, deadline: 400ms}
`
	const drain = load + "faults: [{at: 100ms, kind: drain, of: [n-0]}]\n"
	const cold = load + "faults: [{at: 100ms, for: 100ms, kind: crash, of: [n-0]}]\n"
	const kill = load + "faults: [{at: 300ms, for: 1100ms, kind: kill, of: [b-0]}]\n"
	cases := []struct {
		breach, script, want string
		result               func(*testing.T) *Result
	}{
		{faultybalancer.Honest, load, "", nil},
		{faultybalancer.Silent, load, "has no answer", nil},
		{faultybalancer.Late, load, "after its deadline", nil},
		{faultybalancer.Forged, load, "what no node made", nil},
		{faultybalancer.Twice, load, "was sent again", nil},
		{faultybalancer.Both, strings.Replace(load, "work: 2ms", "work: 120ms, repeat: safe", 1), "at once", nil},
		{faultybalancer.Refuses, load, "was refused", nil},
		{faultybalancer.After, load, "after its final answer", nil},
		{faultybalancer.KeepsDrain, strings.Replace(drain, "1500ms", "2500ms", 1), "after it was told that it leaves", nil},
		{faultybalancer.Floods, strings.Replace(cold, "rate: 40, work: 2ms", "rate: 120, work: 20ms", 1), "cold n-0 was sent", nil},
		{faultybalancer.Undead, kill, "after its process had ended", nil},
	}
	folder := t.TempDir()
	for i, c := range cases {
		link := filepath.Join(folder, roguePrefix+c.breach)
		if err := os.Symlink(self, link); err != nil {
			t.Fatal(err)
		}
		cases[i].result = play(t, link, parsed(t, c.script))
	}
	for _, c := range cases {
		t.Run(c.breach, func(t *testing.T) {
			r := c.result(t)
			found := strings.Join(r.Breaches, "\n")
			if c.want == "" && (!r.Holds || r.Figures["asked"] == 0) {
				t.Errorf("an honest balancer: %v %v", r.Breaches, r.Crashes)
			} else if !strings.Contains(found, c.want) {
				t.Errorf("not found: %q in %s", c.want, found)
			}
		})
	}
}
