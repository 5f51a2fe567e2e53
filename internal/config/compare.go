package config

import (
	"bytes"

	"olivearch/internal/strictyaml"
)

// commonText describes the lines that two texts have in common at their beginning and at their end.
type commonText struct {
	prefix int // bytes of the common lines at the beginning
	suffix int // bytes of the common lines at the end, which do not overlap with the prefix
}

// middle returns the part of one of the texts between the common prefix and suffix.
func (c commonText) middle(text []byte) []byte { return text[c.prefix : len(text)-c.suffix] }

// commonLines returns the common lines at the beginning and at the end of two texts.
func commonLines(before, after []byte) commonText {
	prefix := commonPrefix(before, after)
	prefix = bytes.LastIndexByte(before[:prefix], '\n') + 1
	before = before[prefix:]
	after = after[prefix:]
	suffix := commonSuffix(before, after)
	if beginsLine(before, len(before)-suffix) && beginsLine(after, len(after)-suffix) {
		return commonText{prefix, suffix}
	}
	lastDifferent := bytes.IndexByte(before[len(before)-suffix:], '\n') // the line feed of the last line that differs
	if lastDifferent < 0 {
		return commonText{prefix, 0}
	}
	return commonText{prefix, suffix - lastDifferent - 1}
}

// compareBlock is the number of bytes that are compared at once.
const compareBlock = 1 << 12

// commonPrefix returns the length of the common prefix of two texts, in bytes.
func commonPrefix(x, y []byte) int {
	shorter := min(len(x), len(y))
	count := 0
	for count+compareBlock <= shorter && bytes.Equal(x[count:count+compareBlock], y[count:count+compareBlock]) {
		count += compareBlock
	}
	for count < shorter && x[count] == y[count] {
		count++
	}
	return count
}

// commonSuffix returns the length of the common suffix of two texts, in bytes.
func commonSuffix(x, y []byte) int {
	shorter := min(len(x), len(y))
	x = x[len(x)-shorter:]
	y = y[len(y)-shorter:]
	start := shorter // of the common suffix
	for start >= compareBlock && bytes.Equal(x[start-compareBlock:start], y[start-compareBlock:start]) {
		start -= compareBlock
	}
	for start > 0 && x[start-1] == y[start-1] {
		start--
	}
	return shorter - start
}

// beginsLine reports whether a line begins at an offset of a text.
func beginsLine(text []byte, offset int) bool { return offset == 0 || text[offset-1] == '\n' }

// sectionChange holds the entries of a section that differ between two texts.
type sectionChange struct {
	before, after *strictyaml.Entries
	start         int // offset of the first of these entries, the same in both bodies
}

// changedEntries returns the entries in which two bodies of a section differ. They include, if there is one, the entry
// before the first difference, since the difference may belong to it. ok is false if the bodies can't be compared entry
// by entry.
func changedEntries(before, after []byte, common commonText) (change sectionChange, ok bool) {
	oldFirst := strictyaml.SplitEntries(throughFirstEntryLine(before))
	newFirst := strictyaml.SplitEntries(throughFirstEntryLine(after))
	if oldFirst == nil || newFirst == nil {
		return sectionChange{}, false
	}
	if oldFirst.Column != newFirst.Column || oldFirst.List != newFirst.List {
		return sectionChange{}, false
	}
	column := oldFirst.Column
	common.prefix = startOfEntryBefore(before, common.prefix, column)
	if common.suffix > 0 && !beginsEntry(before[len(before)-common.suffix:], column) {
		common.suffix = suffixFromNextEntry(before, common.suffix, column)
	}
	change = splitChange(before, after, common)
	if common.suffix > 0 && !change.isSplit() { // an entry was added or removed before the first one
		common.suffix = suffixFromNextEntry(before, common.suffix, column)
		change = splitChange(before, after, common)
	}
	return change, change.isSplit()
}

// splitChange splits the parts that two bodies do not have in common into entries.
func splitChange(before, after []byte, common commonText) sectionChange {
	return sectionChange{
		before: strictyaml.SplitEntries(common.middle(before)),
		after:  strictyaml.SplitEntries(common.middle(after)),
		start:  common.prefix,
	}
}

// isSplit reports whether both texts have entries that differ.
func (c sectionChange) isSplit() bool { return c.before != nil && c.after != nil }

// startOfEntryBefore returns the offset of the last entry that begins before an offset of a body; 0 if there is none.
func startOfEntryBefore(body []byte, offset, column int) int {
	for offset > 0 {
		offset = bytes.LastIndexByte(body[:offset-1], '\n') + 1
		if beginsEntry(body[offset:], column) {
			break
		}
	}
	return offset
}

// suffixFromNextEntry shortens a suffix of a body so that it begins with an entry, by one line at least. It returns the
// new length, which is 0 if no entry begins in the rest.
func suffixFromNextEntry(body []byte, suffix, column int) int {
	for suffix > 0 {
		lineEnd := bytes.IndexByte(body[len(body)-suffix:], '\n')
		if lineEnd < 0 {
			return 0
		}
		suffix -= lineEnd + 1
		if beginsEntry(body[len(body)-suffix:], column) {
			break
		}
	}
	return suffix
}

// beginsEntry reports whether a text begins with the first line of an entry at a column.
func beginsEntry(text []byte, column int) bool {
	if len(text) <= column || len(bytes.TrimLeft(text[:column], " ")) > 0 {
		return false
	}
	char := text[column]
	return char != ' ' && char != '#' && char != '\n'
}

// throughFirstEntryLine returns a body up to the end of the first line of its first entry; nil if it has no entry.
func throughFirstEntryLine(body []byte) []byte {
	for offset := 0; offset < len(body); {
		line := body[offset:]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end+1]
		}
		offset += len(line)
		text := bytes.TrimLeft(line, " ")
		if len(text) > 0 && text[0] != '\n' && text[0] != '#' {
			return body[:offset]
		}
	}
	return nil
}
