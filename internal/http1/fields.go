package http1

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

// Field is one field line of a head or trailer.
type Field struct{ Name, Value string }

// Fields are the field lines of a message in the order in which they came. Names are compared without regard to case (RFC 9110,
// section 5.1). A list and no map: a head has about ten, and a map of them is the largest part of what reading one costs.
type Fields []Field

// Get returns the value of the first field of a name; empty: there is none, or it is empty.
func (h Fields) Get(name string) string {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

// Count tells how many fields of a name there are.
func (h Fields) Count(name string) (n int) {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// Has tells whether there is a field of a name.
func (h Fields) Has(name string) bool { return h.Count(name) > 0 }

// Only returns the value of a field that stands there exactly once.
func (h Fields) Only(name string) (value string, ok bool) {
	return h.Get(name), h.Count(name) == 1
}

// Values returns the values of all fields of a name, in order.
func (h Fields) Values(name string) (all []string) {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			all = append(all, h[i].Value)
		}
	}
	return all
}

// Add adds a field. Name and value are well formed.
func (h *Fields) Add(name, value string) { *h = append(*h, Field{name, value}) }

// Del takes out the fields of a name.
func (h *Fields) Del(name string) {
	*h = slices.DeleteFunc(*h, func(f Field) bool { return strings.EqualFold(f.Name, name) })
}

// Lists tells whether a field's values, as lists with commas, hold a word.
func (h Fields) Lists(name, word string) bool {
	for i := range h {
		if len(h[i].Name) != len(name) || !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for x := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(x), word) {
				return true
			}
		}
	}
	return false
}

// Digits reads a number that is written in digits and nothing else: no sign, no blanks.
func Digits(text string) (uint64, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

// Closes tells whether the other side wants the connection closed behind this message.
func Closes(h Fields) bool { return h.Lists("Connection", "close") }

// DropNamed takes out the fields that a message's Connection field names: they were meant for that connection only (RFC
// 9110, section 7.6.1). Those in but stay.
func DropNamed(h *Fields, but []string) {
	for _, named := range h.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			name = strings.TrimSpace(name)
			if !slices.ContainsFunc(but, func(x string) bool { return strings.EqualFold(x, name) }) {
				h.Del(name)
			}
		}
	}
}

// hops names, by their length, what belongs to one connection, what is written anew, and what nodes tell a balancer and nobody
// else.
var hops = byLength("Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length", "Host", "X-Deadline-Ms", "Proxy-Authenticate", "Proxy-Authorization", "X-Load", "X-Not-Run")

func byLength(names ...string) (all [24][]string) {
	for _, name := range names {
		all[len(name)] = append(all[len(name)], name)
	}
	return all
}

// EndToEnd tells whether a field of this name goes on to the other side.
func EndToEnd(name string) bool {
	if len(name) >= len(hops) {
		return true
	}
	for _, hop := range hops[len(name)] {
		if strings.EqualFold(name, hop) {
			return false
		}
	}
	return true
}

// WriteFields writes what is end to end, in order. The names and values were read by this package, which lets no line end in.
func WriteFields(b *bytes.Buffer, h Fields) {
	for i := range h {
		if EndToEnd(h[i].Name) {
			WriteField(b, h[i].Name, h[i].Value)
		}
	}
}

// WriteField writes one field line.
func WriteField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}
