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
//  4. the larger number of header fields required, the class counting as one.
//
// Two rules that agree in all of these and can match the same request are a tie, which Build rejects.
package route

import (
	"iter"
	"maps"
)

// Fields are a request's header fields.
type Fields interface {
	// Single returns the value of a field that the request has exactly once. Names are compared without regard to case.
	Single(name string) (value string, ok bool)
}

// Query is what a request is matched by. Host and Path are in canonical form.
type Query struct {
	Host, Path, Method, Class string
	Fields                    Fields
}

// Table finds rules. The cost of a lookup follows the length of host and path, not the number of rules.
type Table struct {
	exactHosts  map[string]*node // by host
	suffixHosts map[string]*node // by the part behind the star, with its dot
	anyHost     *node            // of rules without a host
	rules       map[string]*Rule // by name
}

// Rule returns the rule of a name; nil: there is none.
func (t *Table) Rule(name string) *Rule { return t.rules[name] }

// Rules iterates over all rules, in no order. They are not to be changed.
func (t *Table) Rules() iter.Seq[*Rule] { return maps.Values(t.rules) }

// Len is the number of rules.
func (t *Table) Len() int { return len(t.rules) }

// Lookup returns the rule for a request, or nil. It does not allocate.
func (t *Table) Lookup(query *Query) *Rule {
	if rule := t.exactHosts[query.Host].lookup(query); rule != nil {
		return rule
	}
	if rule := t.lookupSuffix(query); rule != nil {
		return rule
	}
	return t.anyHost.lookup(query)
}

// lookupSuffix tries the suffixes of the query's host, the longest first.
func (t *Table) lookupSuffix(query *Query) *Rule {
	if len(t.suffixHosts) == 0 {
		return nil
	}
	for i := range len(query.Host) {
		if query.Host[i] != '.' {
			continue
		}
		if rule := t.suffixHosts[query.Host[i:]].lookup(query); rule != nil {
			return rule
		}
	}
	return nil
}
