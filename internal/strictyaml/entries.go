package strictyaml

import (
	"reflect"

	"go.yaml.in/yaml/v3"
)

// Entries is the body of a section with the places where its entries begin.
type Entries struct {
	// Section is the key of the section, for the keys of errors; the errors have none while it is empty.
	Section string
	Text    []byte
	Column  int // spaces before each entry
	List    bool
	Starts  []EntryStart
}

// EntryStart is the first line of an entry.
type EntryStart struct {
	Offset int // in the body
	Line   int // in the body, from 0
}

// SplitEntries finds the entries of a body without parsing them; nil if there is none or it can't be read in parts.
func SplitEntries(body []byte) *Entries {
	entries := &Entries{Text: body}
	lineNumber := -1
	for offset, line := range eachLine(body) {
		lineNumber++
		if isBlankOrComment(line) {
			continue
		}
		column := indentation(line)
		isItem := isListItem(line[column:])
		if len(entries.Starts) == 0 {
			entries.Column = column
			entries.List = isItem
		}
		if column > entries.Column {
			continue
		}
		if column < entries.Column || isItem != entries.List || line[column] == '\t' {
			return nil
		}
		entries.Starts = append(entries.Starts, EntryStart{Offset: offset, Line: lineNumber})
	}
	if len(entries.Starts) == 0 {
		return nil
	}
	return entries
}

// indentation returns the number of spaces before the first other character of a line that has one.
func indentation(line []byte) int {
	column := 0
	for line[column] == ' ' {
		column++
	}
	return column
}

// Offset returns where an entry begins in the text, or the end of the text for the index after the last.
func (e *Entries) Offset(index int) int {
	if index >= len(e.Starts) {
		return len(e.Text)
	}
	return e.Starts[index].Offset
}

// Read reads the entries with indexes in [from, end) into a pointer to a map or a slice. Errors are recorded in the
// Doc, as in a file with so many lines before the body. whole reports whether these are the entries that reading the
// whole file gives.
func (e *Entries) Read(file string, linesBefore, from, end int, into any) (d *Doc, whole bool) {
	d = &Doc{
		File:       file,
		lineOffset: linesBefore + e.Starts[from].Line,
		section:    sectionEntries{key: e.Section, list: e.List, firstIndex: from, partial: true},
	}
	root := d.parse(e.Text[e.Offset(from):e.Offset(end)])
	if root == nil {
		return d, false
	}
	d.decodeValue("", root, reflect.ValueOf(into).Elem())
	return d, len(d.errs) == 0 && e.matches(d, from, end)
}

// matches reports whether what was read of the entries in [from, end) is as many, each in its lines, and uses nothing
// that stands elsewhere.
func (e *Entries) matches(d *Doc, from, end int) bool {
	kind := yaml.MappingNode
	nodesPerEntry := 2 // key and value
	if e.List {
		kind = yaml.SequenceNode
		nodesPerEntry = 1
	}
	root := d.root
	if !d.standsAlone() || root.Kind != kind || isFlow(root) {
		return false
	}
	if root.Column != e.Column+1 || len(root.Content) != nodesPerEntry*(end-from) {
		return false
	}
	for i := from; i < end; i++ {
		node := root.Content[nodesPerEntry*(i-from)]
		line := e.Starts[from].Line + node.Line - 1
		if e.List && !e.isWithin(i, end, line) {
			return false
		}
		if !e.List && (line != e.Starts[i].Line || node.Column != e.Column+1) {
			return false
		}
	}
	return true
}

// isWithin reports whether a line, counted from 0 in the body, belongs to an entry of those with indexes below end.
func (e *Entries) isWithin(index, end, line int) bool {
	if line < e.Starts[index].Line {
		return false
	}
	return index+1 == end || line < e.Starts[index+1].Line
}
