package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/faulttest/script"
)

// voter is a machine with a voter of the ledger.
type voter struct {
	*host
	index int
}

// distrusts is the exit status of a voter that does not trust its folder or its disk.
const distrusts = 3

func (w *world) buildVoters() error {
	for i := range w.f.Voters.Count {
		h, err := w.newHost(script.Process{Kind: script.Voter, Index: i}.String(), firstVoter+i)
		if err != nil {
			return err
		}
		v := &voter{h, i}
		h.command, h.healthy, h.excused = v.makeReady, v.answers, v.mayEnd
		w.voters = append(w.voters, v)
	}
	return nil
}

// startVoters starts the voters and waits until one leads.
func (w *world) startVoters() error {
	if len(w.voters) == 0 {
		return nil
	}
	errs := make([]error, len(w.voters))
	var all sync.WaitGroup
	for i, v := range w.voters {
		all.Go(func() { errs[i] = v.start(w.ctx) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for end := time.Now().Add(standinsIn); time.Now().Before(end); time.Sleep(askHealth) {
		if w.leader() >= 0 {
			return nil
		}
	}
	return fmt.Errorf("no voter leads after %v; %s", standinsIn, w.voters[0].lastWords())
}

func (w *world) balancerHosts() (all []*host) {
	for _, b := range w.balancers {
		all = append(all, b.host)
	}
	return all
}

func (w *world) voterHosts() (all []*host) {
	for _, v := range w.voters {
		all = append(all, v.host)
	}
	return all
}

// hosts are all machines.
func (w *world) hosts() []*host { return append(w.balancerHosts(), w.voterHosts()...) }

// leader is the voter that leads by its own word; -1: none says so.
func (w *world) leader() int {
	addresses := map[string]string{}
	for _, v := range w.voters {
		addresses[v.name] = v.address
	}
	c := client.New("ground", addresses)
	defer c.Close()
	found := make(chan int, len(w.voters))
	for i, v := range w.voters {
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, leaderWithin)
			defer cancel()
			if a, err := c.Call(ctx, v.name, client.Request{Operation: client.OpIdentify}); err == nil && a.Leader == v.name {
				found <- i
				return
			}
			found <- -1
		}()
	}
	leads := -1
	for range w.voters {
		leads = max(leads, <-found)
	}
	return leads
}

const leaderWithin = 300 * time.Millisecond

// voterIndex is the voter that a word means: the one that leads now, or the one of a number.
func (w *world) voterIndex(p script.Process) int {
	if p.Index != script.Leader {
		return p.Index
	}
	return max(0, w.leader())
}

// led puts the voter that leads now in the place of the word for it.
func (w *world) led(all []script.Process) []script.Process {
	for i, p := range all {
		if p.Kind == script.Voter {
			all[i].Index = w.voterIndex(p)
		}
	}
	return all
}

// answers tells whether the process takes connections.
func (v *voter) answers() bool {
	ctx, cancel := context.WithTimeout(v.ctx, time.Second)
	defer cancel()
	c, _, _, err := client.Dial(ctx, v.address, client.Hello{Role: client.RoleClient, Name: "ground"})
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// mayEnd tells whether a voter may end by itself like this: it does not trust its disk, and a fault has seen to that.
func (v *voter) mayEnd(failure error) bool {
	var exit *exec.ExitError
	if !errors.As(failure, &exit) || exit.ExitCode() != distrusts {
		return false
	}
	v.world.mu.Lock()
	defer v.world.mu.Unlock()
	v.counts.distrusted++
	return true
}

// losesPower tells whether a script has faults that take away what was not synced.
func (w *world) losesPower() bool {
	return slices.ContainsFunc(w.f.Faults, func(x script.Fault) bool { return x.Kind == "power" || x.Disk == "torn" })
}

func (v *voter) disk() string { return filepath.Join(v.folder, "disk") }

// makeReady writes a voter's configuration.
func (v *voter) makeReady(int) (*exec.Cmd, error) {
	if err := os.MkdirAll(v.disk(), 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(v.folder, "voter.yaml")
	if err := os.WriteFile(path, []byte(v.configuration(v.address, v.disk())), 0o644); err != nil {
		return nil, err
	}
	cmd := exec.Command(v.ledger, "run", path)
	cmd.Env = append(v.environment(v.folder), plantVariable+"="+v.f.Voters.Plant)
	if v.losesPower() {
		cmd.Env = append(cmd.Env, durableVariable+"=1")
	}
	return cmd, nil
}

// configuration is a voter's file, with the addresses at which it reaches the others.
func (v *voter) configuration(listen, disk string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\nlisten: '%s'\nfolder: '%s'\nreplace_after: %v\nvoters:\n", v.name, listen, disk, time.Duration(v.f.Voters.ReplaceAfter))
	for _, other := range v.voters {
		fmt.Fprintf(&b, "  %s: '%s'\n", other.name, other.service.At(firstVoter+v.index))
	}
	if v.f.Voters.Copies > 0 {
		fmt.Fprintf(&b, "copies: %d\n", v.f.Voters.Copies)
	}
	return b.String()
}

// The variables of a test build's voters: a rule that they break, and whether they keep a copy of what is synced.
const (
	plantVariable   = "OLIVEARCH_GROUND_PLANT"
	durableVariable = "OLIVEARCH_GROUND_DURABLE"
)

// fallen tells whether a machine should run, and its process has ended by itself.
func (h *host) fallen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wanted && h.process != nil && h.process.EndedAt() > 0
}

// flip kills voters, changes some bits on each one's disk and starts it again. It has to find that, and not to vote as the one that it was: its
// disk is then taken away, and it comes back empty.
func (x *fault) flip() error {
	rng := rand.New(rand.NewPCG(uint64(x.f.Seed), uint64(x.index)))
	for _, h := range x.hosts() {
		x.down(h, func() {})
		path := filepath.Join(h.folder, "disk", "ledger.db")
		if err := flipBits(path, rng); errors.Is(err, os.ErrNotExist) {
			x.restart(h, func() {}) // another fault has taken the disk
			continue
		} else if err != nil {
			return err
		}
		if err := h.start(x.ctx); err != nil {
			return err
		}
		go func() {
			h.mu.Lock()
			p := h.process
			h.mu.Unlock()
			if !p.Await(flipFound) || p.Failure() == nil { // a bit that nobody reads, such as of a page that is free, changes nothing
				return
			}
			x.removeDisk(h)
			x.restart(h, func() {})
		}()
	}
	return nil
}

// flips is how many bits are changed: much of the file is pages that are free, and a bit there changes nothing.
const flips = 32

// flipFound is within what time a voter finds that its disk was changed.
const flipFound = 2 * time.Second

func flipBits(path string, rng *rand.Rand) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return fmt.Errorf("%s is empty", path)
	}
	for range flips {
		text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
	}
	return os.WriteFile(path, text, 0o600)
}

