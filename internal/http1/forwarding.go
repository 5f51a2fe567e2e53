package http1

import (
	"bytes"
	"slices"
	"strings"
)

// hopByHop holds, by their length, the names of fields that are not forwarded: those that belong to one connection (RFC
// 9110, section 7.6.1), those that are written anew, and those between upstreams and a balancer.
var hopByHop = byLength(
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length", "Host", "X-Deadline-Ms", "Proxy-Authenticate", "Proxy-Authorization", "X-Load", "X-Not-Run",
)

// longestHopByHop is the length of the longest of these names, or more.
const longestHopByHop = 23

func byLength(names ...string) (all [longestHopByHop + 1][]string) {
	for _, name := range names {
		all[len(name)] = append(all[len(name)], name)
	}
	return all
}

// isEndToEnd tells whether a field of this name is forwarded.
func isEndToEnd(name string) bool {
	if len(name) >= len(hopByHop) {
		return true
	}
	for _, dropped := range hopByHop[len(name)] {
		if strings.EqualFold(name, dropped) {
			return false
		}
	}
	return true
}

// ClosesConnection tells whether the sender closes the connection after this message (RFC 9112, section 9.6).
func ClosesConnection(h Fields) bool { return h.HasListElement("Connection", "close") }

// DropConnectionFields takes out the fields that a message's Connection field names: they were meant for that
// connection only (RFC 9110, section 7.6.1). Those named in except stay.
func DropConnectionFields(h *Fields, except []string) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			name = strings.TrimSpace(name)
			if !slices.ContainsFunc(except, func(kept string) bool { return strings.EqualFold(kept, name) }) {
				h.Del(name)
			}
		}
	}
}

// WriteFields writes the fields that are forwarded, in order. Names and values come from this package's reader, which
// lets no line end in.
func WriteFields(b *bytes.Buffer, h Fields) {
	for i := range h {
		if isEndToEnd(h[i].Name) {
			WriteField(b, h[i].Name, h[i].Value)
		}
	}
}

// WriteField writes one field line (RFC 9112, section 5).
func WriteField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}
