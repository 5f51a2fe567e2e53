//go:build !nextlevel

package state

// NewestFeatureLevel is the highest feature level whose commands this version knows.
const NewestFeatureLevel = 1
