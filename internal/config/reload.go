package config

import (
	"bytes"
	"slices"

	"olivearch/internal/strictyaml"
)

// Reload reads and checks a file again that old came from. It gives what Load gives, and shares with old what has not
// changed; if few entries differ, the work is in proportion to them, beside reading and comparing the text. It is for
// one goroutine at a time, and of what it has returned only the last, or old, can be reloaded.
func Reload(path string, old *Loaded) (*Loaded, error) {
	text, index, err := old.buffers.read(path, old.bufferIndex)
	if err != nil {
		old.buffers.release(index)
		return nil, err
	}
	next, err := old.reparse(path, text)
	if err != nil {
		old.buffers.release(index)
		return nil, err
	}
	if next.Tenants.Equal(old.Tenants) { // read as a whole: pools need not look
		next.Tenants = old.Tenants
	}
	next.buffers = old.buffers
	next.bufferIndex = index
	if next.source == nil {
		old.buffers.release(index)
		next.bufferIndex = notBuffered
	}
	return next, nil // old is reachable up to here, and with it the memory of its text
}

// reparse is Parse of a text that may differ little from that of c.
func (c *Loaded) reparse(path string, text []byte) (*Loaded, error) {
	next, mistaken, diagnosis := c.parseChanges(path, text)
	switch {
	case next != nil:
		return next, nil
	case diagnosis != nil:
		return nil, diagnosis
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

// parseChanges returns the configuration of a text of which few entries differ from that of c. It returns nil if that
// is in doubt or if there is a mistake; diagnosis is then the error that reading the whole would give, nil if that has
// to be read.
func (c *Loaded) parseChanges(path string, text []byte) (next *Loaded, mistaken bool, diagnosis error) {
	if c.source == nil {
		return nil, false, nil
	}
	copied := *c
	next = &copied
	next.bytesRead = 0
	next.fileSize = len(text)
	next.source = &sourceText{text: text, valueCount: c.source.valueCount}
	r := reloader{
		checker: checker{Doc: &strictyaml.Doc{File: path}, Loaded: next},
		path:    path,
		old:     c.source,
	}
	if !r.apply() {
		return nil, r.Failed(), r.diagnosis
	}
	if next.source.valueCount > maxSectionedValues || next.hasUnusedTargets() {
		return nil, false, nil
	}
	return next, false, nil
}

// hasUnusedTargets reports whether so many targets are left that no rule leads to any more that the whole is to be
// read, which drops them.
func (c *Loaded) hasUnusedTargets() bool { return len(c.Targets) > 2*c.Table.Len()+256 }

// reloader applies what differs between two texts to a copy of the configuration of the first.
type reloader struct {
	checker // of the copy, whose source has the new text

	path string // of the file
	old  *sourceText
}

// apply finds the sections that differ and applies them; false if that is in doubt or if there is a mistake.
func (r *reloader) apply() bool {
	oldText := r.old.text
	newText := r.source.text
	common := commonLines(oldText, newText)
	oldMiddle := common.middle(oldText)
	newMiddle := common.middle(newText)
	growth := len(newText) - len(oldText)

	onlyBeforeSections := len(oldText)-common.suffix <= r.old.sections[0].Start
	if onlyBeforeSections && strictyaml.OnlyComments(newMiddle) {
		r.source.sections = r.old.shiftedSections(-1, growth)
		return true
	}
	index, inOneSection := r.old.sectionAround(common)
	if inOneSection && strictyaml.OnlyIndented(oldMiddle) && strictyaml.OnlyIndented(newMiddle) {
		r.source.sections = r.old.shiftedSections(index, growth)
		return r.applySection(r.old.sections[index], r.source.sections[index], common)
	}
	r.source.sections = strictyaml.Outline(newText)
	return r.applyEachSection()
}

// applyEachSection compares two texts section by section, which may stand in another order, and applies those that
// differ. An error has no diagnosis, since other sections may have errors too.
func (r *reloader) applyEachSection() bool {
	if len(r.source.sections) != len(r.old.sections) {
		return false
	}
	for _, after := range r.source.sections {
		index := slices.IndexFunc(r.old.sections, func(s strictyaml.Section) bool { return s.Key == after.Key })
		if index < 0 {
			return false
		}
		before := r.old.sections[index]
		oldText := r.old.text[before.Start:before.End]
		newText := r.source.text[after.Start:after.End]
		if bytes.Equal(oldText, newText) {
			continue
		}
		common := commonLines(oldText, newText)
		common.prefix += before.Start
		common.suffix += len(r.old.text) - before.End
		if !r.applySection(before, after, common) {
			r.diagnosis = nil
			return false
		}
	}
	return true
}

// sectionAround returns the index of the section whose body holds all of the text but what is common.
func (s *sourceText) sectionAround(common commonText) (index int, found bool) {
	end := len(s.text) - common.suffix
	index = slices.IndexFunc(s.sections, func(section strictyaml.Section) bool {
		return section.Block && section.Body <= common.prefix && end <= section.End
	})
	return index, index >= 0
}

// shiftedSections returns the sections of a text in which the one at an index has become longer by so many bytes; the
// index -1 stands for what is before the first.
func (s *sourceText) shiftedSections(index, growth int) []strictyaml.Section {
	sections := slices.Clone(s.sections)
	for i := range sections {
		if i > index {
			sections[i].Start += growth
			sections[i].Body += growth
		}
		if i >= index {
			sections[i].End += growth
		}
	}
	return sections
}
