package route

import "strings"

// Target is the canonical form of a request target. It is what routes match on and what is forwarded to the server.
type Target struct {
	Host  string // of an absolute-form target; empty otherwise
	Path  string // begins with a slash; unreserved characters are not percent-encoded
	Query string // as received, including the question mark; empty if there is none
}

// String returns the origin-form that is forwarded to the server.
func (t Target) String() string { return t.Path + t.Query }

const httpScheme = "http://"

// ParseTarget parses an origin-form or absolute-form target (RFC 9112, section 3.2). Dot segments, plain or
// percent-encoded, are resolved, and repeated slashes are merged. Backslashes, encoded slashes, control bytes, paths
// that lead above the root, and dot segments with parameters ("..;x") are rejected, since servers differ in how they
// interpret them. Errors wrap ErrAmbiguous.
func ParseTarget(text string) (Target, error) {
	var target Target
	if len(text) > len(httpScheme) && strings.EqualFold(text[:len(httpScheme)], httpScheme) {
		authority, rest := cutAuthority(text[len(httpScheme):])
		host, err := Host(authority)
		if err != nil {
			return target, err
		}
		target.Host = host
		text = rest
	}
	if text == "" || text[0] != '/' {
		return target, ambiguousError("target %q is neither a path nor an http URL", text)
	}
	for i := range len(text) {
		if !isTargetByte(text[i]) {
			return target, ambiguousError("the target has the byte %#02x", text[i])
		}
	}
	path := text
	if mark := strings.IndexByte(text, '?'); mark >= 0 {
		path = text[:mark]
		target.Query = text[mark:]
	}
	var err error
	target.Path, err = cleanPath(path)
	return target, err
}

// cutAuthority splits an absolute-form target without its scheme into the authority, and path and query. An empty path
// becomes "/" (RFC 9112, section 3.2.1).
func cutAuthority(text string) (authority, rest string) {
	end := strings.IndexAny(text, "/?")
	if end < 0 {
		return text, "/"
	}
	rest = text[end:]
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return text[:end], rest
}

func isTargetByte(c byte) bool { return c > ' ' && c < 0x7f && c != '#' }

// isClean reports whether a path is certain to be canonical: it has no escape, no backslash, no segment that begins
// with a dot, and no empty segment before the last.
func isClean(path string) bool {
	for i := range len(path) {
		switch path[i] {
		case '%', '\\':
			return false
		case '/':
			if i+1 < len(path) && (path[i+1] == '/' || path[i+1] == '.') {
				return false
			}
		}
	}
	return true
}

// cleanPath decodes escapes that are not needed, and then resolves dot segments (RFC 3986, section 5.2.4) and merges
// repeated slashes.
func cleanPath(path string) (string, error) {
	if isClean(path) {
		return path, nil
	}
	decoded, err := decodeUnreserved(path)
	if err != nil {
		return "", err
	}
	var segments []string
	trailingSlash := false
	for segment := range strings.SplitSeq(decoded[1:], "/") {
		name, _, hasParameters := strings.Cut(segment, ";")
		if hasParameters && (name == "." || name == "..") {
			return "", ambiguousError("path %q has dots before a semicolon", path)
		}
		switch segment {
		case "", ".":
			trailingSlash = true
		case "..":
			if len(segments) == 0 {
				return "", ambiguousError("path %q climbs over the root", path)
			}
			segments = segments[:len(segments)-1]
			trailingSlash = true
		default:
			segments = append(segments, segment)
			trailingSlash = false
		}
	}
	clean := "/" + strings.Join(segments, "/")
	if trailingSlash && len(segments) > 0 {
		clean += "/"
	}
	return clean, nil
}

// decodeUnreserved decodes the escapes of unreserved characters and converts all other escapes to upper case (RFC 3986,
// section 6.2.2).
func decodeUnreserved(path string) (string, error) {
	var decoded strings.Builder
	decoded.Grow(len(path))
	for index := 0; index < len(path); index++ {
		if path[index] == '\\' {
			return "", ambiguousError("path %q has a backslash", path)
		}
		if path[index] != '%' {
			decoded.WriteByte(path[index])
			continue
		}
		char, err := decodeEscape(path, index)
		if err != nil {
			return "", err
		}
		if isUnreserved(char) {
			decoded.WriteByte(char)
		} else {
			decoded.Write([]byte{'%', upperHexDigits[char>>4], upperHexDigits[char&0xf]})
		}
		index += len("%xx") - 1
	}
	return decoded.String(), nil
}

// decodeEscape decodes the escape at an index of a path.
func decodeEscape(path string, at int) (byte, error) {
	if at+2 >= len(path) {
		return 0, ambiguousError("path %q ends in half an escape", path)
	}
	high := hexDigit(path[at+1])
	low := hexDigit(path[at+2])
	if high < 0 || low < 0 {
		return 0, ambiguousError("path %q has an escape that is no number", path)
	}
	char := byte(high<<4 | low)
	if char == '/' || char == '\\' {
		return 0, ambiguousError("path %q has an encoded slash", path)
	}
	if char < ' ' || char == 0x7f {
		return 0, ambiguousError("path %q has an encoded control byte", path)
	}
	return char, nil
}

const upperHexDigits = "0123456789ABCDEF"

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
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

// isUnreserved reports whether a character never needs to be percent-encoded (RFC 3986, section 2.3).
func isUnreserved(c byte) bool {
	return isAlphanumeric(c) || c == '-' || c == '.' || c == '_' || c == '~'
}
