package faulttest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/faulttest/schedule"
	"olivearch/internal/standin/scripted"
)

const fiveVoters = `
balancers: {count: 1}
nodes: {count: 1}
load: {rate: 1}
voters: {count: 5, clients: 6, rate: 25}
`

// TestPromises: voters of the ledger as processes, and faults between them. In each, what was promised is held at the end, the history
// could have been, no lease exceeds its bound, no slot is given twice, and no copy is older than it says. The scripts in
// faultscripts/promises/ have the cases at length.
func TestPromises(t *testing.T) {
	for _, c := range []struct {
		name, script string
		shown        func(f map[string]float64) bool
	}{
		{"two of five disks are lost at once, then the next two", fiveVoters + `
name: two-lost
length: 13s
faults:
  - {at: 500ms, for: 100ms, kind: lose, of: [v-0, v-1]}
  - {at: 8s, for: 100ms, kind: lose, of: [v-2, leader]}
`, func(f map[string]float64) bool { return f["restarts"] >= 3 && f["promises"] > 200 }},
		{"the leader stands still, and resumes", fiveVoters + `
name: stopped
length: 7s
faults: [{at: 1s, for: 3s, kind: stop, of: [leader]}]
`, func(f map[string]float64) bool { return f["promises"] > 100 && f["yes_gap"] < 3000 }},
		{"the leader's words do not arrive, then what it is told does not, then one reaches all but one", fiveVoters + `
name: one-way
length: 9s
faults:
  - {at: 500ms, for: 2s, kind: cut, way: back, from: [voters], to: [leader]}
  - {at: 3500ms, for: 2s, kind: cut, way: there, from: [voters], to: [leader]}
  - {at: 6500ms, for: 1500ms, kind: cut, from: [v-0], to: [v-1]}
  - {at: 6500ms, for: 1500ms, kind: cut, from: [v-1], to: [v-0]}
`, func(f map[string]float64) bool { return f["promises"] > 100 }},
		{"the power goes for all in the middle of promises, and all are killed", fiveVoters + `
name: power
length: 8s
faults:
  - {at: 1s, for: 100ms, kind: power, of: [voters]}
  - {at: 4s, for: 100ms, kind: kill, of: [voters]}
`, func(f map[string]float64) bool { return f["restarts"] >= 10 && f["promises"] > 50 }},
		{"disks are full, fail, are slow, tear a write, and bits flip", fiveVoters + `
name: disks
length: 14s
faults:
  - {at: 500ms, for: 1s, kind: disk, disk: full, of: [v-0]}
  - {at: 3s, for: 1s, kind: disk, disk: error, of: [leader]}
  - {at: 6s, for: 1s, kind: disk, disk: slow, delay: 2s, of: [leader]}
  - {at: 9s, for: 1s, kind: disk, disk: torn, of: [v-2]}
  - {at: 11s, kind: flip, of: [v-3]}
`, func(f map[string]float64) bool { return f["distrusted"] >= 3 && f["promises"] > 100 }},
		{"a second process has a copy of a voter's disk, and a clock is an hour ahead", fiveVoters + `
name: twin
length: 8s
faults:
  - {at: 0s, kind: clock, offset: 1h, of: [v-0]}
  - {at: 500ms, for: 6s, kind: twin, of: [v-1]}
  - {at: 2s, for: 2s, kind: stop, of: [v-1]}
`, func(f map[string]float64) bool { return f["promises"] > 100 }},
		{"staff's word holds through the loss of balancers and voters", `
name: word
length: 9s
balancers: {count: 6}
nodes: {count: 6, cores: 4}
voters: {count: 3, clients: 2}
load: {rate: 15, retries: 2}
faults:
  - {at: 500ms, for: 7s, kind: word, of: [nodes 33%]}
  - {at: 2s, for: 200ms, kind: kill, of: [balancers 50%]}
  - {at: 3s, for: 1500ms, kind: kill, of: [voters]}
  - {at: 3500ms, for: 200ms, kind: kill, of: [b-0, b-1]}
`, func(f map[string]float64) bool { return f["restarts"] >= 8 && f["served"] > 0.5 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := play(t, program, parsed(t, c.script))(t)
			if !r.Holds || !(r.Figures["promises_lost"] == 0) {
				t.Errorf("%v %v %v %v", r.Breaches, r.Crashes, r.Wrong, r.Findings)
			}
			if r.Slow == "" && !c.shown(r.Figures) {
				t.Errorf("not as it should be: %v", r.Figures)
			}
		})
	}
}

