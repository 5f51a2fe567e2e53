// Package route finds the rule for a request by its host, path, method, header fields and class. It does no I/O, and a
// Table never changes once it is built, so any number of goroutines may look up in it.
//
// # Precedence
//
// As in the Kubernetes Gateway API (HTTPRoute): of the rules that match, the most specific wins, by the first of these
// in which two differ:
//
//  1. host: an exact name, then the longest suffix ("*.example.org"), then any host;
//  2. path: exact, then a pattern with parameters (the leftmost literal segment decides), then the longest prefix;
//  3. a rule that names methods before one that does not;
//  4. the larger number of header fields wanted, the class counting as one.
//
// Two rules that agree in all of these and can match the same request are a tie, which Build refuses.
package route

import (
	"fmt"
	"iter"
	"maps"
	"net/textproto"
	"slices"
	"strings"
)

// PathKind says how Rule.Path is meant.
type PathKind uint8

// The path kinds, in order of precedence.
const (
	Exact   PathKind = iota
	Pattern          // segments, of which "{name}" matches any one that is not empty
	Prefix           // whole segments: "/a" matches "/a" and "/a/b", not "/ab"
)

// WeightedPool is one destination of a rule: a pool and its part of the traffic.
type WeightedPool struct {
	Pool   string
	Weight int // its part among the rule's weights; 0: none of it
}

// Header is a field that a request must have with exactly this value.
type Header struct{ Name, Value string }

// Rule sends the requests that it matches to pools.
type Rule struct {
	Name    string
	Hosts   []string // exact, or "*." and a suffix; none: any host
	Kind    PathKind
	Path    string
	Methods []string // none: any
	Headers []Header
	Class   string // the client must name this class; empty: any or none
	Pools   []WeightedPool
	To      int // what else its requests meet: a number that means something to the caller

	total uint64
}

// Fields are a request's header fields.
type Fields interface {
	// Only returns the value of a field that the request has exactly once. Names are compared without regard to case.
	Only(name string) (value string, ok bool)
}

// Query is what a request is matched by. Host and Path are in canonical form.
type Query struct {
	Host, Path, Method, Class string
	Fields                    Fields
}

// Table finds rules. Its cost follows the length of host and path, not the number of rules.
type Table struct {
	exact  map[string]*segment // by host
	suffix map[string]*segment // by the part behind the star, with its dot
	any    *segment
	names  map[string]*Rule
}

// segment is a node of a trie over the segments of paths.
type segment struct {
	few   []edge              // to the literal segments that follow
	many  map[string]*segment // the same, in place of few, from manyEdges on
	param *segment
	rules []*Rule // whose path ends here, or goes on for a Prefix: by kind, and of a kind that which goes first
}

// edge leads to a segment.
type edge struct {
	part string
	to   *segment
}

// manyEdges is from how many edges on a map finds one faster than a look at each.
const manyEdges = 8

// Rule returns the rule of a name; nil: there is none.
func (t *Table) Rule(name string) *Rule { return t.names[name] }

// Rules goes over all rules, in no order. They are not to be changed.
func (t *Table) Rules() iter.Seq[*Rule] { return maps.Values(t.names) }

// Len is the number of rules.
func (t *Table) Len() int { return len(t.names) }

// Malformed is a rule that can't be used.
type Malformed struct {
	Name string
	Why  error
}

func (m Malformed) Error() string { return fmt.Sprintf("route %q: %v", m.Name, m.Why) }

// Conflict is a pair of rules of which neither goes before the other.
type Conflict struct {
	First, Second string // names
	Where         string // host and path on which they meet
}

func (c Conflict) Error() string {
	return fmt.Sprintf("routes %q and %q match the same requests on %s and neither is more specific", c.First, c.Second, c.Where)
}

// check tells what makes a rule unusable, and brings its hosts and fields into canonical form.
func (r *Rule) check() error {
	r.Hosts, r.Headers, r.Methods = slices.Clone(r.Hosts), slices.Clone(r.Headers), slices.Clone(r.Methods)
	for i, host := range r.Hosts {
		name, star := strings.CutPrefix(host, "*.")
		name, err := Host(name)
		if err != nil {
			return err
		}
		if strings.Contains(host, ":") && !strings.HasPrefix(host, "[") {
			return fmt.Errorf("host %q: a route's host has no port", host)
		}
		if star {
			name = "*." + name
		}
		r.Hosts[i] = name
	}
	for i, h := range r.Headers {
		r.Headers[i].Name = textproto.CanonicalMIMEHeaderKey(h.Name)
	}
	if len(r.Pools) == 0 {
		return fmt.Errorf("no pool is named")
	}
	sum := 0
	for _, p := range r.Pools {
		if p.Weight < 0 || p.Weight > 1<<20 {
			return fmt.Errorf("pool %q: weight %d is out of range", p.Pool, p.Weight)
		}
		sum += p.Weight
	}
	if sum == 0 {
		return fmt.Errorf("all weights are 0")
	}
	plainPath := strings.NewReplacer("{", "", "}", "").Replace(r.Path)
	if target, err := ParseTarget(plainPath); err != nil || target.String() != plainPath || target.Query != "" || target.Host != "" {
		return fmt.Errorf("path %q is not in canonical form: it begins with a slash, without dot segments, escapes of plain characters or a query", r.Path)
	}
	if r.Kind == Prefix && r.Path != "/" {
		r.Path = strings.TrimSuffix(r.Path, "/")
	}
	for part := range strings.SplitSeq(r.Path[1:], "/") {
		if strings.ContainsAny(part, "{}") && (r.Kind != Pattern || !isParam(part)) {
			return fmt.Errorf("path %q: braces stand for a whole segment of a pattern, as in /flights/{id}", r.Path)
		}
	}
	return nil
}

