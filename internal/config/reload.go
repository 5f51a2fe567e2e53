package config

import (
	"bytes"
	"maps"
	"path/filepath"
	"reflect"

	"clayladder"
	"clayladder/internal/route"
	"clayladder/internal/strictyaml"
)

// Reload reads and checks a file again that old came from. It gives what Load gives, and has in common with old what has not changed; where
// few entries differ, the work is in proportion to them.
func Reload(path string, old *Loaded) (*Loaded, error) {
	text, err := strictyaml.ReadFile(path, maxFile)
	if err != nil {
		return nil, err
	}
	return old.reparse(path, text)
}

func (c *Loaded) reparse(path string, text []byte) (*Loaded, error) {
	next, mistaken := c.changed(path, text)
	switch {
	case next != nil:
		return next, nil
	case mistaken:
		return atOnce(path, text)
	}
	return Parse(path, text)
}

// changed returns the configuration of a text of which few entries differ from the one held; nil if that is in doubt or there is a
// mistake, which reading the whole tells.
func (c *Loaded) changed(path string, text []byte) (next *Loaded, mistaken bool) {
	if c.held == nil {
		return nil, false
	}
	h := &held{text: text, parts: strictyaml.Outline(text), values: c.held.values}
	if len(h.parts) == 0 || len(h.parts) != len(c.held.parts) {
		return nil, false
	}
	copied := *c
	next = &copied
	next.held, next.read = h, 0
	k := checker{Doc: &strictyaml.Doc{File: path}, Loaded: next}
	for _, p := range h.parts {
		before, known := c.held.section(p.Key)
		switch {
		case !known || before.Block != p.Block:
			return nil, false
		case bytes.Equal(c.held.text[before.From:before.To], text[p.From:p.To]):
		case !long[p.Key] || !p.Block: // a comment
			var was, is File
			_, ok := strictyaml.ReadPart(path, c.held.text, before, &was)
			d, whole := strictyaml.ReadPart(path, text, p, &is)
			if !ok || !whole || d.Failed() || !reflect.DeepEqual(was, is) {
				return nil, false
			}
		default:
			was, is := differing(c.held.text[before.Body:before.To], text[p.Body:p.To])
			if was == nil || is == nil {
				return nil, false
			}
			ok := false
			switch p.Key {
			case "tenants":
				ok = k.changeTenants(path, was, is)
			case "routes":
				ok = k.changeRoutes(path, was, is)
			case "pools":
				ok = k.changePools(path, was, is)
			}
			if !ok || k.Failed() {
				return nil, k.Failed()
			}
		}
	}
	if h.values > strictyaml.MaxValues/2 || len(next.Targets) > 2*next.Table.Len()+256 { // those that no rule leads to any more are dropped
		return nil, false
	}
	return next, false
}

// Read is how much was read anew for the configuration, in bytes of its file.
func (c *Loaded) Read() int { return c.read }

// differing returns the entries in which two bodies differ, with one before where there is one, whose line both have; nil if they can't be
// compared so.
func differing(was, is []byte) (*strictyaml.Entries, *strictyaml.Entries) {
	from := 0
	for from < min(len(was), len(is)) && was[from] == is[from] {
		from++
	}
	end := 0
	for end < min(len(was), len(is))-from && was[len(was)-1-end] == is[len(is)-1-end] {
		end++
	}
	first := strictyaml.Divide(head(was))
	if other := strictyaml.Divide(head(is)); first == nil || other == nil || first.Column != other.Column || first.List != other.List {
		return nil, nil
	}
	from = bytes.LastIndexByte(was[:from], '\n') + 1 // the line that differs first
	at := first.Column
	begins := func(text []byte) bool { // an entry
		return len(text) > at && text[at] != ' ' && text[at] != '#' && text[at] != '\n' && len(bytes.TrimLeft(text[:at], " ")) == 0
	}
	for from > 0 { // to an entry before it: its first line is the same in both
		from = bytes.LastIndexByte(was[:from-1], '\n') + 1
		if begins(was[from:]) {
			break
		}
	}
	for end > 0 { // to the next entry that begins a line, both of which are the same
		line := bytes.IndexByte(was[len(was)-end:], '\n')
		if line < 0 {
			end = 0
			break
		}
		if end -= line + 1; end > 0 && begins(was[len(was)-end:]) {
			break
		}
	}
	return strictyaml.Divide(was[from : len(was)-end]), strictyaml.Divide(is[from : len(is)-end])
}

