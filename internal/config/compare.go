package config

import (
	"bytes"

	"olivearch/internal/strictyaml"
)

// commonText is what two texts have in common, in whole lines.
type commonText struct {
	prefix int // bytes at the beginning
	suffix int // bytes at the end, beyond the prefix
}

// middle returns what one of the texts has between the common parts.
func (c commonText) middle(text []byte) []byte { return text[c.prefix : len(text)-c.suffix] }

// commonLines returns how much two texts have in common at their beginning and, beyond that, at their end.
func commonLines(before, after []byte) commonText {
	prefix := commonPrefix(before, after)
	prefix = bytes.LastIndexByte(before[:prefix], '\n') + 1
	before = before[prefix:]
	after = after[prefix:]
	suffix := commonSuffix(before, after)
	if beginsLine(before, len(before)-suffix) && beginsLine(after, len(after)-suffix) {
		return commonText{prefix, suffix}
	}
	lastDifferent := bytes.IndexByte(before[len(before)-suffix:], '\n') // the end of the last line that differs
	if lastDifferent < 0 {
		return commonText{prefix, 0}
	}
	return commonText{prefix, suffix - lastDifferent - 1}
}

// compareBlock is how many bytes are compared at once.
const compareBlock = 1 << 12

// commonPrefix returns the number of bytes in which two texts agree from their beginning.
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

// commonSuffix returns the number of bytes in which two texts agree from their end.
func commonSuffix(x, y []byte) int {
	shorter := min(len(x), len(y))
	x = x[len(x)-shorter:]
	y = y[len(y)-shorter:]
	start := shorter // of what agrees
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

// sectionChange is a section whose entries differ between two texts, with the entries that differ.
type sectionChange struct {
	before, after *strictyaml.Entries
	start         int // where the text of the entries begins, in both bodies
}

// changedEntries returns the entries in which two bodies of a section differ, with one before them if there is one,
// whose first line both have. ok is false if the bodies can't be compared so.
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
	if common.suffix > 0 && !change.isSplit() { // before the first entry, one stands in only one of them
		common.suffix = suffixFromNextEntry(before, common.suffix, column)
		change = splitChange(before, after, common)
	}
	return change, change.isSplit()
}

// splitChange splits what two bodies do not have in common into entries.
func splitChange(before, after []byte, common commonText) sectionChange {
	return sectionChange{
		before: strictyaml.SplitEntries(common.middle(before)),
		after:  strictyaml.SplitEntries(common.middle(after)),
		start:  common.prefix,
	}
}

// isSplit reports whether there are entries in both texts.
func (c sectionChange) isSplit() bool { return c.before != nil && c.after != nil }

// startOfEntryBefore returns where the last entry before an offset of a body begins; 0 if there is none.
func startOfEntryBefore(body []byte, offset, column int) int {
	for offset > 0 {
		offset = bytes.LastIndexByte(body[:offset-1], '\n') + 1
		if beginsEntry(body[offset:], column) {
			break
		}
	}
	return offset
}

// suffixFromNextEntry returns the length of a body's end from where an entry begins, after the first line of a longer
// end; 0 if there is no entry.
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

// throughFirstEntryLine returns a body up to the end of its first entry's first line; nil if it has no entry.
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
