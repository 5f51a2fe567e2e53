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

// ruleVariable names the environment variable with the rule that the server breaks, so that a test can show that the
// breach would be found: one of the rule constants.
const ruleVariable = "OLIVEARCH_GROUND_PLANT"

// durableVariable names the environment variable that, if set, lets the server keep a copy of what it has synced beside
// its file: what a loss of power leaves.
const durableVariable = "OLIVEARCH_GROUND_DURABLE"

// The rules that can be broken.
const (
	ruleAnswerBeforeQuorum = "early"    // a proposal is answered before any other server has it
	ruleReuseMemberID      = "amnesia"  // an empty folder gets the id of the member that was lost
	ruleIgnoreFencing      = "unfenced" // a lease is renewed under any fencing token
	ruleSkipSync           = "unsynced" // what is written is not synced
)

// The faults of a disk, as the file named by disk.Variable gives them.
const (
	diskFull      = "full"  // a write fails
	diskSlow      = "slow"  // a write begins after the duration that follows
	diskSyncError = "error" // a sync fails
	diskTornWrite = "torn"  // the power goes while half of the pages are written
)

func ruleBroken(rule string) bool { return os.Getenv(ruleVariable) == rule }

// answerBeforeQuorum answers a proposal at once where that rule is to be broken; it reports whether it did.
func answerBeforeQuorum(p *proposal, c *core) bool {
	if !ruleBroken(ruleAnswerBeforeQuorum) {
		return false
	}
	next := c.applied + 1
	p.respond(client.Response{
		Outcome: client.OutcomeDone,
		Result:  state.Result{Revision: next, Clock: c.state.Clock(), FencingToken: next},
		Stored:  1,
		Voters:  len(c.state.Members()),
	})
	return true
}

// forgeFencingToken gives an AcquireLease the token of the holder's present lease where that rule is to be broken.
func forgeFencingToken(command state.Command, current *state.State) {
	acquire, ok := command.(*state.AcquireLease)
	if !ok || !ruleBroken(ruleIgnoreFencing) {
		return
	}
	for _, resource := range current.Resources() {
		for _, lease := range resource.Leases() {
			if resource.Name == acquire.Resource && lease.Holder == acquire.Holder {
				acquire.FencingToken = lease.FencingToken
			}
		}
	}
}

// newMemberID returns the id of a member whose folder is empty. Where that rule is to be broken it follows from the
// name alone, so that an emptied folder counts as the member that was lost.
func newMemberID(name string, generateID func() uint64) uint64 {
	if !ruleBroken(ruleReuseMemberID) {
		return generateID()
	}
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()>>2 | 1
}

// injectWriteFault does what a failing disk does before a write; internal/disk describes the file that says so.
func injectWriteFault(path string) error {
	switch kind, argument := diskFault(); kind {
	case diskFull:
		return &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	case diskSlow:
		if delay, err := time.ParseDuration(argument); err == nil {
			time.Sleep(delay)
		}
	}
	return nil
}

// diskFault returns the fault that the disk has now; an empty kind: none.
func diskFault() (kind, argument string) {
	text, err := os.ReadFile(os.Getenv(disk.FaultVariable))
	if err != nil {
		return "", ""
	}
	kind, argument, _ = strings.Cut(strings.TrimSpace(string(text)), " ")
	return kind, argument
}

const durableSuffix = ".durable"

// alwaysSynced is how many syncs are real also where ruleSkipSync is broken: they make the folder a member's.
const alwaysSynced = 8

// syncs counts the writes whose durable copy was due. It belongs to the goroutine of the disk writer.
var syncs int

// injectSyncFault does what a failing disk does after a write: it does not confirm it, or the power goes while half of
// the pages that the write changed are there and the meta pages not yet. Else it keeps the durable copy.
func injectSyncFault(path string) error {
	kind, _ := diskFault()
	if kind == diskSyncError {
		return &os.PathError{Op: "fdatasync", Path: path, Err: syscall.EIO}
	}
	if os.Getenv(durableVariable) == "" && kind != diskTornWrite {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if kind == diskTornWrite {
		if err := tearWrite(path, content); err != nil {
			return err
		}
		os.Exit(3)
	}
	syncs++
	if ruleBroken(ruleSkipSync) && syncs > alwaysSynced {
		return nil
	}
	temporary := path + ".copying"
	return errors.Join(os.WriteFile(temporary, content, 0o600), os.Rename(temporary, path+durableSuffix))
}

// tearWrite leaves in the file every second page that the last write changed, and neither of the two meta pages.
func tearWrite(path string, after []byte) error {
	before, err := os.ReadFile(path + durableSuffix)
	if err != nil {
		return err
	}
	pageSize := os.Getpagesize()
	torn := append([]byte(nil), before...)
	changed := 0
	for start := 2 * pageSize; start+pageSize <= len(after); start += pageSize {
		end := start + pageSize
		if end <= len(before) && bytes.Equal(before[start:end], after[start:end]) {
			continue
		}
		changed++
		if changed%2 == 0 {
			continue
		}
		if len(torn) < end {
			torn = append(torn, make([]byte, end-len(torn))...)
		}
		copy(torn[start:], after[start:end])
	}
	return os.WriteFile(path, torn, 0o600)
}
