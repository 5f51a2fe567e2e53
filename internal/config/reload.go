package config

import (
	"bytes"
	"maps"
	"path/filepath"
	"reflect"
	"slices"

	"olivearch/balancer"
	"olivearch/internal/route"
	"olivearch/internal/strictyaml"
)

// Reload reads and checks a file again that old came from. It gives what Load gives, and has in common with old what has not changed; where
// few entries differ, the work is in proportion to them, beside reading and comparing the text. It is for one goroutine at a time, and
// of what it has returned only the last, or old, can be reloaded.
func Reload(path string, old *Loaded) (*Loaded, error) {
	text, in, err := old.texts.read(path, old.textIn)
	if err != nil {
		old.texts.release(in)
		return nil, err
	}
	next, err := old.reparse(path, text)
	if err != nil {
		old.texts.release(in)
		return nil, err
	}
	if next.Tenants.Equal(old.Tenants) { // read as a whole: pools need not look
		next.Tenants = old.Tenants
	}
	if next.texts, next.textIn = old.texts, in; next.held == nil {
		old.texts.release(in)
		next.textIn = heap
	}
	return next, nil // old is in hand up to here, and with it the memory of its text
}

func (c *Loaded) reparse(path string, text []byte) (*Loaded, error) {
	next, mistaken, mistake := c.changed(path, text)
	switch {
	case next != nil:
		return next, nil
	case mistake != nil:
		return nil, mistake
	case mistaken && bears(path, strictyaml.Position{}, c.Limits.Memory, c.Cost(0).Resident, len(text), false, "") == nil:
		return atOnce(path, text)
	}
	return parse(path, text, c.Cost(0).Resident)
}

// changed returns the configuration of a text of which few entries differ from the one held; nil if that is in doubt or there is a
// mistake. mistake is what reading the whole would tell of that, nil if that has to be read.
func (c *Loaded) changed(path string, text []byte) (next *Loaded, mistaken bool, mistake error) {
	if c.held == nil {
		return nil, false, nil
	}
	copied := *c
	next = &copied
	next.read, next.size = 0, len(text)
	next.held = &held{text: text, values: c.held.values}
	k := checker{Doc: &strictyaml.Doc{File: path}, Loaded: next}
	from, end := compare(c.held.text, text)
	if by := len(text) - len(c.held.text); len(c.held.text)-end <= c.held.parts[0].Start && strictyaml.OnlyComments(text[from:len(text)-end]) {
		next.held.parts = c.held.moved(-1, by) // comments before all else
	} else if p, within := c.held.around(from, end); within && strictyaml.OnlyIndented(c.held.text[from:len(c.held.text)-end]) && strictyaml.OnlyIndented(text[from:len(text)-end]) {
		next.held.parts = c.held.moved(p, by)
		if ok := k.change(path, c.held, p, next.held.parts[p], from, end); !ok {
			return nil, k.Failed(), k.mistake
		}
	} else if next.held.parts = strictyaml.Outline(text); len(next.held.parts) != len(c.held.parts) {
		return nil, false, nil
	} else {
		for _, now := range next.held.parts {
			p := slices.IndexFunc(c.held.parts, func(x strictyaml.Section) bool { return x.Key == now.Key })
			if p < 0 {
				return nil, false, nil
			}
			was := c.held.parts[p]
			if bytes.Equal(c.held.text[was.Start:was.End], text[now.Start:now.End]) {
				continue
			}
			from, end := compare(c.held.text[was.Start:was.End], text[now.Start:now.End])
			if ok := k.change(path, c.held, p, now, was.Start+from, len(c.held.text)-was.End+end); !ok {
				return nil, k.Failed(), nil
			}
		}
	}
	if next.held.values > strictyaml.MaxValues/2 || len(next.Targets) > 2*next.Table.Len()+256 { // those that no rule leads to any more are dropped
		return nil, false, nil
	}
	return next, false, nil
}

// compare returns how much two texts have in common at their beginning and, beyond that, at their end, in whole lines.
func compare(was, is []byte) (from, end int) {
	const block = 1 << 12
	least := min(len(was), len(is))
	for from+block <= least && bytes.Equal(was[from:from+block], is[from:from+block]) {
		from += block
	}
	for from < least && was[from] == is[from] {
		from++
	}
	from = bytes.LastIndexByte(was[:from], '\n') + 1
	w, i := was[from:], is[from:]
	least -= from
	for end+block <= least && bytes.Equal(w[len(w)-end-block:len(w)-end], i[len(i)-end-block:len(i)-end]) {
		end += block
	}
	for end < least && w[len(w)-1-end] == i[len(i)-1-end] {
		end++
	}
	begins := func(text []byte) bool { return end == len(text) || text[len(text)-end-1] == '\n' }
	if begins(w) && begins(i) {
		return from, end
	}
	if line := bytes.IndexByte(w[len(w)-end:], '\n'); line >= 0 { // behind the line in which they differ last
		return from, end - line - 1
	}
	return from, 0
}

// around returns the part in whose body all of the text is but so much at its beginning and its end.
func (h *held) around(from, end int) (part int, within bool) {
	for i, p := range h.parts {
		if p.Block && p.Body <= from && len(h.text)-end <= p.End {
			return i, true
		}
	}
	return 0, false
}

// moved are the parts of a text in which one has become longer; -1: what stands before them.
func (h *held) moved(part, by int) []strictyaml.Section {
	parts := slices.Clone(h.parts)
	for i := range parts {
		if i > part {
			parts[i].Start, parts[i].Body = parts[i].Start+by, parts[i].Body+by
		}
		if i >= part {
			parts[i].End += by
		}
	}
	return parts
}

