//go:build !nextlevel

package state

// NewestFeatureLevel is the highest feature level of which this version knows the commands.
const NewestFeatureLevel = 1