// TestDrawnVoterFaults: faults that chance has drawn. go run ./benchmarks/promises plays many.
func TestDrawnVoterFaults(t *testing.T) {
	for seed := 1; seed <= 2; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := parsed(t, fiveVoters+"name: drawn\nlength: 8s\n")
			f.Seed = seed
			f.Faults = schedule.Faults(f, 6)
			if r := play(t, program, f)(t); !r.Holds {
				t.Errorf("%v %v %v", r.Crashes, r.Wrong, f.Faults)
			}
		})
	}
}

// TestPlantedBreachesAreFound: voters that break one of their rules.
func TestPlantedBreachesAreFound(t *testing.T) {
	for plant, faults := range map[string]string{
		"early": `
  - {at: 500ms, for: 700ms, every: 1500ms, times: 4, kind: cut, from: [voters], to: [leader]}
  - {at: 1s, for: 300ms, every: 1500ms, times: 4, kind: kill, of: [leader]}`,
		"unfenced": `
  - {at: 500ms, for: 100ms, kind: kill, of: [v-0]}`,
		"unsynced": `
  - {at: 3s, for: 100ms, kind: power, of: [voters]}`,
		"amnesia": `
  - {at: 500ms, for: 3s, kind: stop, of: [v-2, v-3]}
  - {at: 3400ms, for: 100ms, kind: lose, of: [v-0, v-1]}
  - {at: 3400ms, for: 2s, kind: stop, of: [v-4]}`,
	} {
		t.Run(plant, func(t *testing.T) {
			t.Parallel()
			text := strings.Replace(fiveVoters, "clients: 6", "clients: 8", 1) + "name: planted\nlength: 7s\nfaults:" + faults + "\n"
			honest := play(t, program, parsed(t, text))
			found := func() bool {
				for seed := 1; seed <= 4; seed++ { // what meets what is left to chance
					f := parsed(t, text)
					f.Seed, f.Voters.Plant = seed, plant
					if r := play(t, program, f)(t); len(r.Wrong) > 0 {
						return true
					}
				}
				return false
			}()
			if !found {
				t.Errorf("voters with %q pass for good ones", plant)
			}
			if r := honest(t); !r.Holds {
				t.Errorf("voters that break no rule are blamed: %v %v", r.Wrong, r.Crashes)
			}
		})
	}
}

// processes are voters without a ground: started and ended by the test.
type processes struct {
	t         *testing.T
	addresses map[string]string
	folder    string
}

func newVoters(t *testing.T, n int) *processes {
	p := &processes{t: t, addresses: map[string]string{}, folder: t.TempDir()}
	for i := range n {
		p.addresses[fmt.Sprintf("k%d", i)] = scripted.FreeAddress(t)
	}
	return p
}

