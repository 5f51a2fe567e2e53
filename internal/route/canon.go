package route

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// This file gives each request one canonical reading of its host and path. Routes are matched on that reading and it is
// what goes on to the server, so that no spelling finds a way round a route: what balancer and server could read
// differently is refused, not guessed at.

// ErrTarget is wrapped by every error about a host or target that has no certain reading.
var ErrTarget = errors.New("no certain reading")

func uncertain(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrTarget, fmt.Sprintf(format, args...))
}

const maxHost = 253 // bytes of a host name (RFC 1035, section 2.3.4)

// Host returns the canonical form of a Host field or of a target's authority (RFC 9110, section 7.2; RFC 3986, section
// 3.2): lower case, without port and closing dot; an IPv6 address stays in its brackets.
func Host(text string) (string, error) {
	host, port := text, ""
	if strings.HasPrefix(text, "[") {
		end := strings.IndexByte(text, ']')
		if end < 0 {
			return "", uncertain("host %q: a bracket is not closed", text)
		}
		ip, err := netip.ParseAddr(text[1:end])
		if err != nil || !ip.Is6() || ip.Zone() != "" {
			return "", uncertain("host %q: no IPv6 address stands in the brackets", text)
		}
		host, port = "["+ip.String()+"]", text[end+1:]
	} else if colon := strings.IndexByte(text, ':'); colon >= 0 {
		host, port = text[:colon], text[colon:]
	}
	if port != "" && (port[0] != ':' || len(port) > 6 || strings.Trim(port[1:], "0123456789") != "") {
		return "", uncertain("host %q: the port is no number", text)
	}
	if strings.HasPrefix(host, "[") {
		return host, nil
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > maxHost {
		return "", uncertain("host %q is empty or over %d bytes", text, maxHost)
	}
	upper, start := false, 0
	for i := 0; i <= len(host); i++ {
		if i == len(host) || host[i] == '.' {
			if i == start || i-start > 63 {
				return "", uncertain("host %q has a label that is empty or over 63 bytes", text)
			}
			start = i + 1
			continue
		}
		switch c := host[i]; {
		case 'A' <= c && c <= 'Z':
			upper = true
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '_':
		default:
			return "", uncertain("host %q has the byte %#02x; internationalised names come in their ASCII form (RFC 5890)", text, c)
		}
	}
	if upper {
		host = strings.ToLower(host)
	}
	return host, nil
}

// Target is the canonical reading of a request target.
type Target struct {
	Host  string // of an absolute-form target; empty otherwise
	Path  string // begins with a slash; percent-encoded as little as RFC 3986 allows
	Query string // with its question mark, as it came; empty if there is none
}

// String is the origin-form that goes to the server.
func (t Target) String() string { return t.Path + t.Query }

// ParseTarget reads an origin-form or absolute-form target (RFC 9112, section 3.2). Dot segments are resolved and
// repeated slashes merged, also where they are percent-encoded. Encoded slashes and backslashes, control bytes, paths
// that climb over the root, and dots hidden before a semicolon are refused, since servers differ in how they read them.
func ParseTarget(text string) (Target, error) {
	var t Target
	if len(text) > 7 && strings.EqualFold(text[:7], "http://") {
		end := strings.IndexAny(text[7:], "/?")
		if end < 0 {
			end = len(text) - 7
		}
		host, err := Host(text[7 : 7+end])
		if err != nil {
			return t, err
		}
		t.Host, text = host, text[7+end:]
		if text == "" || text[0] == '?' {
			text = "/" + text // RFC 9112, section 3.2.1: an empty path is sent as "/"
		}
	}
	if text == "" || text[0] != '/' {
		return t, uncertain("target %q is neither a path nor an http URL", text)
	}
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] >= 0x7f || text[i] == '#' {
			return t, uncertain("the target has the byte %#02x", text[i])
		}
	}
	path := text
	if mark := strings.IndexByte(text, '?'); mark >= 0 {
		path, t.Query = text[:mark], text[mark:]
	}
	var err error
	t.Path, err = cleanPath(path)
	return t, err
}

// plain tells that a path needs no change: no escape, no dot at the start of a segment, no empty segment.
func plain(path string) bool {
	for i := 0; i < len(path); i++ {
		switch c := path[i]; {
		case c == '%' || c == '\\':
			return false
		case c == '/' && i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.'):
			return false
		}
	}
	return true
}

func cleanPath(path string) (string, error) {
	if plain(path) {
		return path, nil
	}
	text, err := unescape(path)
	if err != nil {
		return "", err
	}
	var kept []string
	open := false // the path ends in a slash
	for part := range strings.SplitSeq(text[1:], "/") {
		open = false
		name, _, parameters := strings.Cut(part, ";")
		switch {
		case parameters && (name == "." || name == ".."):
			return "", uncertain("path %q has dots before a semicolon", path)
		case part == "" || part == ".":
			open = true
		case part == "..":
			if len(kept) == 0 {
				return "", uncertain("path %q climbs over the root", path)
			}
			kept, open = kept[:len(kept)-1], true
		default:
			kept = append(kept, part)
		}
	}
	clean := "/" + strings.Join(kept, "/")
	if open && len(kept) > 0 {
		clean += "/"
	}
	return clean, nil
}

const upperHex = "0123456789ABCDEF"

// unescape decodes the escapes of unreserved characters and writes all others in upper case (RFC 3986, section 6.2.2).
func unescape(path string) (string, error) {
	var b strings.Builder
	b.Grow(len(path))
	for i := 0; i < len(path); i++ {
		c := path[i]
		if c == '\\' {
			return "", uncertain("path %q has a backslash", path)
		}
		if c != '%' {
			b.WriteByte(c)
			continue
		}
		if i+2 >= len(path) {
			return "", uncertain("path %q ends in half an escape", path)
		}
		high, low := hex(path[i+1]), hex(path[i+2])
		if high < 0 || low < 0 {
			return "", uncertain("path %q has an escape that is no number", path)
		}
		x := byte(high<<4 | low)
		switch {
		case x == '/' || x == '\\':
			return "", uncertain("path %q has an encoded slash", path)
		case x < ' ' || x == 0x7f:
			return "", uncertain("path %q has an encoded control byte", path)
		case unreserved(x):
			b.WriteByte(x)
		default:
			b.Write([]byte{'%', upperHex[high], upperHex[low]})
		}
		i += 2
	}
	return b.String(), nil
}

func hex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '.' || c == '_' || c == '~'
}
