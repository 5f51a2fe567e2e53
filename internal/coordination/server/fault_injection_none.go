//go:build !faultinject

package server

import "olivearch/internal/coordination/state"

// A build with the tag "faultinject" replaces the functions of this file by those of fault_injection.go, which break a
// rule of the server or simulate disk faults. Without the tag they inject nothing.

// answerBeforeQuorum never responds early.
func answerBeforeQuorum(*proposal, *core) bool { return false }

// forgeFencingToken leaves the command unchanged.
func forgeFencingToken(state.Command, *state.State) {}

// newMemberID returns the id of a member with an empty folder.
func newMemberID(_ string, generateID func() uint64) uint64 { return generateID() }

// injectWriteFault never fails or delays a write.
func injectWriteFault(string) error { return nil }

// injectSyncFault never fails.
func injectSyncFault(string) error { return nil }
