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
	text, in, err := old.buffers.read(path, old.bufferIndex)
	if err != nil {
		old.buffers.release(in)
		return nil, err
	}
	next, err := old.reparse(path, text)
	if err != nil {
		old.buffers.release(in)
		return nil, err
	}
	if next.Tenants.Equal(old.Tenants) { // read as a whole: pools need not look
		next.Tenants = old.Tenants
	}
	if next.buffers, next.bufferIndex = old.buffers, in; next.source == nil {
		old.buffers.release(in)
		next.bufferIndex = notBuffered
	}
	return next, nil // old is in hand up to here, and with it the memory of its text
}

func (c *Loaded) reparse(path string, text []byte) (*Loaded, error) {
	next, mistaken, mistake := c.parseChanges(path, text)
	switch {
	case next != nil:
		return next, nil
	case mistake != nil:
		return nil, mistake
	case mistaken && c.allowsReadingWhole(text):
		return parseWhole(path, text)
	}
	return parse(path, text, c.Cost(0).Resident)
}

// allowsReadingWhole reports whether the memory allows for reading a text at once while c is in force.
func (c *Loaded) allowsReadingWhole(text []byte) bool {
	need := readingNeed{limit: c.Limits.Memory, inUse: c.Cost(0).Resident, textSize: len(text)}
	return need.check() == nil
}

// parseChanges returns the configuration of a text of which few entries differ from the one held; nil if that is in doubt or there is a
// mistake. mistake is what reading the whole would tell of that, nil if that has to be read.
func (c *Loaded) parseChanges(path string, text []byte) (next *Loaded, mistaken bool, mistake error) {
	if c.source == nil {
		return nil, false, nil
	}
	copied := *c
	next = &copied
	next.bytesRead, next.fileSize = 0, len(text)
	next.source = &sourceText{text: text, valueCount: c.source.valueCount}
	k := checker{Doc: &strictyaml.Doc{File: path}, Loaded: next}
	from, end := commonLines(c.source.text, text)
	if by := len(text) - len(c.source.text); len(c.source.text)-end <= c.source.sections[0].Start && strictyaml.OnlyComments(text[from:len(text)-end]) {
		next.source.sections = c.source.shiftedSections(-1, by) // comments before all else
	} else if p, within := c.source.sectionAround(from, end); within && strictyaml.OnlyIndented(c.source.text[from:len(c.source.text)-end]) && strictyaml.OnlyIndented(text[from:len(text)-end]) {
		next.source.sections = c.source.shiftedSections(p, by)
		if ok := k.applySection(path, c.source, p, next.source.sections[p], from, end); !ok {
			return nil, k.Failed(), k.diagnosis
		}
	} else if next.source.sections = strictyaml.Outline(text); len(next.source.sections) != len(c.source.sections) {
		return nil, false, nil
	} else {
		for _, now := range next.source.sections {
			p := slices.IndexFunc(c.source.sections, func(x strictyaml.Section) bool { return x.Key == now.Key })
			if p < 0 {
				return nil, false, nil
			}
			was := c.source.sections[p]
			if bytes.Equal(c.source.text[was.Start:was.End], text[now.Start:now.End]) {
				continue
			}
			from, end := commonLines(c.source.text[was.Start:was.End], text[now.Start:now.End])
			if ok := k.applySection(path, c.source, p, now, was.Start+from, len(c.source.text)-was.End+end); !ok {
				return nil, k.Failed(), nil
			}
		}
	}
	if next.source.valueCount > strictyaml.MaxValues/2 || len(next.Targets) > 2*next.Table.Len()+256 { // those that no rule leads to any more are dropped
		return nil, false, nil
	}
	return next, false, nil
}