// head is a body to the end of its first entry's first line.
func head(body []byte) []byte {
	for at := 0; at < len(body); {
		line := body[at:]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end+1]
		}
		at += len(line)
		if text := bytes.TrimLeft(line, " "); len(text) > 0 && text[0] != '\n' && text[0] != '#' {
			return body[:at]
		}
	}
	return nil
}

// few reads what differs, as it was and as it is; false if it is much or in doubt.
func few[T any](k *checker, path string, was, is *strictyaml.Entries, old, next *T) bool {
	if len(was.Starts) > 4*batch || len(is.Starts) > 4*batch {
		return false
	}
	d, ok := was.Read(path, 0, 0, len(was.Starts), old)
	if !ok {
		return false
	}
	k.held.values -= d.Values()
	d, ok = is.Read(path, 0, 0, len(is.Starts), next)
	k.read += len(is.Text)
	if k.held.values += d.Values(); d.Failed() {
		k.Fail("", "it has mistakes")
	}
	return ok
}

func (k *checker) changeTenants(path string, was, is *strictyaml.Entries) bool {
	var old, next map[string]Tenant
	if !few(k, path, was, is, &old, &next) {
		return false
	}
	var changed []clayladder.Tenant
	var gone []string
	for name, t := range next {
		before, known := old[name]
		if _, elsewhere := k.Tenants.Quota(name); !known && elsewhere || !fair(t.Quota) {
			k.Fail("", "it is there twice, or has no such quota")
			return false
		}
		if !known || before != t {
			changed = append(changed, clayladder.Tenant{Name: name, Quota: t.Quota})
		}
	}
	for name := range old {
		if _, stays := next[name]; !stays {
			gone = append(gone, name)
		}
	}
	if len(changed)+len(gone) > 0 {
		k.Tenants = k.Tenants.With(changed, gone)
	}
	return true
}

func (k *checker) changeRoutes(path string, was, is *strictyaml.Entries) bool {
	var old, next []Route
	if !few(k, path, was, is, &old, &next) {
		return false
	}
	before := make(map[string]*Route, len(old))
	for i := range old {
		before[old[i].Name] = &old[i]
	}
	k.targets, k.Targets = maps.Clone(k.targets), k.Targets[:len(k.Targets):len(k.Targets)]
	var gone []string
	var added []route.Rule
	seen := map[string]bool{}
	for i := range next {
		r := &next[i]
		if r.Name == "" || seen[r.Name] || before[r.Name] == nil && k.Table.Rule(r.Name) != nil {
			k.Fail("", "it needs a name of its own")
			return false
		}
		seen[r.Name] = true
		if x := before[r.Name]; x != nil && reflect.DeepEqual(x, r) {
			delete(before, r.Name)
			continue
		}
		rule, ok := k.route("", r)
		if !ok {
			return false
		}
		added = append(added, rule)
	}
	for name := range before {
		gone = append(gone, name)
	}
	if len(added)+len(gone) == 0 {
		return true
	}
	table, errs := k.Table.With(gone, added)
	if errs != nil || table.Len() == 0 {
		return false
	}
	k.Table = table
	k.uses()
	return true
}

func (k *checker) changePools(path string, was, is *strictyaml.Entries) bool {
	var old, next map[string]Pool
	if !few(k, path, was, is, &old, &next) || len(old) != len(next) { // what is left out depends on their number
		return false
	}
	k.Pools = maps.Clone(k.Pools)
	for name, p := range next {
		before, known := k.Pools[name]
		if _, there := old[name]; !there || !known {
			return false
		}
		k.pool(filepath.Dir(path), name, &p)
		if p.Tunnels != before.Tunnels { // routes lead to them
			return false
		}
		k.Pools[name] = p
	}
	if !k.Failed() {
		k.bulkheads()
	}
	return true
}
