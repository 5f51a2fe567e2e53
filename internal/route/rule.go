package route

import (
	"errors"
	"fmt"
	"net/textproto"
	"slices"
	"strings"
)

// PathKind is the way in which Rule.Path is matched.
type PathKind uint8

// The path kinds, in descending order of precedence.
const (
	Exact   PathKind = iota
	Pattern          // the whole path, in which "{name}" matches any one segment that is not empty
	Prefix           // the first segments: "/a" matches "/a" and "/a/b", not "/ab"
)

// WeightedPool is one destination of a rule: a pool and its share of the traffic.
type WeightedPool struct {
	Pool   string
	Weight int // from 0 to maxWeight, relative to the rule's other pools; a pool of weight 0 gets no requests
}

const maxWeight = 1 << 20

// Header is a header field that a request must have exactly once, with exactly this value.
type Header struct{ Name, Value string }

// Rule sends the requests that it matches to pools.
type Rule struct {
	Name    string
	Hosts   []string // names, or suffixes such as "*.example.org"; any host if empty
	Kind    PathKind
	Path    string
	Methods []string // any method if empty
	Headers []Header
	Class   string // the class that the request must name; requests match with and without a class if empty
	Pools   []WeightedPool
	To      int // an index for the caller's use, such as into config.Loaded.Targets

	totalWeight uint64 // of Pools
}

// InvalidRuleError is the error about a single rule that is invalid.
type InvalidRuleError struct {
	Name string // of the rule
	Err  error
}

func (e InvalidRuleError) Error() string { return fmt.Sprintf("route %q: %v", e.Name, e.Err) }

// ConflictError is the error about a tie: two rules that can match the same request with equal precedence.
type ConflictError struct {
	First, Second string // names of the rules
	Where         string // the host and path that both rules match
}

func (c ConflictError) Error() string {
	return fmt.Sprintf("routes %q and %q match the same requests on %s and neither is more specific",
		c.First, c.Second, c.Where)
}

// normalize brings the rule's hosts, header fields and path into canonical form, and returns an error if the rule is
// invalid. Slices are copied before they are changed.
func (r *Rule) normalize() error {
	r.Hosts = slices.Clone(r.Hosts)
	r.Headers = slices.Clone(r.Headers)
	r.Methods = slices.Clone(r.Methods)
	for i, host := range r.Hosts {
		canonical, err := canonicalRuleHost(host)
		if err != nil {
			return err
		}
		r.Hosts[i] = canonical
	}
	for i, h := range r.Headers {
		r.Headers[i].Name = textproto.CanonicalMIMEHeaderKey(h.Name)
	}
	if err := checkWeights(r.Pools); err != nil {
		return err
	}
	return r.normalizePath()
}

// canonicalRuleHost returns the canonical form of an exact host or of a suffix that begins with "*.".
func canonicalRuleHost(host string) (string, error) {
	name, isSuffix := strings.CutPrefix(host, "*.")
	name, err := Host(name)
	if err != nil {
		return "", err
	}
	if strings.Contains(host, ":") && !strings.HasPrefix(host, "[") {
		return "", fmt.Errorf("host %q: a port is not allowed in a route's host", host)
	}
	if isSuffix {
		name = "*." + name
	}
	return name, nil
}

func checkWeights(pools []WeightedPool) error {
	if len(pools) == 0 {
		return errors.New("no pool is named")
	}
	total := 0
	for _, p := range pools {
		if p.Weight < 0 || p.Weight > maxWeight {
			return fmt.Errorf("pool %q: weight %d is out of range", p.Pool, p.Weight)
		}
		total += p.Weight
	}
	if total == 0 {
		return errors.New("all weights are 0")
	}
	return nil
}

// normalizePath checks that the path is in canonical form, and removes the trailing slash of a prefix.
func (r *Rule) normalizePath() error {
	withoutBraces := strings.NewReplacer("{", "", "}", "").Replace(r.Path)
	target, err := ParseTarget(withoutBraces)
	if err != nil || target != (Target{Path: withoutBraces}) {
		return fmt.Errorf("path %q is not in canonical form: it begins with a slash, "+
			"without dot segments, escapes of plain characters or a query", r.Path)
	}
	if r.Kind == Prefix && r.Path != "/" {
		r.Path = strings.TrimSuffix(r.Path, "/")
	}
	for segment := range strings.SplitSeq(r.Path[1:], "/") {
		if !strings.ContainsAny(segment, "{}") {
			continue
		}
		if r.Kind != Pattern || !isParameter(segment) {
			return fmt.Errorf("path %q: braces must enclose a whole segment of a pattern, as in /flights/{id}", r.Path)
		}
	}
	return nil
}

