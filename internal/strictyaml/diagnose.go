package strictyaml

import (
	"bytes"
	"reflect"
	"slices"
)

// DiagnoseEntries reads the entries of a section between two offsets of the text, into a pointer to a map or a slice,
// and returns the Doc with what is wrong with them, in the words and positions that reading the whole would give if
// the rest is right; nil if that is in doubt.
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

// sectionRange is a range of whole lines in the body of a section.
type sectionRange struct {
	text    []byte // of the file
	section Section
	column  int // spaces before each entry of the section
	from    int // offset of the first line in the text
	end     int // offset behind the last line
}

const (
	// contextEntries is how many entries on each side of a mistake are parsed with it.
	contextEntries = 8
	// extraComments is how many lines more stand above the text in the second of two readings.
	extraComments = 3
)

// diagnoseSyntax parses what stands around a mistake twice: from another entry before it, to another one after it, and
// with another number of lines above. A parser that goes through a text once, and reports the same for both, has
// stopped at the mistake and for nothing that stands further away, so it would report that for the whole as well.
func diagnoseSyntax(file string, mistake sectionRange) *Doc {
	near := mistake.widened(contextEntries)
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

// parse parses the range under its section's key, with so many lines of comments above.
func (r sectionRange) parse(file string, comments int) *Doc {
	keyLine := r.text[r.section.Start:r.section.Body]
	lines := slices.Concat(bytes.Repeat([]byte("#\n"), comments), keyLine, r.text[r.from:r.end])
	d := &Doc{File: file, lineOffset: countLines(r.text[:r.from]) - comments - 1}
	d.parse(lines)
	return d
}

// widened returns the range with so many entries more at both ends, as far as the section has them.
func (r sectionRange) widened(entries int) sectionRange {
	for added := 0; added < entries && r.from > r.section.Body; {
		r.from = bytes.LastIndexByte(r.text[:r.from-1], '\n') + 1
		if r.entryBeginsAt(r.from) {
			added++
		}
	}
	for begun := 0; r.end < r.section.End; r.end += len(firstLine(r.text[r.end:r.section.End])) {
		if !r.entryBeginsAt(r.end) {
			continue
		}
		if begun == entries {
			break
		}
		begun++
	}
	return r
}

// entryBeginsAt reports whether the line at an offset is the first of an entry.
func (r sectionRange) entryBeginsAt(offset int) bool {
	line := r.text[offset:r.section.End]
	if len(line) <= r.column || len(bytes.TrimLeft(line[:r.column], " ")) > 0 {
		return false
	}
	return line[r.column] != ' ' && !isBlankOrComment(line[:r.column+1])
}
