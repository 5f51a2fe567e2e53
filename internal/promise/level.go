//go:build !nextlevel

package promise

// Newest is the highest level of commands that this version knows.
const Newest = 1
