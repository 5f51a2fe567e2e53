package strictyaml

import (
	"bytes"
	"iter"
	"reflect"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// A text in block style can be read section by section: its top-level entries, and of a long one its entries in turn.
// That takes little memory at once, and of a text that has changed only what differs need be read. The result is that
// of reading the whole, since a parser reaches each of these lines in the same state: a line that is indented no
// further than the entries around it ends whatever stood before it, unless that is in brackets or quotes, and then the
// section before it does not parse alone. Whatever is in doubt (anchors, which reach across sections; other line ends;
// a key that is not a plain word) is not read in sections at all. Tests compare with reading the whole.

// Section is a top-level entry of a text in block style, by offsets in the text.
type Section struct {
	Key   string
	Start int  // of the key's line
	Body  int  // of the line after the key's
	End   int  // of the section
	Block bool // nothing but the key stands in its line
}

// eachLine returns an iterator over the lines of a text, each with its offset and with its line feed.
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

// firstLine returns a text up to its first line feed, and with it; the whole text if there is none.
func firstLine(text []byte) []byte {
	if end := bytes.IndexByte(text, '\n'); end >= 0 {
		return text[:end+1]
	}
	return text
}

// isBlankOrComment reports whether a line holds nothing, or nothing but a comment.
func isBlankOrComment(line []byte) bool {
	line = bytes.TrimLeft(line, " ")
	return len(line) == 0 || line[0] == '\n' || line[0] == '#'
}

// hasUnsupportedBytes reports whether a text has what the functions of this file don't look for: another line end than
// a line feed, or what YAML doesn't allow (bytes that are no UTF-8, control characters), also in a comment between
// sections.
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

// isUnsupportedRune reports whether a character beyond ASCII is a control character, another line end (U+2028, U+2029),
// a byte order mark or no character at all.
func isUnsupportedRune(char rune) bool {
	switch char {
	case '\u2028', '\u2029', '\ufeff', 0xfffe, 0xffff:
		return true
	}
	return char < 0xa0
}

// OnlyComments reports whether whole lines are blank or comments.
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

// OnlyIndented reports whether whole lines from the body of a section stay in it, whatever stands before and after
// them.
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

// Outline finds the sections of a text without parsing them; nil if it can't be read in sections.
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

// isListItem reports whether a line without its indentation, which is not empty, begins an item of a list.
func isListItem(line []byte) bool { return line[0] == '-' && endsToken(line[1:]) }

// endsToken reports whether what follows a "-" or a ":" makes it a mark of YAML rather than part of a word.
func endsToken(rest []byte) bool { return len(rest) == 0 || rest[0] == ' ' || rest[0] == '\n' }

// plainKey returns the key that a line begins with, of lower-case letters and underscores; empty if it has another
// form.
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

// ReadSection reads a section into a pointer to a struct that has its key. whole reports whether the result is that of
// reading the whole text; errors are recorded in the Doc.
func ReadSection(file string, text []byte, section Section, into any) (d *Doc, whole bool) {
	d = &Doc{File: file, lineOffset: countLines(text[:section.Start])}
	root := d.parse(text[section.Start:section.End])
	if root == nil {
		return d, false
	}
	d.decodeValue("", root, reflect.ValueOf(into).Elem())
	return d, len(d.errs) == 0 && d.standsAlone() && isOneBlockEntry(root)
}

// standsAlone reports whether what was read means the same without the rest of its file: no anchors and aliases, and
// depth to spare.
func (d *Doc) standsAlone() bool { return !d.hasAliases && d.deepest <= maxDepth/2 }

// isOneBlockEntry reports whether a node is a block mapping of one entry that begins the text.
func isOneBlockEntry(node *yaml.Node) bool {
	if node.Kind != yaml.MappingNode || isFlow(node) || len(node.Content) != 2 {
		return false
	}
	key := node.Content[0]
	return key.Line == 1 && key.Column == 1
}

// isFlow reports whether a node is written in brackets.
func isFlow(node *yaml.Node) bool { return node.Style&yaml.FlowStyle != 0 }

func countLines(text []byte) int { return bytes.Count(text, []byte("\n")) }
