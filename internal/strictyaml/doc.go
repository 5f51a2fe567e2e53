// Package strictyaml decodes YAML into Go values and reports all errors of a file at once, each with its line and
// column. Unknown keys, repeated keys and values of the wrong kind are errors; that of an unknown key suggests the
// nearest known one. The package can also decode a text section by section, for large files that are reloaded often. It
// reads the files of this project: configurations, endpoint lists, scenarios and fault scripts. It does not write YAML,
// and supports only the Go types that these files need.
package strictyaml

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxValues, maxValuesWithAliases and maxDepth bound the number of values of a file and their nesting, since aliases of
// aliases, or an alias within its own anchor, expand without bound. A file with 15,000 routes, 140,000 tenants and
// 18,000 endpoints has over half a million values.
const (
	maxValues            = 1 << 20
	maxValuesWithAliases = 1 << 19
	maxDepth             = 100
)

// MaxValues is the maximum number of values in a file without aliases; see Doc.Values.
const MaxValues = maxValues

// Position is a position in a file; lines and columns count from 1.
type Position struct{ Line, Column int }

// Error is one error in a file. Doc.Err joins errors of this type, of which errors.As finds the first in the file.
type Error struct {
	File string
	Position
	// Key is the path of the value, such as "pools.maps.nodes" or "routes[2].path"; empty for a syntax error and for an
	// error about the file as a whole.
	Key  string
	Text string
}

func (e Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
}

// Doc is a parsed file, or a parsed part of a file. It holds the positions of the values, by path ("pools.maps.nodes",
// "routes[2].path"), and the errors recorded so far. It is not safe for concurrent use.
type Doc struct {
	File string

	root       *yaml.Node
	lineOffset int                 // number of lines in the file before the parsed text
	section    sectionEntries      // the entries that were parsed, if the text is a part of a section
	positions  map[string]Position // built when a position is first asked for
	errs       []Error

	valueCount    int
	depth         int // of the value being read
	deepest       int // the maximum depth so far
	tooManyValues bool
	hasAliases    bool // the text has anchors or aliases, so a node may be decoded more than once
}

// sectionEntries identifies the entries of a section that were parsed without the rest of the file. Paths in such a Doc
// start below the section's key.
type sectionEntries struct {
	partial    bool   // false if whole sections were parsed, so that paths start at the root of the file
	key        string // of the section; empty if it is unknown
	list       bool
	firstIndex int // of the first parsed entry, if the section is a list
}

// fullKey converts a path in the Doc to the path in the whole file; empty if that is unknown.
func (s sectionEntries) fullKey(path string) string {
	switch {
	case !s.partial || path == "":
		return path
	case s.key == "":
		return ""
	case !s.list:
		return join(s.key, path)
	}
	index, rest, _ := strings.Cut(strings.TrimPrefix(path, "["), "]")
	offset, err := strconv.Atoi(index)
	if err != nil {
		return s.key
	}
	return itemPath(s.key, s.firstIndex+offset) + rest
}

// At returns the position of the value at a path, or of the innermost existing value that would contain it.
func (d *Doc) At(path string) Position {
	if d.positions == nil {
		d.positions = map[string]Position{"": {d.lineOffset + 1, 1}}
		remaining := d.valueLimit()
		d.locate("", d.root, &remaining, 0)
	}
	for {
		if position, ok := d.positions[path]; ok || path == "" {
			return position
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// valueLimit returns the maximum number of values that the file may expand to.
func (d *Doc) valueLimit() int {
	if d.hasAliases {
		return maxValuesWithAliases
	}
	return maxValues
}

// locate records the positions of a node and of the nodes within it. remaining is the number of nodes that may still be
// visited.
func (d *Doc) locate(path string, node *yaml.Node, remaining *int, depth int) {
	*remaining--
	if node == nil || *remaining < 0 || depth > maxDepth {
		return
	}
	if path != "" {
		d.positions[path] = d.positionOf(node)
	}
	node = resolveAlias(node)
	switch node.Kind {
	case yaml.MappingNode:
		seen := make(map[string]bool, len(node.Content)/2)
		for i := 0; i+1 < len(node.Content); i += 2 {
			if key := node.Content[i]; key.Kind == yaml.ScalarNode && !seen[key.Value] {
				seen[key.Value] = true
				d.locate(join(path, key.Value), node.Content[i+1], remaining, depth+1)
			}
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			d.locate(itemPath(path, i), item, remaining, depth+1)
		}
	}
}

// positionOf returns a node's position in the file.
func (d *Doc) positionOf(node *yaml.Node) Position {
	return Position{d.lineOffset + node.Line, node.Column}
}

// Fail records an error about the value at a path.
func (d *Doc) Fail(path, format string, args ...any) {
	d.failAt(d.At(path), path, fmt.Sprintf(format, args...))
}

// failAt records an error at a position.
func (d *Doc) failAt(position Position, path, text string) {
	d.errs = append(d.errs, Error{File: d.File, Position: position, Key: d.section.fullKey(path), Text: text})
}

// Failed reports whether an error has been recorded.
func (d *Doc) Failed() bool { return len(d.errs) > 0 }

// Err joins the recorded errors, each an Error, in the order of their positions; it is nil if there is none.
func (d *Doc) Err() error {
	slices.SortStableFunc(d.errs, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	errs := make([]error, len(d.errs))
	for i, err := range d.errs {
		errs[i] = err
	}
	return errors.Join(errs...)
}

// Values returns the number of values decoded so far.
func (d *Doc) Values() int { return d.valueCount }

// join returns the path of an entry of a mapping.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemPath returns the path of an item of a list.
func itemPath(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }

// resolveAlias returns the node that an alias stands for, and any other node itself.
func resolveAlias(node *yaml.Node) *yaml.Node {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}
