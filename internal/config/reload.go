package config

import (
	"bytes"
	"slices"

	"olivearch/internal/strictyaml"
)

// Reload reads and checks again the file that old was loaded from. Its result is equivalent to that of Load, and shares
// the unchanged parts with old. If few entries differ, only these are parsed; the rest of the text is read and
// compared. Only one goroutine at a time may call Reload for old and the configurations reloaded from it. Only old, or
// the latest configuration that was returned, can be reloaded.
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
	if next.Tenants.Equal(old.Tenants) { // by the same pointer, pools see that nothing has changed
		next.Tenants = old.Tenants
	}
	next.buffers = old.buffers
	next.bufferIndex = index
	if next.source == nil {
		old.buffers.release(index)
		next.bufferIndex = notBuffered
	}
	return next, nil // old is used up to here, so the buffer with its text is not unmapped before
}

// reparse is Parse for a text that may differ little from the text of c.
func (c *Loaded) reparse(path string, text []byte) (*Loaded, error) {
	next, invalid, diagnosis := c.parseChanges(path, text)
	switch {
	case next != nil:
		return next, nil
	case diagnosis != nil:
		return nil, diagnosis
	case invalid && c.allowsReadingWhole(text):
		return parseWhole(path, text)
	}
	return parse(path, text, c.Cost(0).ResidentBytes)
}

// allowsReadingWhole reports whether limits.memory allows parsing a text as a whole while c is in force.
func (c *Loaded) allowsReadingWhole(text []byte) bool {
	need := memoryNeed{limit: c.Limits.Memory, inUse: c.Cost(0).ResidentBytes, textSize: len(text)}
	return need.check() == nil
}

// parseChanges returns the configuration of a text by parsing only the entries that differ from the text of c. It
// returns nil if the result might not be that of parseWhole, or if an error was found, which invalid reports. In the
// latter case diagnosis is the error that parseWhole would return, or nil if only parseWhole can find it.
func (c *Loaded) parseChanges(path string, text []byte) (next *Loaded, invalid bool, diagnosis error) {
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
	if next.source.valueCount > maxSectionedValues || next.hasManyUnusedTargets() {
		return nil, false, nil
	}
	return next, false, nil
}

// hasManyUnusedTargets reports whether most targets are no longer used by a rule. The whole text is then parsed again,
// which drops them.
func (c *Loaded) hasManyUnusedTargets() bool { return len(c.Targets) > 2*c.Table.Len()+256 }

// reloader applies the differences between two texts to a copy of the first text's configuration.
type reloader struct {
	checker // of the copy, whose source is the new text

	path string // of the file
	old  *sourceText
}

// apply finds the sections that differ and applies them. It returns false if there is an error or if the result might
// not be that of parseWhole.
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

// applyEachSection compares two texts section by section, in whichever order the sections stand, and applies those that
// differ. Its results are those of apply. It leaves no diagnosis, since other sections may have errors too.
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

// sectionAround returns the index of the section whose body contains all of the text that is not common.
func (s *sourceText) sectionAround(common commonText) (index int, found bool) {
	end := len(s.text) - common.suffix
	index = slices.IndexFunc(s.sections, func(section strictyaml.Section) bool {
		return section.Block && section.Body <= common.prefix && end <= section.End
	})
	return index, index >= 0
}

// shiftedSections returns the sections of a text in which the section at an index has grown by a number of bytes. The
// index -1 stands for the text before the first section.
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