func isParam(part string) bool {
	return len(part) > 2 && part[0] == '{' && part[len(part)-1] == '}' && !strings.ContainsAny(part[1:len(part)-1], "{}")
}

// named is 1 if the rule names methods.
func (r *Rule) named() int { return min(len(r.Methods), 1) }

// wants counts the fields wanted.
func (r *Rule) wants() int {
	if r.Class != "" {
		return len(r.Headers) + 1
	}
	return len(r.Headers)
}

// ties tells whether some request on their path matches both rules while neither goes first.
func ties(a, b *Rule) bool {
	if a.named() != b.named() || a.wants() != b.wants() {
		return false
	}
	if a.named() == 1 && !slices.ContainsFunc(a.Methods, func(m string) bool { return slices.Contains(b.Methods, m) }) {
		return false
	}
	if a.Class != "" && b.Class != "" && a.Class != b.Class {
		return false
	}
	for _, x := range a.Headers {
		for _, y := range b.Headers {
			if x.Name == y.Name && x.Value != y.Value {
				return false
			}
		}
	}
	return true
}

// Lookup returns the rule for a request, or nil. It does not allocate.
func (t *Table) Lookup(q *Query) *Rule {
	if r := t.exact[q.Host].lookup(q); r != nil {
		return r
	}
	if len(t.suffix) > 0 {
		for i := 0; i < len(q.Host); i++ { // the longest suffix first
			if q.Host[i] == '.' {
				if r := t.suffix[q.Host[i:]].lookup(q); r != nil {
					return r
				}
			}
		}
	}
	return t.any.lookup(q)
}

func (s *segment) lookup(q *Query) *Rule {
	if s == nil || q.Path == "" {
		return nil
	}
	for _, kind := range [...]PathKind{Exact, Pattern} {
		if r := s.whole(q.Path[1:], q, kind); r != nil {
			return r
		}
	}
	return s.longest(q.Path[1:], q)
}

// whole finds a rule for the rest of a path to its end.
func (s *segment) whole(rest string, q *Query, kind PathKind) *Rule {
	part, behind, more := strings.Cut(rest, "/")
	if next := s.next(part); next != nil {
		if r := next.ending(behind, more, q, kind); r != nil {
			return r
		}
	}
	if kind == Pattern && s.param != nil && part != "" {
		return s.param.ending(behind, more, q, kind)
	}
	return nil
}

func (s *segment) ending(rest string, more bool, q *Query, kind PathKind) *Rule {
	if more {
		return s.whole(rest, q, kind)
	}
	return s.first(kind, q)
}

// longest finds the rule with the longest prefix.
func (s *segment) longest(rest string, q *Query) *Rule {
	part, behind, more := strings.Cut(rest, "/")
	if next := s.next(part); next != nil {
		if !more {
			if r := next.first(Prefix, q); r != nil {
				return r
			}
		} else if r := next.longest(behind, q); r != nil {
			return r
		}
	}
	return s.first(Prefix, q)
}

func (s *segment) next(part string) *segment {
	for i := range s.few {
		if s.few[i].part == part {
			return s.few[i].to
		}
	}
	return s.many[part] // of no map: nil
}

func (s *segment) first(kind PathKind, q *Query) *Rule {
	for _, r := range s.rules {
		if r.Kind == kind && r.fits(q) {
			return r
		}
	}
	return nil
}

// fits looks at what is not in the trie.
func (r *Rule) fits(q *Query) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, q.Method) {
		return false
	}
	if r.Class != "" && r.Class != q.Class {
		return false
	}
	for i := range r.Headers {
		value, once := q.Fields.Only(r.Headers[i].Name)
		if !once || value != r.Headers[i].Value { // of two values a server may read the other
			return false
		}
	}
	return true
}

// Choose returns the pool for a request whose key has this hash. The same hash comes to the same pool, and if the weights
// move by a part, only that part of the keys moves.
func (r *Rule) Choose(hash uint64) string {
	if len(r.Pools) == 1 {
		return r.Pools[0].Pool
	}
	hash ^= hash >> 31 // near hashes of near keys must not fall into one pool
	hash *= 0x9e3779b97f4a7c15
	hash ^= hash >> 29
	at := uint64(float64(hash>>11) / (1 << 53) * float64(r.total))
	for _, p := range r.Pools {
		if at < uint64(p.Weight) {
			return p.Pool
		}
		at -= uint64(p.Weight)
	}
	return r.Pools[len(r.Pools)-1].Pool
}
