package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// editor makes a table out of another: what it has not made itself it copies before it changes it, so that tables share all
// but the paths concerned.
type editor struct {
	*Table
	own                 map[*segment]bool // made by it; nil: all are
	ownExact            bool              // its map of hosts is its own, and so on
	ownSuffix, ownNames bool
}

// Build makes a table, or tells every error in the rules: malformed ones, and ties as Conflicts.
func Build(rules []Rule) (*Table, []error) {
	e := &editor{
		Table:    &Table{exact: map[string]*segment{}, suffix: map[string]*segment{}, names: make(map[string]*Rule, len(rules))},
		ownExact: true, ownSuffix: true, ownNames: true,
	}
	return e.add(rules)
}

// With returns a table without the rules of some names and with others, or what is wrong with them. t stays as it is. The cost follows
// the paths concerned, beside a copy of the maps by name and by host.
func (t *Table) With(gone []string, added []Rule) (*Table, []error) {
	e := &editor{Table: &Table{exact: t.exact, suffix: t.suffix, any: t.any, names: t.names}, own: map[*segment]bool{}}
	for _, name := range gone {
		if r := e.names[name]; r != nil {
			e.remove(r)
		}
	}
	return e.add(added)
}

func (e *editor) add(rules []Rule) (*Table, []error) {
	if !e.ownNames && len(rules) > 0 {
		e.names, e.ownNames = maps.Clone(e.names), true
	}
	var errs []error
	for i := range rules {
		r := rules[i] // the table keeps its own: callers may change theirs
		if err := r.check(); err != nil {
			errs = append(errs, Malformed{r.Name, err})
			continue
		}
		for _, p := range r.Pools {
			r.total += uint64(p.Weight)
		}
		for _, host := range r.hosts() {
			if other := e.insert(host, &r); other != nil {
				errs = append(errs, Conflict{other.Name, r.Name, host + " " + r.Path})
			}
		}
		e.names[r.Name] = &r
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return e.Table, nil
}

var anyHost = []string{"*"}

func (r *Rule) hosts() []string {
	if len(r.Hosts) == 0 {
		return anyHost
	}
	return r.Hosts
}

// part is a segment of a rule's path.
type part struct {
	text  string
	param bool
}

func (r *Rule) parts() (all []part) {
	if r.Path != "/" || r.Kind != Prefix {
		for text := range strings.SplitSeq(r.Path[1:], "/") {
			all = append(all, part{text, r.Kind == Pattern && isParam(text)})
		}
	}
	return all
}

// root returns the place of a host's trie.
func (e *editor) root(host string) (get func() *segment, set func(*segment)) {
	if host == "*" {
		return func() *segment { return e.any }, func(s *segment) { e.any = s }
	}
	hosts, own, name := &e.exact, &e.ownExact, host
	if strings.HasPrefix(host, "*.") {
		hosts, own, name = &e.suffix, &e.ownSuffix, host[1:]
	}
	return func() *segment { return (*hosts)[name] }, func(s *segment) {
		if !*own {
			*hosts, *own = maps.Clone(*hosts), true
		}
		if s == nil {
			delete(*hosts, name)
		} else {
			(*hosts)[name] = s
		}
	}
}

// edit returns a segment that may be changed: s, or a copy of it.
func (e *editor) edit(s *segment) *segment {
	switch {
	case s == nil:
		s = &segment{}
	case e.own == nil || e.own[s]:
		return s
	default:
		s = &segment{few: slices.Clone(s.few), many: maps.Clone(s.many), param: s.param, rules: slices.Clone(s.rules)}
	}
	if e.own != nil {
		e.own[s] = true
	}
	return s
}

// insert puts r under a host and returns a rule that it ties with.
func (e *editor) insert(host string, r *Rule) *Rule {
	get, set := e.root(host)
	at := e.edit(get())
	set(at)
	for _, p := range r.parts() {
		next := e.edit(at.after(p))
		at.lead(p, next)
		at = next
	}
	for _, other := range at.rules {
		if other != r && other.Kind == r.Kind && ties(other, r) {
			return other
		}
	}
	at.rules = append(at.rules, r)
	slices.SortStableFunc(at.rules, func(a, b *Rule) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.named(), a.named()), cmp.Compare(b.wants(), a.wants()))
	})
	return nil
}

// remove takes r out of all its hosts.
func (e *editor) remove(r *Rule) {
	if !e.ownNames {
		e.names, e.ownNames = maps.Clone(e.names), true
	}
	delete(e.names, r.Name)
	for _, host := range r.hosts() {
		get, set := e.root(host)
		set(e.without(get(), r.parts(), r))
	}
}

// without returns s without r at the end of a path; nil if nothing else is in it.
func (e *editor) without(s *segment, path []part, r *Rule) *segment {
	if s == nil {
		return nil
	}
	s = e.edit(s)
	if len(path) > 0 {
		s.lead(path[0], e.without(s.after(path[0]), path[1:], r))
	} else {
		s.rules = slices.DeleteFunc(s.rules, func(x *Rule) bool { return x == r })
	}
	if len(s.rules)+len(s.few)+len(s.many) == 0 && s.param == nil {
		return nil
	}
	return s
}

// after is the segment that follows by a part; nil: none.
func (s *segment) after(p part) *segment {
	if p.param {
		return s.param
	}
	return s.next(p.text)
}

// lead sets the segment that follows by a part; nil: none.
func (s *segment) lead(p part, to *segment) {
	at := slices.IndexFunc(s.few, func(e edge) bool { return e.part == p.text })
	switch {
	case p.param:
		s.param = to
	case s.many != nil && to == nil:
		delete(s.many, p.text)
	case s.many != nil:
		s.many[p.text] = to
	case at >= 0 && to == nil:
		s.few = slices.Delete(s.few, at, at+1)
	case at >= 0:
		s.few[at].to = to
	case to == nil:
	case len(s.few)+1 < manyEdges:
		s.few = append(s.few, edge{p.text, to})
	default:
		s.many = make(map[string]*segment, manyEdges)
		for _, e := range s.few {
			s.many[e.part] = e.to
		}
		s.many[p.text], s.few = to, nil
	}
}