// isParameter reports whether a segment of a pattern is a parameter, such as "{id}".
func isParameter(segment string) bool {
	name, opened := strings.CutPrefix(segment, "{")
	name, closed := strings.CutSuffix(name, "}")
	return opened && closed && name != "" && !strings.ContainsAny(name, "{}")
}

// pathSegment is a segment of a rule's path.
type pathSegment struct {
	text        string
	isParameter bool // matches any one segment that is not empty
}

func (r *Rule) pathSegments() []pathSegment {
	if r.Path == "/" && r.Kind == Prefix {
		return nil
	}
	var segments []pathSegment
	for text := range strings.SplitSeq(r.Path[1:], "/") {
		segments = append(segments, pathSegment{text: text, isParameter: r.Kind == Pattern && isParameter(text)})
	}
	return segments
}

// hostsOrAny returns the rule's hosts, or anyHost if it names none.
func (r *Rule) hostsOrAny() []string {
	if len(r.Hosts) == 0 {
		return []string{anyHost}
	}
	return r.Hosts
}

// methodRank is 1 if the rule names methods, otherwise 0.
func (r *Rule) methodRank() int { return min(len(r.Methods), 1) }

// fieldRank is the number of header fields that the rule requires, the class counting as one.
func (r *Rule) fieldRank() int {
	if r.Class != "" {
		return len(r.Headers) + 1
	}
	return len(r.Headers)
}

// ties reports whether two rules with the same path tie.
func ties(a, b *Rule) bool {
	if a.methodRank() != b.methodRank() || a.fieldRank() != b.fieldRank() {
		return false
	}
	if a.methodRank() == 1 && !haveCommonMethod(a, b) {
		return false
	}
	if a.Class != "" && b.Class != "" && a.Class != b.Class {
		return false
	}
	return !requireDifferentValues(a, b)
}

func haveCommonMethod(a, b *Rule) bool {
	return slices.ContainsFunc(a.Methods, func(method string) bool { return slices.Contains(b.Methods, method) })
}

// requireDifferentValues reports whether two rules require different values of the same header field.
func requireDifferentValues(a, b *Rule) bool {
	for _, x := range a.Headers {
		for _, y := range b.Headers {
			if x.Name == y.Name && x.Value != y.Value {
				return true
			}
		}
	}
	return false
}

// matches reports whether method, class and header fields of a request match. The table has already matched host and
// path.
func (r *Rule) matches(query *Query) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, query.Method) {
		return false
	}
	if r.Class != "" && r.Class != query.Class {
		return false
	}
	for i := range r.Headers {
		value, once := query.Fields.Single(r.Headers[i].Name)
		if !once || value != r.Headers[i].Value { // of a repeated field, a server may use another value
			return false
		}
	}
	return true
}

// Choose returns the pool for a request whose routing key has this hash. The same hash always gives the same pool while
// the weights are the same. When a part of the weight is moved from one of two pools to the other, only that part of
// the keys changes its pool.
func (r *Rule) Choose(hash uint64) string {
	if len(r.Pools) == 1 {
		return r.Pools[0].Pool
	}
	const doubleBits = 53 // precision of a float64
	point := uint64(float64(mix(hash)>>(64-doubleBits)) / (1 << doubleBits) * float64(r.totalWeight))
	for _, p := range r.Pools {
		if point < uint64(p.Weight) {
			return p.Pool
		}
		point -= uint64(p.Weight)
	}
	return r.Pools[len(r.Pools)-1].Pool
}

// mix distributes similar hashes evenly over the whole range (Fibonacci hashing).
func mix(hash uint64) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / golden ratio
	hash ^= hash >> 31
	hash *= goldenRatio
	hash ^= hash >> 29
	return hash
}
