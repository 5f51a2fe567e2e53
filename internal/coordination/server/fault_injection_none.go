//go:build !faultinject

package server

import "olivearch/internal/coordination/state"

// The functions of this file are the points at which a build with the tag "faultinject" breaks a rule of the server or
// lets its disk fail (fault_injection.go). The product has none of that: here they do nothing.

// answerBeforeQuorum never answers a proposal early.
func answerBeforeQuorum(*proposal, *core) bool { return false }

// forgeFencingToken leaves the command as it is.
func forgeFencingToken(state.Command, *state.State) {}

// newMemberID returns the id of a member whose folder is empty.
func newMemberID(_ string, generateID func() uint64) uint64 { return generateID() }

// injectWriteFault lets every write begin.
func injectWriteFault(string) error { return nil }

// injectSyncFault lets every sync succeed.
func injectSyncFault(string) error { return nil }
