package strictyaml

import (
	"reflect"

	"go.yaml.in/yaml/v3"
)

// Entries is the body of a section, or a part of it, with the positions of its entries.
type Entries struct {
	// Section is the key of the section, for Error.Key. If it is empty, so are the keys of errors.
	Section string
	Text    []byte
	Column  int // number of spaces before each entry
	List    bool
	Starts  []EntryStart
}

// EntryStart is the position of an entry's first line.
type EntryStart struct {
	Offset int // in the body
	Line   int // in the body, from 0
}

// SplitEntries finds the entries of a body without parsing them. It returns nil if there is none, or if the body can't
// be parsed entry by entry.
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

// indentation returns the number of spaces at the beginning of a line, which must not consist of spaces alone.
func indentation(line []byte) int {
	column := 0
	for line[column] == ' ' {
		column++
	}
	return column
}

// Offset returns the offset of an entry in the text, or the end of the text for an index after the last.
func (e *Entries) Offset(index int) int {
	if index >= len(e.Starts) {
		return len(e.Text)
	}
	return e.Starts[index].Offset
}

// Read decodes the entries with indexes in [from, end) into a pointer to a map or a slice. Errors are recorded in the
// Doc; their lines are those of a file with linesBefore lines before the body. exact reports whether these entries are
// certain to be those that decoding the whole file gives.
func (e *Entries) Read(file string, linesBefore, from, end int, into any) (d *Doc, exact bool) {
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

// matches reports whether the parser found the entries in [from, end) in the lines where SplitEntries found them, and
// no others, and whether they are self-contained.
func (e *Entries) matches(d *Doc, from, end int) bool {
	kind := yaml.MappingNode
	nodesPerEntry := 2 // key and value
	if e.List {
		kind = yaml.SequenceNode
		nodesPerEntry = 1
	}
	root := d.root
	if !d.isSelfContained() || root.Kind != kind || isFlow(root) {
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

// isWithin reports whether a line of the body, from 0, belongs to the entry at an index. The last entry before end has
// no upper bound.
func (e *Entries) isWithin(index, end, line int) bool {
	if line < e.Starts[index].Line {
		return false
	}
	return index+1 == end || line < e.Starts[index+1].Line
}
