package http1

import (
	"slices"
	"strconv"
	"strings"
)

// Field is a field line of a head or trailer.
type Field struct{ Name, Value string }

// named reports whether the field has this name, ignoring case.
func (f *Field) named(name string) bool {
	return len(f.Name) == len(name) && strings.EqualFold(f.Name, name)
}

// Fields are the field lines of a message in the order received. Names are compared ignoring case (RFC 9110, section
// 5.1). Fields is not a map because a head has only about ten fields, and building a map would be the largest part of
// the cost of reading the head.
type Fields []Field

// Get returns the value of the first field with the name, or "" if there is none.
func (h Fields) Get(name string) string {
	for i := range h {
		if h[i].named(name) {
			return h[i].Value
		}
	}
	return ""
}

// Count returns the number of fields with the name.
func (h Fields) Count(name string) (count int) {
	for i := range h {
		if h[i].named(name) {
			count++
		}
	}
	return count
}

// Has reports whether there is a field with the name.
func (h Fields) Has(name string) bool { return h.Count(name) > 0 }

// Single returns the value of the first field with the name; ok reports whether that is the only one.
func (h Fields) Single(name string) (value string, ok bool) {
	return h.Get(name), h.Count(name) == 1
}

// Values returns the values of all fields with the name, in order.
func (h Fields) Values(name string) (values []string) {
	for i := range h {
		if h[i].named(name) {
			values = append(values, h[i].Value)
		}
	}
	return values
}

// Add appends a field. The caller ensures that name and value are well formed.
func (h *Fields) Add(name, value string) { *h = append(*h, Field{name, value}) }

// Del removes the fields with the name.
func (h *Fields) Del(name string) {
	*h = slices.DeleteFunc(*h, func(f Field) bool { return strings.EqualFold(f.Name, name) })
}

// HasListElement reports whether a field with the name, read as a comma-separated list (RFC 9110, section 5.6.1),
// contains a word, ignoring case.
func (h Fields) HasListElement(name, word string) bool {
	for i := range h {
		if !h[i].named(name) {
			continue
		}
		for element := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(element), word) {
				return true
			}
		}
	}
	return false
}

// ParseDigits parses a decimal number that consists of digits only, without a sign or blanks. It fails if the number
// overflows a uint64.
func ParseDigits(text string) (uint64, bool) {
	if !isDigits(text) {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}

func isDigits(text string) bool { return text != "" && strings.Trim(text, "0123456789") == "" }
