package endpointlist

import (
	"bytes"
	"strconv"
)

// A list is long and its form is simple, and reading YAML in general costs 50 µs a node. So the forms that encoders and
// generators write are read by hand here, at a hundredth of that; any other text, and any with a mistake, is read by
// strictyaml, which knows all of YAML and names places. What is taken here is a part of YAML that means the same there:
//
//	nodes:
//	- id: a
//	  address: 10.0.0.7:8080
//	- {id: b, address: '10.0.0.8:8080', zone: z1}
//
// Values are plain words or quoted without escapes, items and keys are indented alike, and comments have a line to themselves.

// plainMost bounds the nodes of a list that is read here, so that strictyaml's own bound is not passed.
const plainMost = 50_000

// plainLine bounds a line, under the length up to which YAML looks for the end of a key.
const plainLine = 1000

// plain reads a list in a simple form; false: it is not in one, or there is something wrong with it.
func plain(text []byte) (List, bool) {
	var p plainReader
	p.nodes = make([]Node, 0, bytes.Count(text, []byte("address:")))
	for len(text) > 0 {
		var line []byte
		line, text, _ = bytes.Cut(text, []byte{'\n'})
		if !p.line(line) {
			return List{}, false
		}
	}
	sound := len(p.nodes) > 0
	check(p.nodes, func(int, string, string, ...any) { sound = false })
	return List{p.nodes}, sound
}

// plainReader reads line by line.
type plainReader struct {
	begun  bool // "nodes:" has come
	indent int  // of the items' dashes
	nodes  []Node
	keys   uint // of the last node, as bits
	open   bool // the last node may go on
	zone   string
}

func (p *plainReader) line(line []byte) bool {
	if len(line) > plainLine {
		return false
	}
	for _, c := range line {
		if c < ' ' || c > '~' {
			return false
		}
	}
	rest := bytes.TrimLeft(line, " ")
	indent := len(line) - len(rest)
	if len(rest) == 0 || rest[0] == '#' {
		return true
	}
	if !p.begun {
		p.begun = string(line) == "nodes:"
		return p.begun
	}
	if item, ok := bytes.CutPrefix(rest, []byte("- ")); ok {
		if len(p.nodes) == 0 {
			p.indent = indent
		}
		if indent != p.indent || len(p.nodes) == plainMost {
			return false
		}
		p.nodes = append(p.nodes, Node{})
		p.keys = 0
		if item, p.open = bytes.CutPrefix(item, []byte{'{'}); p.open {
			p.open = false
			return p.flow(item)
		}
		p.open = true
		return p.pair(item)
	}
	return p.open && indent == p.indent+2 && p.pair(rest)
}

// flow reads what stands behind the brace of a mapping in one line.
func (p *plainReader) flow(text []byte) bool {
	for {
		end := 0
		for quote := byte(0); ; end++ {
			if end == len(text) {
				return false
			}
			c := text[end]
			if quote != 0 {
				if c == quote {
					quote = 0
				}
				continue
			}
			if c == '\'' || c == '"' {
				quote = c
			} else if c == ',' || c == '}' {
				break
			}
		}
		if !p.pair(text[:end]) {
			return false
		}
		if text[end] == '}' {
			return end == len(text)-1
		}
		var ok bool
		if text, ok = bytes.CutPrefix(text[end+1:], []byte{' '}); !ok {
			return false
		}
	}
}

// pair reads a key and its value, with one space between.
func (p *plainReader) pair(text []byte) bool {
	key, value, ok := bytes.Cut(text, []byte(": "))
	if !ok {
		return false
	}
	if value, ok = word(value); !ok {
		return false
	}
	n := &p.nodes[len(p.nodes)-1]
	var bit uint
	var err error
	switch string(key) {
	case "id":
		bit, n.ID = 1, string(value)
	case "address":
		bit, n.Address = 2, string(value)
	case "zone":
		if bit = 4; string(value) != p.zone { // most stand next to one of their zone
			p.zone = string(value)
		}
		n.Zone = p.zone
	case "cell":
		bit = 8
		n.Cell, err = strconv.Atoi(string(value))
	case "weight":
		bit = 16
		n.Weight, err = strconv.ParseFloat(string(value), 64)
	case "phase":
		bit = 32
		switch string(value) {
		case string(Up):
			n.Phase = Up
		case string(Draining):
			n.Phase = Draining
		default:
			return false
		}
	case "started":
		bit = 64
		err = n.Started.UnmarshalText(value)
	default:
		return false
	}
	twice := p.keys&bit != 0
	p.keys |= bit
	return !twice && err == nil
}

// word returns what a value stands for, if that is certain.
func word(text []byte) ([]byte, bool) {
	if len(text) == 0 {
		return nil, false
	}
	if q := text[0]; q == '\'' || q == '"' {
		if len(text) < 2 {
			return nil, false
		}
		inner := text[1 : len(text)-1]
		return inner, text[len(text)-1] == q && bytes.IndexByte(inner, q) < 0 && bytes.IndexByte(inner, '\\') < 0
	}
	for i, c := range text {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case i > 0 && (c == '.' || c == '-' || c == '_' || c == '/' || c == '+'):
		case i > 0 && c == ':' && i < len(text)-1:
		default:
			return nil, false
		}
	}
	switch string(text) {
	case "null", "Null", "NULL": // which stand for nothing
		return nil, false
	}
	return text, true
}
