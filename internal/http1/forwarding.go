package http1

import (
	"bytes"
	"slices"
	"strings"
)

// droppedFields holds the names of the fields that are not forwarded, indexed by length: hop-by-hop fields (RFC 9110,
// section 7.6.1), fields that this balancer writes itself, and fields exchanged between upstreams and a balancer.
var droppedFields = byLength(
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length", "Host", "X-Deadline-Ms", "Proxy-Authenticate", "Proxy-Authorization", "X-Load", "X-Not-Run",
)

// maxDroppedNameLength is an upper bound of the length of the names in droppedFields.
const maxDroppedNameLength = 23

func byLength(names ...string) (all [maxDroppedNameLength + 1][]string) {
	for _, name := range names {
		all[len(name)] = append(all[len(name)], name)
	}
	return all
}

// isEndToEnd reports whether fields with this name are forwarded.
func isEndToEnd(name string) bool {
	if len(name) >= len(droppedFields) {
		return true
	}
	for _, dropped := range droppedFields[len(name)] {
		if strings.EqualFold(name, dropped) {
			return false
		}
	}
	return true
}

// ClosesConnection reports whether the sender closes the connection after this message (RFC 9112, section 9.6).
func ClosesConnection(h Fields) bool { return h.HasListElement("Connection", "close") }

// DropConnectionFields removes the fields that the Connection field of a message names, since they apply to that
// connection only (RFC 9110, section 7.6.1). Fields named in except are kept.
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

// WriteFields writes those fields that are forwarded, in order. It does not check them: names and values come from this
// package's reader, which rejects line breaks.
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
