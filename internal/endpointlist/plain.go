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

// maxSimpleNodes bounds the nodes of a list that is read here, so that strictyaml's own bound is not passed.
const maxSimpleNodes = 50_000

// maxSimpleLine bounds a line, under the length up to which YAML looks for the end of a key.
const maxSimpleLine = 1000

// parseSimple reads a list in a simple form; false: it is not in one, or there is something wrong with it.
func parseSimple(text []byte) (List, bool) {
	var p simpleParser
	p.nodes = make([]Node, 0, bytes.Count(text, []byte("address:")))
	for len(text) > 0 {
		var line []byte
		line, text, _ = bytes.Cut(text, []byte{'\n'})
		if !p.parseLine(line) {
			return List{}, false
		}
	}
	sound := len(p.nodes) > 0
	checkNodes(p.nodes, func(int, string, string, ...any) { sound = false })
	return List{p.nodes}, sound
}

// simpleParser reads line by line.
type simpleParser struct {
	inNodes  bool // "nodes:" has come
	indent int  // of the items' dashes
	nodes  []Node
	seenKeys   uint // of the last node, as bits
	blockOpen   bool // the last node may go on
	lastZone   string
}

func (p *simpleParser) parseLine(line []byte) bool {
	if len(line) > maxSimpleLine {
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
	if !p.inNodes {
		p.inNodes = string(line) == "nodes:"
		return p.inNodes
	}
	if item, ok := bytes.CutPrefix(rest, []byte("- ")); ok {
		if len(p.nodes) == 0 {
			p.indent = indent
		}
		if indent != p.indent || len(p.nodes) == maxSimpleNodes {
			return false
		}
		p.nodes = append(p.nodes, Node{})
		p.seenKeys = 0
		if item, p.blockOpen = bytes.CutPrefix(item, []byte{'{'}); p.blockOpen {
			p.blockOpen = false
			return p.parseFlow(item)
		}
		p.blockOpen = true
		return p.parsePair(item)
	}
	return p.blockOpen && indent == p.indent+2 && p.parsePair(rest)
}

// parseFlow reads what stands behind the brace of a mapping in one line.
func (p *simpleParser) parseFlow(text []byte) bool {
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
		if !p.parsePair(text[:end]) {
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

// parsePair reads a key and its value, with one space between.
func (p *simpleParser) parsePair(text []byte) bool {
	key, value, ok := bytes.Cut(text, []byte(": "))
	if !ok {
		return false
	}
	if value, ok = parseScalar(value); !ok {
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
		if bit = 4; string(value) != p.lastZone { // most stand next to one of their zone
			p.lastZone = string(value)
		}
		n.Zone = p.lastZone
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
	twice := p.seenKeys&bit != 0
	p.seenKeys |= bit
	return !twice && err == nil
}

// parseScalar returns what a value stands for, if that is certain.
func parseScalar(text []byte) ([]byte, bool) {
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
