package strictyaml

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Fill sets a value that was left out to its default.
func Fill[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// One records an error unless the word at a path is one of those known, and names the nearest of them.
func (d *Doc) One(path, what, word string, known ...string) bool {
	if slices.Contains(known, word) {
		return true
	}
	known = slices.Sorted(slices.Values(known))
	text := fmt.Sprintf("there is no %s %q; known: %s", what, word, strings.Join(known, ", "))
	if near := Nearest(word, known); near != "" {
		text = fmt.Sprintf("there is no %s %q; did you mean %q?", what, word, near)
	}
	d.Fail(path, "%s", text)
	return false
}

// Within records an error unless low <= x <= high; NaN is never within.
func (d *Doc) Within(path string, x, low, high float64) {
	isWithin := x >= low && x <= high
	if !isWithin {
		d.Fail(path, "%v is not from %v to %v", x, low, high)
	}
}

// maxNameLength is the length of a name that can stand in paths and file names, in bytes.
const maxNameLength = 64

// Plain reports whether a name can stand in paths and file names: ASCII letters, digits and hyphens.
func Plain(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool {
		isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		isDigit := char >= '0' && char <= '9'
		return !isLetter && !isDigit && char != '-'
	})
}

// Nearest returns the name that a wrong one was most likely meant to be, by edit distance; empty if none is near.
func Nearest(wrong string, names []string) string {
	nearest := ""
	least := len(wrong)/2 + 1
	for _, name := range slices.Sorted(slices.Values(names)) {
		distance := levenshtein.ComputeDistance(strings.ToLower(wrong), name)
		if distance < least {
			nearest = name
			least = distance
		}
	}
	return nearest
}
