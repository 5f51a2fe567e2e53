package strictyaml

import (
	"bytes"
	"reflect"
	"slices"
)

// Near reads entries of a part that stand from one offset of the text to another, into a pointer to a map or a slice, and returns the Doc
// with what is wrong with them, in the words and places of a reading of the whole whose rest is right; nil if that is in doubt.
func Near(file string, text []byte, p Part, from, to int, into any) *Doc {
	e := Divide(text[from:to])
	if e == nil {
		return nil
	}
	d := &Doc{File: file, lineOffset: bytes.Count(text[:from], []byte("\n")) + e.Starts[0].Line}
	if d.parse(e.Text[e.From(0):]) == nil {
		return nearSyntax(file, text, p, from, to, e.Column)
	}
	d.decodeValue("", d.root, reflect.ValueOf(into).Elem())
	if !e.fits(d, 0, len(e.Starts)) {
		return nil
	}
	return d
}

// nearSyntax reads what stands around a mistake twice: from another entry before it, to another one behind it, and with another number
// of lines above. A parser that goes through a text once, and tells the same of both, has stopped at the mistake and for nothing that
// stands further away, so it would tell that of the whole as well.
func nearSyntax(file string, text []byte, p Part, from, to, column int) *Doc {
	from1, to1 := around(text, p, from, to, column, 8)
	from2, to2 := around(text, p, from1, to1, column, 8)
	if from1 == from2 || to1 == to2 {
		return nil
	}
	x, y := syntaxOf(file, text, p, from1, to1, 0), syntaxOf(file, text, p, from2, to2, 3)
	if len(x.errs) != 1 || !slices.Equal(x.errs, y.errs) {
		return nil
	}
	return x
}

// syntaxOf parses lines of a part under its key, with so many comments above.
func syntaxOf(file string, text []byte, p Part, from, to, above int) *Doc {
	lines := bytes.Repeat([]byte("#\n"), above)
	lines = append(append(lines, text[p.From:p.Body]...), text[from:to]...)
	d := &Doc{File: file, lineOffset: bytes.Count(text[:from], []byte("\n")) - above - 1}
	d.parse(lines)
	return d
}

// around goes so many entries of a part further at both ends, or to the part's.
func around(text []byte, p Part, from, to, column, entries int) (int, int) {
	begins := func(at int) bool {
		line := text[at:p.To]
		return len(line) > column && len(bytes.TrimLeft(line[:column], " ")) == 0 && line[column] != ' ' && !bare(line[:column+1])
	}
	for n := 0; n < entries && from > p.Body; {
		if from = bytes.LastIndexByte(text[:from-1], '\n') + 1; begins(from) {
			n++
		}
	}
	for n := 0; n <= entries && to < p.To; { // up to where the one behind them begins
		if begins(to) {
			if n++; n > entries {
				break
			}
		}
		end := bytes.IndexByte(text[to:p.To], '\n')
		if end < 0 {
			to = p.To
			break
		}
		to += end + 1
	}
	return from, to
}