// start starts a voter of a program, from its folder; it returns what ends it.
func (p *processes) start(program, name string) *child {
	p.t.Helper()
	disk := filepath.Join(p.folder, name)
	if err := os.MkdirAll(disk, 0o755); err != nil {
		p.t.Fatal(err)
	}
	text := fmt.Sprintf("name: %s\nfolder: %s\nreplace_after: 2s\nvoters: {", name, disk)
	for other, address := range p.addresses {
		text += fmt.Sprintf("%s: '%s', ", other, address)
	}
	path := disk + ".yaml"
	if err := os.WriteFile(path, []byte(text+"}\n"), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return started(p.t, program, "run", path)
}

// propose asks until there is an answer that is sure.
func (p *processes) propose(c *client.Client, command state.Command) error {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.Propose(ctx, command)
	return err
}

// A rolling upgrade: the newer version knows a kind of promise that the older one does not. While one voter is of the older version it is
// refused; once all are new it is taken. What was promised before holds throughout.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	_, newer, err := Build(context.Background(), t.TempDir(), "nextlevel")
	if err != nil {
		t.Fatal(err)
	}
	p := newVoters(t, 3)
	running := map[string]*child{}
	for name := range p.addresses {
		running[name] = p.start(ledgerProgram, name)
	}
	c := client.New("test", p.addresses)
	defer c.Close()
	word := state.Subject{Kind: state.OutOfService, Scope: state.ScopeZone, Target: "a"}
	if err := p.propose(c, &state.SetOverride{Subject: word, By: "test"}); err != nil {
		t.Fatal(err)
	}
	for i, name := range c.Voters() {
		running[name].kill()
		running[name] = p.start(newer, name)
		if err := p.propose(c, &state.SetOverride{Subject: word, By: "test", Reason: fmt.Sprint(i)}); err != nil {
			t.Fatal(err)
		}
		s := p.read(c)
		if i < 2 && s.FeatureLevel() != 1 {
			t.Errorf("the ledger is at level %d with a voter of level 1", s.FeatureLevel())
		}
	}
	for end := time.Now().Add(20 * time.Second); p.read(c).FeatureLevel() != 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("all are new, and the level is not raised")
		}
	}
	if w, ok := p.read(c).Override(word); !ok || w.Reason != "2" {
		t.Errorf("what is held: %+v", w)
	}
	old := running["k0"]
	old.kill()
	if failed := p.start(ledgerProgram, "k0"); !failed.endsWith(t, "this version knows 1") {
		t.Error("an older version goes on with a ledger that it does not know")
	}
}

func (p *processes) read(c *client.Client) *state.State {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s, _, err := c.Read(ctx)
	if err != nil {
		p.t.Fatal(err)
	}
	return s
}

// A majority is lost for good: the one that is left gives no promise, is recovered by staff, and the others join it empty. A folder of
// another voter is refused.
func TestLostMajority(t *testing.T) {
	t.Parallel()
	p := newVoters(t, 3)
	running := map[string]*child{}
	for name := range p.addresses {
		running[name] = p.start(ledgerProgram, name)
	}
	c := client.New("test", p.addresses)
	defer c.Close()
	word := state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: "s-1"}
	if err := p.propose(c, &state.SetOverride{Subject: word, By: "test"}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) { // a yes may be of the two that are lost
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s, _, err := c.ReadLocal(ctx, "k0")
		cancel()
		if err == nil && len(s.Overrides()) == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("k0 does not have it: %v", err)
		}
	}
	for _, name := range []string{"k1", "k2"} {
		running[name].kill()
		if err := os.RemoveAll(filepath.Join(p.folder, name)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	// Of another upstream: a proposal that has no answer may come into force if the survivor led, and would clear what is looked for below.
	other := state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: "s-2"}
	if _, err := c.Propose(ctx, &state.SetOverride{Subject: other, By: "test"}); err == nil {
		t.Error("a promise without a quorum")
	}
	running["k0"].kill()
	if out := started(t, ledgerProgram, "recover", filepath.Join(p.folder, "k0.yaml")); !out.endsWith(t, "--accept-loss") {
		t.Error("recovered without a word that what is lost is lost")
	}
	if out := started(t, ledgerProgram, "recover", "--accept-loss", filepath.Join(p.folder, "k0.yaml")); !out.endsWith(t, "LOST") {
		t.Error("it does not say what may be lost")
	}
	for name := range p.addresses {
		p.start(ledgerProgram, name)
	}
	if err := p.propose(c, &state.SetOverride{Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeZone, Target: "b"}, By: "test"}); err != nil {
		t.Fatal(err)
	}
	if _, ok := p.read(c).Override(word); !ok {
		t.Error("what the last one held is gone")
	}
	for end := time.Now().Add(30 * time.Second); len(p.read(c).Members()) != 3 || p.learns(c); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the others do not join: %v", p.read(c).Members())
		}
	}
	foreign := filepath.Join(p.folder, "k3")
	if err := os.CopyFS(foreign, os.DirFS(filepath.Join(p.folder, "k1"))); err != nil {
		t.Fatal(err)
	}
	p.addresses = map[string]string{"k3": scripted.FreeAddress(t)}
	if out := p.start(ledgerProgram, "k3"); !out.endsWith(t, "is the folder of k1, not of k3") {
		t.Error("another voter's folder is taken")
	}
}

func (p *processes) learns(c *client.Client) bool {
	for _, m := range p.read(c).Members() {
		if m.Learner {
			return true
		}
	}
	return false
}
