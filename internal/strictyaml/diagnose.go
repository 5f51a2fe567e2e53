package strictyaml

import (
	"bytes"
	"reflect"
	"slices"
)

// DiagnoseEntries decodes the entries of a section between two offsets of the text into a pointer to a map or a slice.
// It returns a Doc with the errors in them, whose texts and positions are those of decoding the whole text if the rest
// is valid; nil if that is not certain.
func DiagnoseEntries(file string, text []byte, section Section, from, end int, into any) *Doc {
	entries := SplitEntries(text[from:end])
	if entries == nil {
		return nil
	}
	doc := &Doc{
		File:       file,
		lineOffset: countLines(text[:from]) + entries.Starts[0].Line,
		section:    sectionEntries{key: section.Key, list: entries.List, partial: true},
	}
	if before := SplitEntries(text[section.Body:from]); before != nil {
		doc.section.firstIndex = len(before.Starts)
	}
	if doc.parse(entries.Text[entries.Offset(0):]) == nil {
		return diagnoseSyntax(file, sectionRange{text, section, entries.Column, from, end})
	}
	doc.decodeValue("", doc.root, reflect.ValueOf(into).Elem())
	if !entries.matches(doc, 0, len(entries.Starts)) {
		return nil
	}
	return doc
}

// sectionRange is a range of lines in the body of a section.
type sectionRange struct {
	text    []byte // of the file
	section Section
	column  int // number of spaces before each entry of the section
	from    int // offset of the first line in the text
	end     int // offset after the last line
}

const (
	// contextEntries is the number of entries that are parsed before and after the ones with an error.
	contextEntries = 8
	// extraComments is the number of comment lines that are put above the text for the second of two parses.
	extraComments = 3
)

// diagnoseSyntax finds the syntax error in a range by parsing the range twice with some entries around it. The second
// parse begins at an earlier entry, ends at a later one, and has additional lines above the text. The parser reads a
// text once from its beginning, so if both parses report the same error, it does not depend on the surroundings, and
// parsing the whole text would report it too. diagnoseSyntax returns nil if the errors differ, or if the section has
// too few entries around the range.
func diagnoseSyntax(file string, invalid sectionRange) *Doc {
	near := invalid.widened(contextEntries)
	wide := near.widened(contextEntries)
	if near.from == wide.from || near.end == wide.end {
		return nil
	}
	first := near.parse(file, 0)
	second := wide.parse(file, extraComments)
	if len(first.errs) != 1 || !slices.Equal(first.errs, second.errs) {
		return nil
	}
	return first
}

// parse parses the range under its section's key, with a number of comment lines above.
func (r sectionRange) parse(file string, comments int) *Doc {
	keyLine := r.text[r.section.Start:r.section.Body]
	lines := slices.Concat(bytes.Repeat([]byte("#\n"), comments), keyLine, r.text[r.from:r.end])
	d := &Doc{File: file, lineOffset: countLines(r.text[:r.from]) - comments - 1}
	d.parse(lines)
	return d
}

// widened returns the range extended by a number of entries at both ends, or up to the ends of the section.
func (r sectionRange) widened(entries int) sectionRange {
	for added := 0; added < entries && r.from > r.section.Body; {
		r.from = bytes.LastIndexByte(r.text[:r.from-1], '\n') + 1
		if r.entryBeginsAt(r.from) {
			added++
		}
	}
	for addedAfter := 0; r.end < r.section.End; r.end += len(firstLine(r.text[r.end:r.section.End])) {
		if !r.entryBeginsAt(r.end) {
			continue
		}
		if addedAfter == entries {
			break
		}
		addedAfter++
	}
	return r
}

// entryBeginsAt reports whether the line at an offset is the first line of an entry.
func (r sectionRange) entryBeginsAt(offset int) bool {
	line := r.text[offset:r.section.End]
	if len(line) <= r.column || len(bytes.TrimLeft(line[:r.column], " ")) > 0 {
		return false
	}
	return line[r.column] != ' ' && !isBlankOrComment(line[:r.column+1])
}