// change takes a part that differs, but for so much of the old text before and behind it; false if that is in doubt.
func (k *checker) change(path string, old *held, part int, now strictyaml.Section, from, end int) bool {
	was := old.parts[part]
	if was.Block != now.Block {
		return false
	}
	if !long[now.Key] || !now.Block { // a comment
		var before, after File
		_, ok := strictyaml.ReadSection(path, old.text, was, &before)
		d, whole := strictyaml.ReadSection(path, k.held.text, now, &after)
		return ok && whole && !d.Failed() && reflect.DeepEqual(before, after)
	}
	before, after, begin := differing(old.text[was.Body:was.End], k.held.text[now.Body:now.End], max(0, from-was.Body), max(0, was.End-(len(old.text)-end)))
	if before == nil || after == nil {
		return false
	}
	k.near = func(into any) *strictyaml.Doc {
		return strictyaml.DiagnoseEntries(path, k.held.text, now, now.Body+begin, now.Body+begin+len(after.Text), into)
	}
	ok := false
	switch now.Key {
	case "tenants":
		ok = k.changeTenants(path, before, after)
	case "routes":
		ok = k.changeRoutes(path, before, after)
	case "pools":
		ok = k.changePools(path, before, after)
	}
	return ok && !k.Failed()
}

// Read is how much was read anew for the configuration, in bytes of its file.
func (c *Loaded) Read() int { return c.read }

// differing returns the entries in which two bodies differ, with one before where there is one, whose line both have; nil if they can't be
// compared so. They have whole lines in common, so much at the beginning and at the end. begin is where the entries' text begins in both.
func differing(was, is []byte, from, end int) (x, y *strictyaml.Entries, begin int) {
	first := strictyaml.SplitEntries(head(was))
	if other := strictyaml.SplitEntries(head(is)); first == nil || other == nil || first.Column != other.Column || first.List != other.List {
		return nil, nil, 0
	}
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
	next := func() { // to where an entry begins whose line is the same in both
		for first := true; end > 0 && (first || !begins(was[len(was)-end:])); first = false {
			line := bytes.IndexByte(was[len(was)-end:], '\n')
			if line < 0 {
				end = 0
				break
			}
			end -= line + 1
		}
	}
	if end > 0 && !begins(was[len(was)-end:]) {
		next()
	}
	x, y = strictyaml.SplitEntries(was[from:len(was)-end]), strictyaml.SplitEntries(is[from:len(is)-end])
	if end > 0 && (x == nil || y == nil) { // before the first entry one stands in but one of them
		next()
		x, y = strictyaml.SplitEntries(was[from:len(was)-end]), strictyaml.SplitEntries(is[from:len(is)-end])
	}
	return x, y, from
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

// mostFew is how many entries may differ: more are read faster side by side.
const mostFew = 4096

// few reads what differs, as it was and as it is; false if it is much or in doubt. taken tells whether what is read has a name that another
// entry has.
func few[T any](k *checker, path string, was, is *strictyaml.Entries, old, next *T, taken func(old, next T) bool) bool {
	if len(was.Starts) > mostFew || len(is.Starts) > mostFew {
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
		var read T
		if near := k.near(&read); near != nil && !taken(*old, read) {
			k.mistake = near.Err()
		}
	}
	return ok
}

// newName tells whether a name is new among those that differ, and there among all.
func newName[T any](old, next map[string]T, there func(string) bool) bool {
	for name := range next {
		if _, known := old[name]; !known && there(name) {
			return true
		}
	}
	return false
}

func (k *checker) changeTenants(path string, was, is *strictyaml.Entries) bool {
	var old, next map[string]Tenant
	taken := func(old, next map[string]Tenant) bool {
		return newName(old, next, func(name string) bool { _, there := k.Tenants.Quota(name); return there })
	}
	if !few(k, path, was, is, &old, &next, taken) {
		return false
	}
	if taken(old, next) {
		k.Fail("", "a name is there twice")
		return false
	}
	var changed []balancer.Tenant
	var gone []string
	var unfair []string
	for name, t := range next {
		if !fair(t.Quota) {
			unfair = append(unfair, name)
		}
		if before, known := old[name]; !known || before != t {
			changed = append(changed, balancer.Tenant{Name: name, Quota: t.Quota})
		}
	}
	if len(unfair) > 0 {
		k.Fail("", "there is no such quota")
		if near := k.near(new(map[string]Tenant)); near != nil {
			for _, name := range unfair {
				near.Fail(name+".quota", wrongQuota)
			}
			k.mistake = near.Err()
		}
		return false
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
	if !few(k, path, was, is, &old, &next, func(_, _ []Route) bool { return false }) { // names are looked at once all can be read
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
	classes := k.used
	k.used = maps.Clone(classes)
	own := map[string]bool{}
	for _, name := range gone {
		k.use(before[name].Class, k.Table.Rule(name).Pools, -1, own)
	}
	for _, rule := range added {
		k.use(k.Targets[rule.To].Class, rule.Pools, 1, own)
	}
	for pool := range own { // a pool is told its classes, however many routes have them
		if !maps.EqualFunc(classes[pool], k.used[pool], func(int, int) bool { return true }) {
			k.told = new(basis)
		}
	}
	k.Table = table
	return true
}

func (k *checker) changePools(path string, was, is *strictyaml.Entries) bool {
	var old, next map[string]Pool
	taken := func(old, next map[string]Pool) bool {
		return newName(old, next, func(name string) bool { _, there := k.Pools[name]; return there })
	}
	if !few(k, path, was, is, &old, &next, taken) || len(old) != len(next) { // what is left out depends on their number
		return false
	}
	k.Pools, k.told = maps.Clone(k.Pools), new(basis)
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