// power takes the power away from voters: what they had written and not synced is gone.
func (x *fault) power() error {
	x.lift = x.together(func(h *host) func() {
		return x.down(h, func() {
			path := filepath.Join(h.folder, "disk", "ledger.db")
			switch err := os.Rename(path+durableEnding, path); {
			case errors.Is(err, os.ErrNotExist): // nothing was ever synced
				x.removeDisk(h)
			case err != nil:
				x.fail(err)
			}
		})
	})
	return nil
}

// durableEnding is that of the copy which a test build makes of what it has synced.
const durableEnding = ".durable"

// twin starts a second process of a voter's name, with a copy of its disk, on another machine.
func (x *fault) twin() error {
	var lifts []func()
	for i, p := range x.led(x.f.Choose(x.Of, x.index)) {
		v := x.voters[p.Index]
		t, err := x.newHost(fmt.Sprintf("%s-twin-%d-%d", v.name, x.index, i), firstVoter+500+x.index*10+i)
		if err != nil {
			return err
		}
		t.healthy, t.excused = func() bool { return true }, v.mayEnd
		t.command = func(int) (*exec.Cmd, error) {
			disk := filepath.Join(t.folder, "disk")
			if err := os.MkdirAll(disk, 0o755); err != nil {
				return nil, err
			}
			text, err := os.ReadFile(filepath.Join(v.disk(), "ledger.db"))
			if err != nil {
				return nil, err
			}
			path := filepath.Join(t.folder, "voter.yaml")
			if err := errors.Join(os.WriteFile(filepath.Join(disk, "ledger.db"), text, 0o600), os.WriteFile(path, []byte(v.configuration(t.address, disk)), 0o644)); err != nil {
				return nil, err
			}
			cmd := exec.Command(v.ledger, "run", path)
			cmd.Env = t.environment(t.folder)
			return cmd, nil
		}
		if err := t.start(x.ctx); err != nil {
			return err
		}
		lifts = append(lifts, func() { t.kill() })
	}
	x.lift = ends(lifts)
	return nil
}
