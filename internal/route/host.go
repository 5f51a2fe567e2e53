package route

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// ErrAmbiguous is wrapped by every error about a host or a request target that a balancer and a server could interpret
// differently. Such requests are rejected, so that no spelling of a path bypasses the routes.
var ErrAmbiguous = errors.New("no certain reading")

func ambiguousError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrAmbiguous, fmt.Sprintf(format, args...))
}

const (
	maxHostLength  = 253           // bytes of a host name (RFC 1035, section 2.3.4)
	maxLabelLength = 63            // bytes of a label of a host name (same section)
	maxPortLength  = len(":65535") // bytes of a port, including the colon
	decimalDigits  = "0123456789"
)

// Host returns the canonical form of a Host field or of a target's authority (RFC 9110, section 7.2; RFC 3986, section
// 3.2): in lower case and without port and trailing dot. An IPv6 address keeps its brackets. Errors wrap ErrAmbiguous.
func Host(text string) (string, error) {
	host, port, err := splitPort(text)
	if err != nil {
		return "", err
	}
	if port != "" && !validPort(port) {
		return "", ambiguousError("host %q: the port is no number", text)
	}
	if strings.HasPrefix(host, "[") {
		return host, nil
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > maxHostLength {
		return "", ambiguousError("host %q is empty or over %d bytes", text, maxHostLength)
	}
	if err := checkLabels(host, text); err != nil {
		return "", err
	}
	return strings.ToLower(host), nil
}

// splitPort separates a host from its port, which includes the colon. An IPv6 address in brackets is converted to its
// canonical form (RFC 5952).
func splitPort(text string) (host, port string, err error) {
	if !strings.HasPrefix(text, "[") {
		colon := strings.IndexByte(text, ':')
		if colon < 0 {
			return text, "", nil
		}
		return text[:colon], text[colon:], nil
	}
	end := strings.IndexByte(text, ']')
	if end < 0 {
		return "", "", ambiguousError("host %q: a bracket is not closed", text)
	}
	ip, err := netip.ParseAddr(text[1:end])
	if err != nil || !ip.Is6() || ip.Zone() != "" {
		return "", "", ambiguousError("host %q: no IPv6 address stands in the brackets", text)
	}
	return "[" + ip.String() + "]", text[end+1:], nil
}

func validPort(port string) bool {
	return port[0] == ':' && len(port) <= maxPortLength && strings.Trim(port[1:], decimalDigits) == ""
}

// checkLabels checks the lengths and the characters of a host name's labels; text is the host as received, for errors.
func checkLabels(host, text string) error {
	labelStart := 0
	for i := 0; i <= len(host); i++ {
		if i == len(host) || host[i] == '.' {
			if i == labelStart || i-labelStart > maxLabelLength {
				return ambiguousError("host %q has a label that is empty or over %d bytes", text, maxLabelLength)
			}
			labelStart = i + 1
			continue
		}
		if !isHostByte(host[i]) {
			return ambiguousError("host %q has the byte %#02x; internationalised names come in their ASCII form (RFC 5890)",
				text, host[i])
		}
	}
	return nil
}

func isHostByte(c byte) bool { return isAlphanumeric(c) || c == '-' || c == '_' }

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
