package strictyaml

import (
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// SetDefault sets a value to its default if it is zero, which means that the file leaves it out.
func SetDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// OneOf reports whether the word at a path is one of the known words. Otherwise it records an error, which suggests the
// nearest known word or lists all of them. kind says in the error what the word names.
func (d *Doc) OneOf(path, kind, word string, known ...string) bool {
	if slices.Contains(known, word) {
		return true
	}
	known = slices.Sorted(slices.Values(known))
	text := fmt.Sprintf("there is no %s %q; known: %s", kind, word, strings.Join(known, ", "))
	if near := Nearest(word, known); near != "" {
		text = fmt.Sprintf("there is no %s %q; did you mean %q?", kind, word, near)
	}
	d.Fail(path, "%s", text)
	return false
}

// InRange records an error unless low <= x <= high; NaN is always an error.
func (d *Doc) InRange(path string, x, low, high float64) {
	isWithin := x >= low && x <= high
	if !isWithin {
		d.Fail(path, "%v is not from %v to %v", x, low, high)
	}
}

// maxNameLength is the maximum length of a name that IsPlainName accepts, in bytes.
const maxNameLength = 64

// IsPlainName reports whether a name can be used in paths and file names: 1 to 64 ASCII letters, digits and hyphens.
func IsPlainName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool {
		isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		isDigit := char >= '0' && char <= '9'
		return !isLetter && !isDigit && char != '-'
	})
}

// Nearest returns the name with the smallest edit distance to a wrong name, regardless of the wrong name's case. It
// returns an empty string if the distance is more than half the wrong name's length.
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
