package route

import (
	"maps"
	"strings"
)

// anyHost represents any host in a list of a rule's hosts.
const anyHost = "*"

// builder builds a table from another one by copy-on-write: it changes only nodes and maps that it has created itself,
// and copies others first, so that both tables share everything except for the changed paths. It is used for one table,
// by one goroutine.
type builder struct {
	table *Table

	// The parts of the table that the builder has created and may change.
	ownNodes       map[*node]bool // nil if these are all nodes
	ownExactHosts  bool
	ownSuffixHosts bool
	ownRules       bool
}

// Build builds a table, or returns all errors in the rules, each an InvalidRuleError or a ConflictError.
func Build(rules []Rule) (*Table, []error) {
	b := &builder{
		table: &Table{
			exactHosts:  map[string]*node{},
			suffixHosts: map[string]*node{},
			rules:       make(map[string]*Rule, len(rules)),
		},
		ownExactHosts:  true,
		ownSuffixHosts: true,
		ownRules:       true,
	}
	return b.add(rules)
}

// With returns a table without the rules with the removed names and with the added rules, or all errors in the added
// rules. It does not change t. It copies the nodes on the changed paths, and the maps by name and by host.
func (t *Table) With(removed []string, added []Rule) (*Table, []error) {
	table := *t
	b := &builder{table: &table, ownNodes: map[*node]bool{}}
	for _, name := range removed {
		if rule := table.rules[name]; rule != nil {
			b.remove(rule)
		}
	}
	return b.add(added)
}

// add adds rules and returns the table, or all errors in the rules.
func (b *builder) add(rules []Rule) (*Table, []error) {
	if len(rules) > 0 {
		b.copyRules()
	}
	var errs []error
	for i := range rules {
		rule := rules[i] // a copy, since callers may change theirs
		if err := rule.normalize(); err != nil {
			errs = append(errs, InvalidRuleError{Name: rule.Name, Err: err})
			continue
		}
		for _, p := range rule.Pools {
			rule.totalWeight += uint64(p.Weight)
		}
		for _, host := range rule.hostsOrAny() {
			if other := b.insert(host, &rule); other != nil {
				errs = append(errs, ConflictError{First: other.Name, Second: rule.Name, Where: host + " " + rule.Path})
			}
		}
		b.table.rules[rule.Name] = &rule
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return b.table, nil
}

// insert adds a rule for a host, or returns a rule that it ties with.
func (b *builder) insert(host string, rule *Rule) (tie *Rule) {
	at := b.writable(b.root(host))
	b.setRoot(host, at)
	for _, segment := range rule.pathSegments() {
		child := b.writable(at.child(segment))
		at.setChild(segment, child)
		at = child
	}
	if other := at.tieOf(rule); other != nil {
		return other
	}
	at.addRule(rule)
	return nil
}

// remove removes a rule from the table, for all of the rule's hosts.
func (b *builder) remove(rule *Rule) {
	b.copyRules()
	delete(b.table.rules, rule.Name)
	for _, host := range rule.hostsOrAny() {
		b.setRoot(host, b.without(b.root(host), rule.pathSegments(), rule))
	}
}

// without returns a subtree without the rule at the end of a path in it; nil if the subtree is then empty.
func (b *builder) without(subtree *node, path []pathSegment, rule *Rule) *node {
	if subtree == nil {
		return nil
	}
	subtree = b.writable(subtree)
	if len(path) == 0 {
		subtree.removeRule(rule)
	} else {
		subtree.setChild(path[0], b.without(subtree.child(path[0]), path[1:], rule))
	}
	if subtree.isEmpty() {
		return nil
	}
	return subtree
}

// writable returns a node that may be changed: n if the builder has created it, otherwise a copy of n, or a new node if
// n is nil.
func (b *builder) writable(n *node) *node {
	if n != nil && (b.ownNodes == nil || b.ownNodes[n]) {
		return n
	}
	created := &node{}
	if n != nil {
		created = n.clone()
	}
	if b.ownNodes != nil {
		b.ownNodes[created] = true
	}
	return created
}

// root returns the root of a host's trie, or nil.
func (b *builder) root(host string) *node {
	if host == anyHost {
		return b.table.anyHost
	}
	if suffix, isSuffix := hostSuffix(host); isSuffix {
		return b.table.suffixHosts[suffix]
	}
	return b.table.exactHosts[host]
}

// setRoot sets the root of a host's trie, or removes the host if root is nil.
func (b *builder) setRoot(host string, root *node) {
	if host == anyHost {
		b.table.anyHost = root
		return
	}
	if suffix, isSuffix := hostSuffix(host); isSuffix {
		if !b.ownSuffixHosts {
			b.table.suffixHosts = maps.Clone(b.table.suffixHosts)
			b.ownSuffixHosts = true
		}
		setOrDelete(b.table.suffixHosts, suffix, root)
		return
	}
	if !b.ownExactHosts {
		b.table.exactHosts = maps.Clone(b.table.exactHosts)
		b.ownExactHosts = true
	}
	setOrDelete(b.table.exactHosts, host, root)
}

// hostSuffix returns the part of a host such as "*.example.org" after the star.
func hostSuffix(host string) (suffix string, ok bool) {
	if !strings.HasPrefix(host, "*.") {
		return "", false
	}
	return host[1:], true
}

func setOrDelete(hosts map[string]*node, host string, root *node) {
	if root == nil {
		delete(hosts, host)
	} else {
		hosts[host] = root
	}
}

// copyRules replaces the map of rules by name with a copy that the builder may change.
func (b *builder) copyRules() {
	if !b.ownRules {
		b.table.rules = maps.Clone(b.table.rules)
		b.ownRules = true
	}
}
