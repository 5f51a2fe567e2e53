package http1

import (
	"slices"
	"strconv"
	"strings"
)

// Field is one field line of a head or trailer.
type Field struct{ Name, Value string }

// named tells whether a field has this name, without regard to case.
func (f *Field) named(name string) bool {
	return len(f.Name) == len(name) && strings.EqualFold(f.Name, name)
}

// Fields are the field lines of a message in the order in which they came. Names are compared without regard to case
// (RFC 9110, section 5.1). It is a slice and no map because a head has about ten fields, and making a map of them would
// be the largest part of the cost of reading it.
type Fields []Field

// Get returns the value of the first field of a name; empty: there is none, or it is empty.
func (h Fields) Get(name string) string {
	for i := range h {
		if h[i].named(name) {
			return h[i].Value
		}
	}
	return ""
}

// Count tells how many fields of a name there are.
func (h Fields) Count(name string) (count int) {
	for i := range h {
		if h[i].named(name) {
			count++
		}
	}
	return count
}

// Has tells whether there is a field of a name.
func (h Fields) Has(name string) bool { return h.Count(name) > 0 }

// Single returns the value of a field; ok tells whether there is exactly one of the name.
func (h Fields) Single(name string) (value string, ok bool) {
	return h.Get(name), h.Count(name) == 1
}

// Values returns the values of all fields of a name, in order.
func (h Fields) Values(name string) (values []string) {
	for i := range h {
		if h[i].named(name) {
			values = append(values, h[i].Value)
		}
	}
	return values
}

// Add adds a field. The caller sees to it that name and value are well formed.
func (h *Fields) Add(name, value string) { *h = append(*h, Field{name, value}) }

// Del takes out the fields of a name.
func (h *Fields) Del(name string) {
	*h = slices.DeleteFunc(*h, func(f Field) bool { return strings.EqualFold(f.Name, name) })
}

// HasListElement tells whether the values of a name's fields, as comma-separated lists (RFC 9110, section 5.6.1),
// hold a word.
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

// ParseDigits reads a number that is written in digits and nothing else: no sign, no blanks. It fails too if no
// uint64 holds the number.
func ParseDigits(text string) (uint64, bool) {
	if !isDigits(text) {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil
}

func isDigits(text string) bool { return text != "" && strings.Trim(text, "0123456789") == "" }
