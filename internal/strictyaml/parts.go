package strictyaml

import (
	"bytes"
	"reflect"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// A text in block style can be read part by part: its top-level entries, and of a long one its entries in turn. That takes
// little memory at once, and of a text that has changed only what differs need be read. What is read so is what reading
// the whole gives, since a parser comes to each of these lines in the same state: a line that is indented no further than the
// entries around it ends whatever stood before it, unless that is in brackets or quotes, and then the part before does not
// read by itself. Whatever is in doubt (anchors, which reach across parts, other line ends, a key that is not a plain word)
// is not read in parts at all. The oracle is reading the whole: see the tests.

// Part is a top-level entry of a text in block style, by offsets: its key's line, the line behind that, its end.
type Part struct {
	Key            string
	From, Body, To int
	Block          bool // nothing but the key stands in its line
}

// lines goes over a text from an offset, with the offset of each line.
func lines(text []byte, yield func(at int, line []byte) bool) {
	for at := 0; at < len(text); {
		end := bytes.IndexByte(text[at:], '\n')
		if end < 0 {
			end = len(text) - at - 1
		}
		if !yield(at, text[at:at+end+1]) {
			return
		}
		at += end + 1
	}
}

// bare tells whether a line is blank or a comment.
func bare(line []byte) bool {
	line = bytes.TrimLeft(line, " ")
	return len(line) == 0 || line[0] == '\n' || line[0] == '#'
}

// Odd tells whether there is something in a text that is not looked for elsewhere: another line end than a line feed, or what no text may
// have (bytes that are no UTF-8, control characters), also in a comment that no part has.
func Odd(text []byte) bool {
	for i := 0; i < len(text); {
		switch c := text[i]; {
		case c >= utf8.RuneSelf:
			r, n := utf8.DecodeRune(text[i:])
			if r == utf8.RuneError && n == 1 || r < 0xa0 || r == '\u2028' || r == '\u2029' || r == '\ufeff' || r == 0xfffe || r == 0xffff {
				return true
			}
			i += n
		case c < ' ' && c != '\n' && c != '\t' || c == 0x7f:
			return true
		default:
			i++
		}
	}
	return false
}

// Bare tells whether whole lines are blank or comments.
func Bare(text []byte) bool {
	ok := !Odd(text)
	lines(text, func(_ int, line []byte) bool {
		ok = ok && bare(line)
		return ok
	})
	return ok
}

// Inner tells whether whole lines, which stand in the body of a part, stay in it, whatever stands before and behind them.
func Inner(text []byte) bool {
	ok := !Odd(text)
	lines(text, func(_ int, line []byte) bool {
		ok = ok && (bare(line) || line[0] == ' ')
		return ok
	})
	return ok
}

// Outline finds the top-level entries of a text without reading them; nil if it can't be read in parts.
func Outline(text []byte) (parts []Part) {
	if Odd(text) {
		return nil
	}
	ok, seen := true, map[string]bool{}
	lines(text, func(at int, line []byte) bool {
		switch c := line[0]; {
		case bare(line):
		case c == ' ' || (c == '-' && len(line) > 1 && (line[1] == ' ' || line[1] == '\n')):
			ok = len(parts) > 0
		default:
			n := 0
			for n < len(line) && (line[n] >= 'a' && line[n] <= 'z' || line[n] == '_') {
				n++
			}
			if ok = n > 0 && n < len(line) && line[n] == ':' && (n+1 == len(line) || line[n+1] == ' ' || line[n+1] == '\n') && !seen[string(line[:n])]; !ok {
				break
			}
			key := string(line[:n])
			if seen[key] = true; len(parts) > 0 {
				parts[len(parts)-1].To = at
			}
			parts = append(parts, Part{Key: key, From: at, Body: at + len(line), To: len(text), Block: bare(line[n+1:])})
		}
		return ok
	})
	if !ok {
		return nil
	}
	return parts
}

// Entries is the body of a part with the places where its entries begin.
type Entries struct {
	Text   []byte
	Column int // spaces before each
	List   bool
	Starts []Start
}

// Start is the first line of an entry.
type Start struct {
	At   int // offset in the body
	Line int // in the body, from 0
}

// Divide finds the entries of a body without reading them; nil if there is none or it can't be read in parts.
func Divide(body []byte) *Entries {
	e, ok, n := &Entries{Text: body}, true, 0
	lines(body, func(at int, line []byte) bool {
		if !bare(line) {
			column := 0
			for line[column] == ' ' {
				column++
			}
			item := line[column] == '-' && (column+1 == len(line) || line[column+1] == ' ' || line[column+1] == '\n')
			if len(e.Starts) == 0 {
				e.Column, e.List = column, item
			}
			if column == e.Column {
				ok = item == e.List && line[column] != '\t'
				e.Starts = append(e.Starts, Start{at, n})
			} else {
				ok = column > e.Column
			}
		}
		n++
		return ok
	})
	if !ok || len(e.Starts) == 0 {
		return nil
	}
	return e
}

// From is the offset of an entry, or the end.
func (e *Entries) From(i int) int {
	if i >= len(e.Starts) {
		return len(e.Text)
	}
	return e.Starts[i].At
}

// Read reads entries from one to another into a pointer to a map or a slice. Errors are noted in the Doc, with lines counted from the
// body's first as line+1. whole tells whether these are the same entries as in a reading of the whole.
func (e *Entries) Read(file string, line, from, to int, into any) (d *Doc, whole bool) {
	d = &Doc{File: file, lineOffset: line + e.Starts[from].Line}
	root := d.parse(e.Text[e.From(from):e.From(to)])
	if root == nil {
		return d, false
	}
	d.decodeValue("", root, reflect.ValueOf(into).Elem())
	return d, len(d.errs) == 0 && e.fits(d, from, to)
}

// fits tells whether what was read of entries from one to another is as many, each in its line, and reaches no others.
func (e *Entries) fits(d *Doc, from, to int) bool {
	root, step, kind := d.root, 2, yaml.MappingNode
	if e.List {
		step, kind = 1, yaml.SequenceNode
	}
	if d.hasAliases || d.deepest > maxDepth/2 || root.Kind != kind || root.Style&yaml.FlowStyle != 0 || root.Column != e.Column+1 ||
		len(root.Content) != step*(to-from) {
		return false
	}
	for i := range to - from {
		n, line := root.Content[step*i], e.Starts[from+i].Line-e.Starts[from].Line+1
		if e.List && (n.Line < line || i+1 < to-from && n.Line > e.Starts[from+i+1].Line-e.Starts[from].Line) || !e.List && (n.Line != line || n.Column != e.Column+1) {
			return false
		}
	}
	return true
}

// ReadPart reads a part into a pointer to a struct that has its key. whole is as for Entries.Read.
func ReadPart(file string, text []byte, p Part, into any) (d *Doc, whole bool) {
	d = &Doc{File: file, lineOffset: bytes.Count(text[:p.From], []byte("\n"))}
	root := d.parse(text[p.From:p.To])
	if root == nil {
		return d, false
	}
	d.decodeValue("", root, reflect.ValueOf(into).Elem())
	return d, !d.hasAliases && len(d.errs) == 0 && d.deepest <= maxDepth/2 && root.Kind == yaml.MappingNode && root.Style&yaml.FlowStyle == 0 &&
		len(root.Content) == 2 && root.Content[0].Line == 1 && root.Content[0].Column == 1
}
