package route

import (
	"maps"
	"strings"
)

// anyHost stands for any host where a rule's hosts are listed.
const anyHost = "*"

// builder makes a table from another one by copy-on-write: nodes and maps that it hasn't made itself it copies before
// it changes them, so that both tables share all but the paths concerned. One goroutine uses it, once.
type builder struct {
	table *Table

	// What the builder has made itself and may change.
	ownNodes       map[*node]bool // nil: all nodes
	ownExactHosts  bool
	ownSuffixHosts bool
	ownRules       bool
}

// Build makes a table, or returns every error in the rules: a Malformed or a Conflict each.
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

// With returns a table without the rules of some names and with added ones, or what is wrong with these. t stays as it
// is. The cost follows the paths concerned, beside a copy of the maps by name and by host.
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

// add adds rules and returns the table, or every error in the rules.
func (b *builder) add(rules []Rule) (*Table, []error) {
	if len(rules) > 0 {
		b.copyRules()
	}
	var errs []error
	for i := range rules {
		rule := rules[i] // the table keeps a copy: callers may change theirs
		if err := rule.normalize(); err != nil {
			errs = append(errs, InvalidRuleError{Name: rule.Name, Why: err})
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

// insert adds a rule under a host, or returns a rule that it ties with.
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

// remove removes a rule from the table and from all its hosts.
func (b *builder) remove(rule *Rule) {
	b.copyRules()
	delete(b.table.rules, rule.Name)
	for _, host := range rule.hostsOrAny() {
		b.setRoot(host, b.without(b.root(host), rule.pathSegments(), rule))
	}
}

// without returns a subtree without the rule at the end of a path below it; nil if nothing else is left.
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

// writable returns a node that may be changed: n itself if the builder made it, otherwise a copy; a new one for nil.
func (b *builder) writable(n *node) *node {
	if n != nil && (b.ownNodes == nil || b.ownNodes[n]) {
		return n
	}
	made := &node{}
	if n != nil {
		made = n.clone()
	}
	if b.ownNodes != nil {
		b.ownNodes[made] = true
	}
	return made
}

// root returns the root of a host's trie; nil: there is none.
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

// hostSuffix returns the part of a host such as "*.example.org" behind the star.
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

// copyRules makes the map of rules by name the builder's own.
func (b *builder) copyRules() {
	if !b.ownRules {
		b.table.rules = maps.Clone(b.table.rules)
		b.ownRules = true
	}
}
