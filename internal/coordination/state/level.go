//go:build !nextlevel

package state

// NewestFeatureLevel is the highest level of commands that this version knows.
const NewestFeatureLevel = 1
