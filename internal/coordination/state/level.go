//go:build !nextlevel

package state

// Newest is the highest level of commands that this version knows.
const Newest = 1
