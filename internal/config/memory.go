package config

import (
	"errors"
	"fmt"

	"olivearch/internal/strictyaml"
)

// Memory that parsing a file takes, including the resulting configuration, as a multiple of the file's size.
const (
	sectionsFactor = 12 // parsed in sections
	wholeFactor    = 56 // parsed as a whole
)

// readingBytes returns the memory that parsing a text takes, in bytes.
func readingBytes(inSections bool, textSize int) int64 {
	if inSections {
		return sectionsFactor * int64(textSize)
	}
	return wholeFactor * int64(textSize)
}

// memoryExceeded is the error of a text that can't be parsed within limits.memory. It wraps a strictyaml.Error.
type memoryExceeded struct{ error }

func (e memoryExceeded) Unwrap() error { return e.error }

// partialDiagnosis is an error in one section of a text that can't be parsed as a whole within limits.memory. There may
// be further errors.
type partialDiagnosis struct{ error }

func (e partialDiagnosis) Unwrap() error { return e.error }

// isFinal reports whether an error of parseInSections is to be returned to the caller, because limits.memory is too
// small for parseWhole.
func isFinal(err error) bool {
	var exceeded memoryExceeded
	var partial partialDiagnosis
	return errors.As(err, &exceeded) || errors.As(err, &partial)
}

// memoryNeed describes the parsing of a text, to compare the memory that it needs with limits.memory.
type memoryNeed struct {
	path       string
	limitAt    strictyaml.Position // of limits.memory
	limit      Size
	inUse      int64 // bytes of memory that the process uses; 0 for a new process
	textSize   int
	inSections bool
	subject    string // of the error: what is to be parsed
}

// check returns a memoryExceeded if the limit is too small.
func (n memoryNeed) check() error {
	bytes := max(processBytes, n.inUse) + readingBytes(n.inSections, n.textSize)
	if bytes <= int64(n.limit) {
		return nil
	}
	inUse := ""
	if n.inUse > 0 {
		inUse = fmt.Sprintf(", %d MiB of it for the configuration that holds", n.inUse>>20)
	}
	text := fmt.Sprintf("reading %s takes about %d MiB%s, more than the %d MiB of limits.memory",
		n.subject, roundedUpMiB(bytes), inUse, n.limit>>20)
	return memoryExceeded{strictyaml.Error{File: n.path, Position: n.limitAt, Key: "limits.memory", Text: text}}
}