// commonLines returns how much two texts have in common at their beginning and, beyond that, at their end, in whole lines.
func commonLines(was, is []byte) (from, end int) {
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

// sectionAround returns the part in whose body all of the text is but so much at its beginning and its end.
func (h *sourceText) sectionAround(from, end int) (part int, within bool) {
	for i, p := range h.sections {
		if p.Block && p.Body <= from && len(h.text)-end <= p.End {
			return i, true
		}
	}
	return 0, false
}

// shiftedSections are the parts of a text in which one has become longer; -1: what stands before them.
func (h *sourceText) shiftedSections(part, by int) []strictyaml.Section {
	parts := slices.Clone(h.sections)
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

// applySection takes a part that differs, but for so much of the old text before and behind it; false if that is in doubt.
func (k *checker) applySection(path string, old *sourceText, part int, now strictyaml.Section, from, end int) bool {
	was := old.sections[part]
	if was.Block != now.Block {
		return false
	}
	if !batchedSections[now.Key] || !now.Block { // a comment
		var before, after File
		_, ok := strictyaml.ReadSection(path, old.text, was, &before)
		d, whole := strictyaml.ReadSection(path, k.source.text, now, &after)
		return ok && whole && !d.Failed() && reflect.DeepEqual(before, after)
	}
	before, after, begin := changedEntries(old.text[was.Body:was.End], k.source.text[now.Body:now.End], max(0, from-was.Body), max(0, was.End-(len(old.text)-end)))
	if before == nil || after == nil {
		return false
	}
	k.diagnose = func(into any) *strictyaml.Doc {
		return strictyaml.DiagnoseEntries(path, k.source.text, now, now.Body+begin, now.Body+begin+len(after.Text), into)
	}
	ok := false
	switch now.Key {
	case "tenants":
		ok = k.applyTenants(path, before, after)
	case "routes":
		ok = k.applyRoutes(path, before, after)
	case "pools":
		ok = k.applyPools(path, before, after)
	}
	return ok && !k.Failed()
}

// changedEntries returns the entries in which two bodies differ, with one before where there is one, whose line both have; nil if they can't be
// compared so. They have whole lines in common, so much at the beginning and at the end. begin is where the entries' text begins in both.
func changedEntries(was, is []byte, from, end int) (x, y *strictyaml.Entries, begin int) {
	first := strictyaml.SplitEntries(throughFirstEntryLine(was))
	if other := strictyaml.SplitEntries(throughFirstEntryLine(is)); first == nil || other == nil || first.Column != other.Column || first.List != other.List {
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

// throughFirstEntryLine is a body to the end of its first entry's first line.
func throughFirstEntryLine(body []byte) []byte {
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

// maxChangedEntries is how many entries may differ: more are read faster side by side.
const maxChangedEntries = 4096

// readChanged reads what differs, as it was and as it is; false if it is much or in doubt. taken tells whether what is read has a name that another
// entry has.
func readChanged[T any](k *checker, path string, was, is *strictyaml.Entries, old, next *T, taken func(old, next T) bool) bool {
	if len(was.Starts) > maxChangedEntries || len(is.Starts) > maxChangedEntries {
		return false
	}
	d, ok := was.Read(path, 0, 0, len(was.Starts), old)
	if !ok {
		return false
	}
	k.source.valueCount -= d.Values()
	d, ok = is.Read(path, 0, 0, len(is.Starts), next)
	k.bytesRead += len(is.Text)
	if k.source.valueCount += d.Values(); d.Failed() {
		k.Fail("", "it has mistakes")
		var read T
		if near := k.diagnose(&read); near != nil && !taken(*old, read) {
			k.diagnosis = near.Err()
		}
	}
	return ok
}

// reusesName tells whether a name is new among those that differ, and there among all.
func reusesName[T any](old, next map[string]T, there func(string) bool) bool {
	for name := range next {
		if _, known := old[name]; !known && there(name) {
			return true
		}
	}
	return false
}

func (k *checker) applyTenants(path string, was, is *strictyaml.Entries) bool {
	var old, next map[string]Tenant
	taken := func(old, next map[string]Tenant) bool {
		return reusesName(old, next, func(name string) bool { _, there := k.Tenants.Quota(name); return there })
	}
	if !readChanged(k, path, was, is, &old, &next, taken) {
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
		if !isValidQuota(t.Quota) {
			unfair = append(unfair, name)
		}
		if before, known := old[name]; !known || before != t {
			changed = append(changed, balancer.Tenant{Name: name, Quota: t.Quota})
		}
	}
	if len(unfair) > 0 {
		k.Fail("", "there is no such quota")
		if near := k.diagnose(new(map[string]Tenant)); near != nil {
			for _, name := range unfair {
				near.Fail(name+".quota", invalidQuota)
			}
			k.diagnosis = near.Err()
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

func (k *checker) applyRoutes(path string, was, is *strictyaml.Entries) bool {
	var old, next []Route
	if !readChanged(k, path, was, is, &old, &next, func(_, _ []Route) bool { return false }) { // names are looked at once all can be read
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
	classes := k.routesByClass
	k.routesByClass = maps.Clone(classes)
	own := map[string]bool{}
	for _, name := range gone {
		k.addRoutes(before[name].Class, k.Table.Rule(name).Pools, -1, own)
	}
	for _, rule := range added {
		k.addRoutes(k.Targets[rule.To].Class, rule.Pools, 1, own)
	}
	for pool := range own { // a pool is told its classes, however many routes have them
		if !maps.EqualFunc(classes[pool], k.routesByClass[pool], func(int, int) bool { return true }) {
			k.poolSettings = new(settingsIdentity)
		}
	}
	k.Table = table
	return true
}

func (k *checker) applyPools(path string, was, is *strictyaml.Entries) bool {
	var old, next map[string]Pool
	taken := func(old, next map[string]Pool) bool {
		return reusesName(old, next, func(name string) bool { _, there := k.Pools[name]; return there })
	}
	if !readChanged(k, path, was, is, &old, &next, taken) || len(old) != len(next) { // what is left out depends on their number
		return false
	}
	k.Pools, k.poolSettings = maps.Clone(k.Pools), new(settingsIdentity)
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
