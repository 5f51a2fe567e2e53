package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// node is a node of a trie over path segments. A nil node has no rules and no children. Nodes of a finished table are
// immutable.
type node struct {
	edges     []edge           // children by literal segment, while there are fewer than minMapEdges
	edgeMap   map[string]*node // children by literal segment, used instead of edges from minMapEdges on
	parameter *node            // the child for a parameter, or nil
	rules     []*Rule          // rules whose Path ends at this node, sorted by addRule
}

// edge is an edge to a child by a literal segment.
type edge struct {
	segment string
	to      *node
}

// minMapEdges is the number of edges from which a map lookup is faster than a linear search.
const minMapEdges = 8

// lookup returns the rule for a request, or nil. It tries the path kinds in order of precedence.
func (n *node) lookup(query *Query) *Rule {
	if n == nil || query.Path == "" {
		return nil
	}
	path := query.Path[1:]
	if rule := n.lookupWhole(path, query, Exact); rule != nil {
		return rule
	}
	if rule := n.lookupWhole(path, query, Pattern); rule != nil {
		return rule
	}
	return n.lookupPrefix(path, query)
}

// lookupWhole finds an Exact or Pattern rule that matches the rest of a path up to its end. Literal segments take
// precedence over parameters.
func (n *node) lookupWhole(path string, query *Query, kind PathKind) *Rule {
	segment, rest, more := strings.Cut(path, "/")
	if child := n.literal(segment); child != nil {
		if rule := child.lookupRest(rest, more, query, kind); rule != nil {
			return rule
		}
	}
	if kind == Pattern && n.parameter != nil && segment != "" {
		return n.parameter.lookupRest(rest, more, query, kind)
	}
	return nil
}

// lookupRest continues lookupWhole if the path has more segments; otherwise it looks for a rule that ends at this node.
func (n *node) lookupRest(rest string, more bool, query *Query, kind PathKind) *Rule {
	if more {
		return n.lookupWhole(rest, query, kind)
	}
	return n.firstMatch(kind, query)
}

// lookupPrefix finds the matching rule with the longest prefix.
func (n *node) lookupPrefix(path string, query *Query) *Rule {
	segment, rest, more := strings.Cut(path, "/")
	child := n.literal(segment)
	var longer *Rule
	switch {
	case child == nil:
	case more:
		longer = child.lookupPrefix(rest, query)
	default:
		longer = child.firstMatch(Prefix, query)
	}
	if longer != nil {
		return longer
	}
	return n.firstMatch(Prefix, query)
}

// firstMatch returns the node's first rule of a kind that matches the request, or nil.
func (n *node) firstMatch(kind PathKind, query *Query) *Rule {
	for _, rule := range n.rules {
		if rule.Kind == kind && rule.matches(query) {
			return rule
		}
	}
	return nil
}

// literal returns the child for a literal segment, or nil.
func (n *node) literal(segment string) *node {
	for i := range n.edges {
		if n.edges[i].segment == segment {
			return n.edges[i].to
		}
	}
	return n.edgeMap[segment] // nil if there is no map
}

// child returns the child for a segment of a rule's path, or nil.
func (n *node) child(segment pathSegment) *node {
	if segment.isParameter {
		return n.parameter
	}
	return n.literal(segment.text)
}

// setChild sets the child for a segment of a rule's path, or removes it if child is nil.
func (n *node) setChild(segment pathSegment, child *node) {
	switch {
	case segment.isParameter:
		n.parameter = child
	case child == nil:
		n.removeLiteral(segment.text)
	default:
		n.setLiteral(segment.text, child)
	}
}

func (n *node) indexOf(segment string) int {
	return slices.IndexFunc(n.edges, func(e edge) bool { return e.segment == segment })
}

func (n *node) removeLiteral(segment string) {
	delete(n.edgeMap, segment)
	if i := n.indexOf(segment); i >= 0 {
		n.edges = slices.Delete(n.edges, i, i+1)
	}
}

func (n *node) setLiteral(segment string, child *node) {
	if n.edgeMap != nil {
		n.edgeMap[segment] = child
		return
	}
	if i := n.indexOf(segment); i >= 0 {
		n.edges[i].to = child
		return
	}
	if len(n.edges)+1 < minMapEdges {
		n.edges = append(n.edges, edge{segment: segment, to: child})
		return
	}
	n.edgeMap = make(map[string]*node, minMapEdges)
	for _, e := range n.edges {
		n.edgeMap[e.segment] = e.to
	}
	n.edgeMap[segment] = child
	n.edges = nil
}

// clone returns a copy that shares the children.
func (n *node) clone() *node {
	return &node{
		edges:     slices.Clone(n.edges),
		edgeMap:   maps.Clone(n.edgeMap),
		parameter: n.parameter,
		rules:     slices.Clone(n.rules),
	}
}

func (n *node) isEmpty() bool {
	return len(n.rules) == 0 && len(n.edges) == 0 && len(n.edgeMap) == 0 && n.parameter == nil
}

// tieOf returns a rule of the node that ties with the given one, or nil.
func (n *node) tieOf(rule *Rule) *Rule {
	for _, other := range n.rules {
		if other != rule && other.Kind == rule.Kind && ties(other, rule) {
			return other
		}
	}
	return nil
}

// addRule adds a rule, and sorts the rules by kind and then by precedence.
func (n *node) addRule(rule *Rule) {
	n.rules = append(n.rules, rule)
	slices.SortStableFunc(n.rules, func(a, b *Rule) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(b.methodRank(), a.methodRank()),
			cmp.Compare(b.fieldRank(), a.fieldRank()),
		)
	})
}

func (n *node) removeRule(rule *Rule) {
	n.rules = slices.DeleteFunc(n.rules, func(other *Rule) bool { return other == rule })
}
