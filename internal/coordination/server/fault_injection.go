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

// ruleVariable names the environment variable with the rule that the server breaks, one of the rule constants. Fault
// tests set it to show that their checks detect the breach.
const ruleVariable = "OLIVEARCH_GROUND_PLANT"

// durableVariable names the environment variable that, if set, makes the server keep a copy of the synced content next
// to its file: the content that a power failure would leave.
const durableVariable = "OLIVEARCH_GROUND_DURABLE"

// The rules that can be broken.
const (
	ruleAnswerBeforeQuorum = "early"    // a proposal gets its response before any other server has stored it
	ruleReuseMemberID      = "amnesia"  // an empty folder gets the id of the lost member
	ruleIgnoreFencing      = "unfenced" // a lease is renewed under any fencing token
	ruleSkipSync           = "unsynced" // writes are not synced
)

// The disk faults in the file that the environment variable disk.FaultVariable names.
const (
	diskFull      = "full"  // a write fails
	diskSlow      = "slow"  // a write is delayed by the duration that follows the word
	diskSyncError = "error" // a sync fails
	diskTornWrite = "torn"  // the power fails when half of the pages are written
)

func ruleBroken(rule string) bool { return os.Getenv(ruleVariable) == rule }

// answerBeforeQuorum responds to a proposal at once if ruleAnswerBeforeQuorum is broken. It reports whether it did.
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

// forgeFencingToken sets the token of an AcquireLease to that of the holder's current lease if ruleIgnoreFencing is
// broken.
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

// newMemberID returns the id of a member with an empty folder. If ruleReuseMemberID is broken, the id depends only on
// the name, so that a server with an emptied folder counts as the lost member.
func newMemberID(name string, generateID func() uint64) uint64 {
	if !ruleBroken(ruleReuseMemberID) {
		return generateID()
	}
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()>>2 | 1
}

// injectWriteFault simulates the faults of a disk before a write. Package disk describes the file that selects them.
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

// diskFault returns the fault to simulate now. The kind is empty if there is none.
func diskFault() (kind, argument string) {
	text, err := os.ReadFile(os.Getenv(disk.FaultVariable))
	if err != nil {
		return "", ""
	}
	kind, argument, _ = strings.Cut(strings.TrimSpace(string(text)), " ")
	return kind, argument
}

const durableSuffix = ".durable"

// syncsBeforeSkip is the number of syncs that are kept even if ruleSkipSync is broken: they assign the folder to a
// member of a cluster.
const syncsBeforeSkip = 8

// syncs counts the writes after which the durable copy is due for an update. Only the goroutine that uses the store may
// access it.
var syncs int

// injectSyncFault simulates the faults of a disk after a write. Either the sync fails, or the power fails (the process
// exits) when half of the changed pages are on disk but no meta page. Without a fault it updates the durable copy.
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
	if ruleBroken(ruleSkipSync) && syncs > syncsBeforeSkip {
		return nil
	}
	temporary := path + ".copying"
	return errors.Join(os.WriteFile(temporary, content, 0o600), os.Rename(temporary, path+durableSuffix))
}

// tearWrite reverts the file to the durable copy, except for every second page that the last write changed. The two
// meta pages are reverted too.
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
