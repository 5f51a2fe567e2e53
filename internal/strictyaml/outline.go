package strictyaml

import (
	"bytes"
	"iter"
	"reflect"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// A text in block style can be parsed section by section, where a section is a top-level entry, and a long section can
// be parsed entry by entry. That takes less memory than parsing the whole text, and after a change only the entries
// that differ need to be parsed.
//
// The result is the same, because a parser is in the same state at the first line of each section and entry: a line
// that is not indented further than the entries around it ends everything before it, except within brackets or quotes.
// In that case the section before it does not parse on its own. Texts for which this is not certain are not parsed in
// sections: those with anchors, which can be used in other sections, with line ends other than a line feed, or with
// top-level keys that are not plain words. Tests compare the results with those of parsing the whole text.

// Section is a top-level entry of a text in block style. Its positions are offsets in the text.
type Section struct {
	Key   string
	Start int  // of the line with the key
	Body  int  // of the line after that
	End   int  // the offset after the section
	Block bool // the value begins in the body: the key's line has only the key and perhaps a comment
}

// eachLine returns an iterator over the lines of a text with their offsets. Lines include their line feed.
func eachLine(text []byte) iter.Seq2[int, []byte] {
	return func(yield func(offset int, line []byte) bool) {
		for offset := 0; offset < len(text); {
			line := firstLine(text[offset:])
			if !yield(offset, line) {
				return
			}
			offset += len(line)
		}
	}
}

// firstLine returns a text through its first line feed; the whole text if there is none.
func firstLine(text []byte) []byte {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return text[:end+1]
	}
	return text
}

// isBlankOrComment reports whether a line has only spaces or a comment.
func isBlankOrComment(line []byte) bool {
	line = bytes.TrimLeft(line, " ")
	return len(line) == 0 || line[0] == '\n' || line[0] == '#'
}

// hasUnsupportedBytes reports whether a text has characters that the functions of this file don't handle, even if only
// in comments: line ends other than a line feed, and characters that YAML doesn't allow (invalid UTF-8, control
// characters).
func hasUnsupportedBytes(text []byte) bool {
	for offset := 0; offset < len(text); {
		char := text[offset]
		if char < utf8.RuneSelf {
			isControl := char < ' ' && char != '\n' && char != '\t'
			if isControl || char == 0x7f {
				return true
			}
			offset++
			continue
		}
		decoded, size := utf8.DecodeRune(text[offset:])
		isInvalid := decoded == utf8.RuneError && size == 1
		if isInvalid || isUnsupportedRune(decoded) {
			return true
		}
		offset += size
	}
	return false
}

// isUnsupportedRune reports whether a character beyond ASCII is a control character, a line end (U+2028, U+2029), a
// byte order mark or a noncharacter (U+FFFE, U+FFFF).
func isUnsupportedRune(char rune) bool {
	switch char {
	case '\u2028', '\u2029', '\ufeff', 0xfffe, 0xffff:
		return true
	}
	return char < 0xa0
}

// OnlyComments reports whether all lines of a text are blank or comments. The text must consist of whole lines.
func OnlyComments(text []byte) bool {
	if hasUnsupportedBytes(text) {
		return false
	}
	for _, line := range eachLine(text) {
		if !isBlankOrComment(line) {
			return false
		}
	}
	return true
}

// OnlyIndented reports whether all lines of a text belong to the body of a section, whatever comes before and after
// them. The text must consist of whole lines.
func OnlyIndented(text []byte) bool {
	if hasUnsupportedBytes(text) {
		return false
	}
	for _, line := range eachLine(text) {
		if !isBlankOrComment(line) && line[0] != ' ' {
			return false
		}
	}
	return true
}

// Outline finds the sections of a text without parsing them; nil if the text can't be parsed in sections.
func Outline(text []byte) []Section {
	if hasUnsupportedBytes(text) {
		return nil
	}
	var sections []Section
	seen := map[string]bool{}
	for offset, line := range eachLine(text) {
		if isBlankOrComment(line) {
			continue
		}
		isItem := len(line) > 1 && isListItem(line)
		if line[0] == ' ' || isItem {
			if len(sections) == 0 {
				return nil
			}
			continue
		}
		key := plainKey(line)
		if key == "" || seen[key] {
			return nil
		}
		seen[key] = true
		if len(sections) > 0 {
			sections[len(sections)-1].End = offset
		}
		sections = append(sections, Section{
			Key: key, Start: offset, Body: offset + len(line), End: len(text),
			Block: isBlankOrComment(line[len(key)+1:]),
		})
	}
	return sections
}

// isListItem reports whether a line begins an item of a list. The line must come without its indentation and must not
// be empty.
func isListItem(line []byte) bool { return line[0] == '-' && endsToken(line[1:]) }

// endsToken reports whether a "-" or ":" before the rest of a line is a YAML indicator rather than part of a scalar.
func endsToken(rest []byte) bool { return len(rest) == 0 || rest[0] == ' ' || rest[0] == '\n' }

// plainKey returns the key at the beginning of a line if it consists of lower-case letters and underscores; empty
// otherwise.
func plainKey(line []byte) string {
	end := 0
	for end < len(line) && (line[end] >= 'a' && line[end] <= 'z' || line[end] == '_') {
		end++
	}
	if end == len(line) || line[end] != ':' || !endsToken(line[end+1:]) {
		return ""
	}
	return string(line[:end])
}

// ReadSection decodes a section into a pointer to a struct that has the section's key. exact reports whether the result
// is certain to be that of decoding the whole text. Errors are recorded in the Doc.
func ReadSection(file string, text []byte, section Section, into any) (d *Doc, exact bool) {
	d = &Doc{File: file, lineOffset: countLines(text[:section.Start])}
	root := d.parse(text[section.Start:section.End])
	if root == nil {
		return d, false
	}
	d.decodeValue("", root, reflect.ValueOf(into).Elem())
	return d, len(d.errs) == 0 && d.isSelfContained() && isOneBlockEntry(root)
}

// isSelfContained reports whether the parsed text has the same values without the rest of the file: it has no anchors
// and aliases, and is nested far less than maxDepth.
func (d *Doc) isSelfContained() bool { return !d.hasAliases && d.deepest <= maxDepth/2 }

// isOneBlockEntry reports whether a node is a block mapping with one entry, at the beginning of the text.
func isOneBlockEntry(node *yaml.Node) bool {
	if node.Kind != yaml.MappingNode || isFlow(node) || len(node.Content) != 2 {
		return false
	}
	key := node.Content[0]
	return key.Line == 1 && key.Column == 1
}

// isFlow reports whether a node is in flow style (in brackets or braces).
func isFlow(node *yaml.Node) bool { return node.Style&yaml.FlowStyle != 0 }

func countLines(text []byte) int { return bytes.Count(text, []byte("\n")) }
