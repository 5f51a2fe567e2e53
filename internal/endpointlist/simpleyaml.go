package endpointlist

import (
	"bytes"
	"strconv"
)

// This parser reads lists in the forms that encoders and generators usually write. strictyaml takes 50 µs per node, and
// this parser a hundredth of that. It rejects all other texts, and all texts with a mistake. strictyaml then reads
// them, as it supports more of YAML and names the positions of mistakes. A text that this parser accepts has the same
// meaning to strictyaml:
//
//	nodes:
//	- id: a
//	  address: 10.0.0.7:8080
//	- {id: b, address: '10.0.0.8:8080', zone: z1}
//
// Values are plain scalars, or quoted without escapes. All items have the same indentation, and so have all keys.
// Comments are on lines of their own.

const (
	// maxSimpleNodes bounds the nodes of a list that this parser accepts. It is below the bound of strictyaml.
	maxSimpleNodes = 50_000
	// maxSimpleLine bounds the length of a line, in bytes. It is below the length within which YAML must find the
	// colon of a key.
	maxSimpleLine = 1000
)

// nodeField is a set of fields of a node, one bit for each.
type nodeField uint

const (
	fieldID nodeField = 1 << iota
	fieldAddress
	fieldZone
	fieldCell
	fieldWeight
	fieldPhase
	fieldStarted
)

// parseSimple reads a list in a simple form. It returns false if the list is in another form or invalid.
func parseSimple(text []byte) (List, bool) {
	var parser simpleParser
	parser.nodes = make([]Node, 0, bytes.Count(text, []byte("address:")))
	for len(text) > 0 {
		var line []byte
		line, text, _ = bytes.Cut(text, []byte{'\n'})
		if !parser.parseLine(line) {
			return List{}, false
		}
	}
	valid := len(parser.nodes) > 0
	checkNodes(parser.nodes, func(int, string, string, ...any) { valid = false })
	return List{parser.nodes}, valid
}

// simpleParser parses a list line by line. Its methods return false if the text is not in a simple form.
type simpleParser struct {
	inNodes    bool // "nodes:" has been read
	itemIndent int  // indentation of the dashes of the items
	nodes      []Node
	seenFields nodeField // fields of the last node that were read
	blockOpen  bool      // the next line may have a key of the last node
	lastZone   string    // of the last node that has a zone
}

func (p *simpleParser) parseLine(line []byte) bool {
	if len(line) > maxSimpleLine || !isPrintableASCII(line) {
		return false
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
	item, ok := bytes.CutPrefix(rest, []byte("- "))
	if ok {
		return p.parseItem(item, indent)
	}
	return p.blockOpen && indent == p.itemIndent+2 && p.parsePair(rest)
}

func isPrintableASCII(line []byte) bool {
	for _, c := range line {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// parseItem reads the first line of a node, after the dash.
func (p *simpleParser) parseItem(item []byte, indent int) bool {
	if len(p.nodes) == 0 {
		p.itemIndent = indent
	}
	if indent != p.itemIndent || len(p.nodes) == maxSimpleNodes {
		return false
	}
	p.nodes = append(p.nodes, Node{})
	p.seenFields = 0
	flow, isFlow := bytes.CutPrefix(item, []byte{'{'})
	p.blockOpen = !isFlow
	if isFlow {
		return p.parseFlow(flow)
	}
	return p.parsePair(item)
}

// parseFlow reads a flow mapping, after its opening brace. The mapping must end with the line.
func (p *simpleParser) parseFlow(text []byte) bool {
	for {
		end := flowPairEnd(text)
		if end < 0 || !p.parsePair(text[:end]) {
			return false
		}
		if text[end] == '}' {
			return end == len(text)-1
		}
		var ok bool
		text, ok = bytes.CutPrefix(text[end+1:], []byte{' '})
		if !ok {
			return false
		}
	}
}

// flowPairEnd returns the index of the first comma or closing brace outside quotes, or -1.
func flowPairEnd(text []byte) int {
	var quote byte // 0: outside quotes
	for i, c := range text {
		switch {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"':
			quote = c
		case c == ',' || c == '}':
			return i
		}
	}
	return -1
}

// parsePair reads a key, a colon, one space and a value.
func (p *simpleParser) parsePair(text []byte) bool {
	key, scalar, ok := bytes.Cut(text, []byte(": "))
	if !ok {
		return false
	}
	value, ok := parseScalar(scalar)
	if !ok {
		return false
	}
	field, ok := p.setField(&p.nodes[len(p.nodes)-1], string(key), value)
	if !ok {
		return false
	}
	duplicate := p.seenFields&field != 0
	p.seenFields |= field
	return !duplicate
}

// setField sets the field of a key. It returns false for an unknown key or an invalid value.
func (p *simpleParser) setField(node *Node, key string, value []byte) (field nodeField, ok bool) {
	var err error
	switch key {
	case "id":
		field = fieldID
		node.ID = string(value)
	case "address":
		field = fieldAddress
		node.Address = string(value)
	case "zone":
		field = fieldZone
		if string(value) != p.lastZone { // else the string is shared: most nodes follow one of their zone
			p.lastZone = string(value)
		}
		node.Zone = p.lastZone
	case "cell":
		field = fieldCell
		node.Cell, err = strconv.Atoi(string(value))
	case "weight":
		field = fieldWeight
		node.Weight, err = strconv.ParseFloat(string(value), 64)
	case "phase":
		field = fieldPhase
		switch string(value) {
		case string(PhaseUp):
			node.Phase = PhaseUp
		case string(PhaseDraining):
			node.Phase = PhaseDraining
		default:
			return 0, false
		}
	case "started":
		field = fieldStarted
		err = node.Started.UnmarshalText(value)
	default:
		return 0, false
	}
	return field, err == nil
}

// parseScalar returns the value of a scalar, or false if strictyaml might read another value.
func parseScalar(text []byte) ([]byte, bool) {
	if len(text) == 0 {
		return nil, false
	}
	if text[0] == '\'' || text[0] == '"' {
		return parseQuoted(text)
	}
	for i, c := range text {
		inside := i > 0
		last := i == len(text)-1
		switch {
		case isAlphanumeric(c):
		case inside && bytes.IndexByte([]byte(".-_/+"), c) >= 0:
		case inside && !last && c == ':':
		default:
			return nil, false
		}
	}
	switch string(text) {
	case "null", "Null", "NULL": // YAML reads these as no value
		return nil, false
	}
	return text, true
}

// parseQuoted returns the text between the quotes of a scalar, or false if the text has a quote or a backslash.
func parseQuoted(text []byte) ([]byte, bool) {
	if len(text) < 2 {
		return nil, false
	}
	quote := text[0]
	inner := text[1 : len(text)-1]
	closed := text[len(text)-1] == quote
	hasQuote := bytes.IndexByte(inner, quote) >= 0
	hasEscape := bytes.IndexByte(inner, '\\') >= 0
	return inner, closed && !hasQuote && !hasEscape
}

func isAlphanumeric(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}
