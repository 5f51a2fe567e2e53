// Package route finds the rule for a request by its host, path, method, header fields and class, and brings hosts and
// request targets into the canonical form on which rules are matched. internal/config builds the tables, and
// internal/proxy routes requests by them. The package does no I/O. A Table is immutable, so any number of goroutines
// may use it concurrently.
//
// # Precedence
//
// As in the Kubernetes Gateway API (HTTPRoute), the most specific of the matching rules takes precedence. Two rules are
// compared by these criteria, and the first one in which they differ decides:
//
//  1. host: an exact name, then the longest suffix ("*.example.org"), then any host;
//  2. path: exact, then a pattern with parameters (the leftmost literal segment decides), then the longest prefix;
//  3. a rule that names methods before one that does not;
//  4. the larger number of header fields required, the class counting as one.
//
// Two rules tie if all criteria are equal and both can match the same request. Build rejects ties.
package route

import (
	"iter"
	"maps"
)

// Fields are a request's header fields.
type Fields interface {
	// Single returns the value of a field that the request has exactly once. Names are case-insensitive.
	Single(name string) (value string, ok bool)
}

// Query holds the properties of a request that rules match on. Host and Path are in canonical form.
type Query struct {
	Host, Path, Method, Class string
	Fields                    Fields
}

// Table is a route table. The cost of a lookup depends on the length of host and path, not on the number of rules.
type Table struct {
	exactHosts  map[string]*node // by host
	suffixHosts map[string]*node // by the part after the star, including the dot
	anyHost     *node            // for rules without a host
	rules       map[string]*Rule // by name
}

// Rule returns the rule with a name, or nil.
func (t *Table) Rule(name string) *Rule { return t.rules[name] }

// Rules returns an iterator over all rules in unspecified order. The rules must not be changed.
func (t *Table) Rules() iter.Seq[*Rule] { return maps.Values(t.rules) }

// Len returns the number of rules.
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

// lookupSuffix looks up the suffixes of the query's host, the longest first.
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
