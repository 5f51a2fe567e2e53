package config

import (
	"errors"
	"fmt"

	"olivearch/internal/strictyaml"
)

// What reading a file takes meanwhile, as a multiple of its size, with the configuration that is made of it.
const (
	sectionsFactor = 12 // read in sections
	wholeFactor    = 56 // read at once
)

// readingBytes returns the memory that reading a text takes, in bytes.
func readingBytes(inSections bool, textSize int) int64 {
	if inSections {
		return sectionsFactor * int64(textSize)
	}
	return wholeFactor * int64(textSize)
}

// memoryExceeded is the error of a text that can't be read within limits.memory. It wraps a strictyaml.Error.
type memoryExceeded struct{ error }

func (e memoryExceeded) Unwrap() error { return e.error }

// partialDiagnosis is the error of a text of which a section has a mistake, where reading the whole would exceed
// limits.memory: there may be more mistakes.
type partialDiagnosis struct{ error }

func (e partialDiagnosis) Unwrap() error { return e.error }

// isFinal reports whether an error of parseInSections is to be reported as it is, since the memory does not allow for
// reading the whole.
func isFinal(err error) bool {
	var exceeded memoryExceeded
	var partial partialDiagnosis
	return errors.As(err, &exceeded) || errors.As(err, &partial)
}

// readingNeed is a reading of a text in a process with limited memory.
type readingNeed struct {
	path       string
	limitAt    strictyaml.Position // of limits.memory
	limit      Size
	inUse      int64 // by the process, bytes; 0 for a new process
	textSize   int
	inSections bool
	what       string // is read, for the error
}

// check returns an error, a memoryExceeded, if the limit does not allow for the reading.
func (n readingNeed) check() error {
	bytes := max(processBytes, n.inUse) + readingBytes(n.inSections, n.textSize)
	if bytes <= int64(n.limit) {
		return nil
	}
	inUse := ""
	if n.inUse > 0 {
		inUse = fmt.Sprintf(", %d MiB of it for the configuration that holds", n.inUse>>20)
	}
	text := fmt.Sprintf("reading %s takes about %d MiB%s, more than the %d MiB of limits.memory",
		n.what, roundedUpMiB(bytes), inUse, n.limit>>20)
	return memoryExceeded{strictyaml.Error{File: n.path, Position: n.limitAt, Key: "limits.memory", Text: text}}
}
