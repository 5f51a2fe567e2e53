//go:build faultinject

package server

import (
	"bytes"
	"errors"
	"hash/fnv"
	"os"
	"strings"
	"syscall"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/disk"
)

// PlantVariable names a rule that the voter breaks, so that tests can show that it would be found: early, amnesia, unfenced, unsynced.
const PlantVariable = "OLIVEARCH_GROUND_PLANT"

// DurableVariable, if set, has the voter keep a copy of what it has synced beside its file: what a loss of power leaves.
const DurableVariable = "OLIVEARCH_GROUND_DURABLE"

func planted(what string) bool { return os.Getenv(PlantVariable) == what }

// early answers before any other voter has the promise.
func early(p *proposal, c *core) bool {
	if !planted("early") {
		return false
	}
	p.answer(client.Response{Outcome: client.OutcomeDone, Result: state.Result{Revision: c.applied + 1, Clock: c.state.Clock(), FencingToken: c.applied + 1}, Stored: 1, Voters: len(c.state.Members())})
	return true
}

// twist lets a lease be had under any fence.
func twist(command state.Command, s *state.State) {
	take, ok := command.(*state.AcquireLease)
	if !ok || !planted("unfenced") {
		return
	}
	for _, b := range s.Resources() {
		for _, l := range b.Leases() {
			if b.Name == take.Resource && l.Holder == take.Holder {
				take.FencingToken = l.FencingToken
			}
		}
	}
}

// identityOf is the same for every life of a disk of the name, where that is planted.
func identityOf(name string, draw func() uint64) uint64 {
	if !planted("amnesia") {
		return draw()
	}
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()>>2 | 1
}

const durableEnding = ".durable"

// spoil does what a failing disk does before a write; see internal/disk for the file that says so.
func spoil(path string) error {
	switch kind, rest := failing(); kind {
	case "full":
		return &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	case "slow":
		if d, err := time.ParseDuration(rest); err == nil {
			time.Sleep(d)
		}
	}
	return nil
}

func failing() (kind, rest string) {
	text, err := os.ReadFile(os.Getenv(disk.Variable))
	if err != nil {
		return "", ""
	}
	kind, rest, _ = strings.Cut(strings.TrimSpace(string(text)), " ")
	return kind, rest
}

// synced does what a failing disk does after a write: it does not confirm it (error), or the power goes while half of the pages are
// there that the step wrote, and its head not yet (torn). And it keeps the copy of what is synced.
func synced(path string) error {
	kind, _ := failing()
	if kind == "error" {
		return &os.PathError{Op: "fdatasync", Path: path, Err: syscall.EIO}
	}
	if os.Getenv(DurableVariable) == "" && kind != "torn" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if kind == "torn" {
		if err := tear(path, text); err != nil {
			return err
		}
		os.Exit(3)
	}
	if durables++; planted("unsynced") && durables > firstSteps {
		return nil
	}
	fresh := path + ".copying"
	return errors.Join(os.WriteFile(fresh, text, 0o600), os.Rename(fresh, path+durableEnding))
}

// firstSteps are synced whatever is planted: they make the folder a member's.
const firstSteps = 8

// durables counts the steps that were synced. It belongs to the goroutine that writes.
var durables int

// tear leaves every second page that a step has written, and none of the two heads.
func tear(path string, after []byte) error {
	before, err := os.ReadFile(path + durableEnding)
	if err != nil {
		return err
	}
	page := os.Getpagesize()
	mixed := append([]byte(nil), before...)
	for at, n := 2*page, 0; at+page <= len(after); at += page {
		if at+page <= len(before) && bytes.Equal(before[at:at+page], after[at:at+page]) {
			continue
		}
		if n++; n%2 == 0 {
			continue
		}
		if len(mixed) < at+page {
			mixed = append(mixed, make([]byte, at+page-len(mixed))...)
		}
		copy(mixed[at:], after[at:at+page])
	}
	return os.WriteFile(path, mixed, 0o600)
}
