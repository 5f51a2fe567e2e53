//go:build !faultinject

package server

import "olivearch/internal/coordination/state"

// A build with the tag "ground" can be told to break one of its own rules, so that tests can show that it would be found; the product
// has no such door.

func early(*proposal, *core) bool                       { return false }
func twist(state.Command, *state.State)                 {}
func identityOf(name string, draw func() uint64) uint64 { return draw() }
