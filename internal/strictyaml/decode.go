// Package strictyaml reads YAML into Go values and tells every error at once, each with its line and column. Unknown and
// repeated keys are errors, with the nearest known key; so are values of the wrong kind.
package strictyaml

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/agnivade/levenshtein"
	"go.yaml.in/yaml/v3"
)

// maxNodes and maxDepth bound what a file can stand for: aliases of aliases, or one within itself, grow without bound. 15,000 routes, 140,000
// tenants and 18,000 nodes in one file are over half a million values.
const (
	maxNodes  = 1 << 20
	maxShared = 1 << 19 // of a file with anchors
	maxDepth  = 100
)

// Position is a place in a file, counted from 1.
type Position struct{ Line, Column int }

// Error is one thing wrong with a file.
type Error struct {
	File string
	Position
	Text string
}

func (e Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
}

// Doc knows where the values of a file stand, by path: "pools.maps.nodes", "routes[2].path".
type Doc struct {
	File      string
	root      *yaml.Node
	first     int                 // lines before the text that is read
	positions map[string]Position // made when the first is asked for
	errs      []error
	nodes     int
	depth     int
	deepest   int
	full      bool // it stands for too many values
	shared    bool // something stands in more than one place, or may
}

// At returns the place of a value, or of the nearest one around it.
func (d *Doc) At(path string) Position {
	if d.positions == nil {
		d.positions = map[string]Position{"": {d.first + 1, 1}}
		left := maxShared
		if !d.shared {
			left = maxNodes
		}
		d.locate("", d.root, &left, 0)
	}
	for {
		if p, ok := d.positions[path]; ok || path == "" {
			return p
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// locate notes where the values stand that a node is made of.
func (d *Doc) locate(path string, n *yaml.Node, left *int, depth int) {
	if *left--; n == nil || *left < 0 || depth > maxDepth {
		return
	}
	if path != "" {
		d.positions[path] = Position{d.first + n.Line, n.Column}
	}
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	switch n.Kind {
	case yaml.MappingNode:
		seen := make(map[string]bool, len(n.Content)/2)
		for i := 0; i+1 < len(n.Content); i += 2 {
			if key := n.Content[i]; key.Kind == yaml.ScalarNode && !seen[key.Value] {
				seen[key.Value] = true
				d.locate(join(path, key.Value), n.Content[i+1], left, depth+1)
			}
		}
	case yaml.SequenceNode:
		for i, item := range n.Content {
			d.locate(path+"["+strconv.Itoa(i)+"]", item, left, depth+1)
		}
	}
}

// Fail notes an error about the value at a path.
func (d *Doc) Fail(path, format string, args ...any) {
	d.errs = append(d.errs, Error{d.File, d.At(path), fmt.Sprintf(format, args...)})
}

// Failed tells whether an error has been noted.
func (d *Doc) Failed() bool { return len(d.errs) > 0 }

// Err joins what has been noted, in the order of the file; nil if there is nothing.
func (d *Doc) Err() error {
	slices.SortStableFunc(d.errs, func(a, b error) int {
		x, y := a.(Error), b.(Error)
		if x.Line != y.Line {
			return x.Line - y.Line
		}
		return x.Column - y.Column
	})
	return errors.Join(d.errs...)
}

// ReadFile reads a file of at most so many bytes, a whole number of MiB.
func ReadFile(path string, most int64) ([]byte, error) { return ReadFileInto(nil, path, most) }

// ReadFileInto is ReadFile into a buffer, where that is long enough.
func ReadFileInto(buffer []byte, path string, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && info.Size()+bytes.MinRead > int64(cap(buffer)) { // with room to see the end
		buffer = make([]byte, 0, min(info.Size()+info.Size()/64, most)+bytes.MinRead)
	}
	text := bytes.NewBuffer(buffer[:0])
	_, err = text.ReadFrom(io.LimitReader(f, most+1))
	if err == nil && int64(text.Len()) > most {
		err = fmt.Errorf("%s: the file is over %d MiB", path, most>>20)
	}
	return text.Bytes(), err
}

// Decode reads text, which came from the file of that name, into a pointer to a struct. Errors are noted in the Doc.
func Decode(file string, text []byte, into any) *Doc {
	d := &Doc{File: file}
	if root := d.parse(text); root != nil {
		d.value("", root, reflect.ValueOf(into).Elem())
	}
	return d
}

// parse returns the root of a text; nil if an error was noted.
func (d *Doc) parse(text []byte) *yaml.Node {
	var root yaml.Node
	reader := yaml.NewDecoder(bytes.NewReader(text))
	switch err := reader.Decode(&root); {
	case errors.Is(err, io.EOF):
		d.Fail("", "the file is empty")
		return nil
	case err != nil:
		d.syntax(err)
		return nil
	}
	if err := reader.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		if err != nil {
			d.syntax(err)
		} else {
			d.Fail("", "one document is wanted, and another follows")
		}
		return nil
	}
	d.root = root.Content[0]
	return d.root
}

// syntax notes a parser's error, which names a line and no column.
func (d *Doc) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	at := Position{d.first + 1, 1}
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		if number, why, ok := strings.Cut(rest, ": "); ok {
			if n, err := strconv.Atoi(number); err == nil {
				at.Line, text = d.first+n, why
			}
		}
	}
	d.errs = append(d.errs, Error{d.File, at, text})
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

var kinds = map[yaml.Kind]string{yaml.SequenceNode: "a list", yaml.MappingNode: "a mapping", yaml.ScalarNode: "a single value"}

// value reads n into v.
func (d *Doc) value(path string, n *yaml.Node, v reflect.Value) {
	most := maxNodes
	if d.shared {
		most = maxShared
	}
	if d.nodes++; d.nodes > most {
		if !d.full {
			d.full = true
			d.Fail(path, "the file stands for too many values")
		}
		return
	}
	if d.depth++; d.depth > maxDepth {
		d.depth--
		d.Fail(path, "values stand within each other more than %d deep", maxDepth)
		return
	}
	defer func() { d.depth-- }()
	d.deepest = max(d.deepest, d.depth)
	d.shared = d.shared || n.Anchor != "" || n.Kind == yaml.AliasNode
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if d.kind(path, n, yaml.ScalarNode) {
			if err := text.UnmarshalText([]byte(n.Value)); err != nil {
				d.Fail(path, "%v", err)
			}
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if d.kind(path, n, yaml.MappingNode) {
			d.object(path, n, v)
		}
	case reflect.Map:
		if d.kind(path, n, yaml.MappingNode) {
			v.Set(reflect.MakeMapWithSize(v.Type(), len(n.Content)/2))
			d.pairs(n, func(key, value *yaml.Node) {
				x := reflect.New(v.Type().Elem()).Elem()
				d.value(join(path, key.Value), value, x)
				v.SetMapIndex(reflect.ValueOf(key.Value), x)
			})
		}
	case reflect.Slice:
		if d.kind(path, n, yaml.SequenceNode) {
			v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
			for i, item := range n.Content {
				d.value(path+"["+strconv.Itoa(i)+"]", item, v.Index(i))
			}
		}
	default:
		if d.kind(path, n, yaml.ScalarNode) {
			d.scalar(path, n, v)
		}
	}
}

// kind tells whether n is of the wanted kind, and notes it if not.
func (d *Doc) kind(path string, n *yaml.Node, want yaml.Kind) bool {
	if n.Kind == want && n.Tag != "!!null" {
		return true
	}
	got := kinds[n.Kind]
	if n.Tag == "!!null" {
		got = "nothing"
	}
	d.Fail(path, "%s stands here; %s is wanted", got, kinds[want])
	return false
}

func (d *Doc) scalar(path string, n *yaml.Node, v reflect.Value) {
	fail := func(want string) { d.Fail(path, "%q is not %s", n.Value, want) }
	switch v.Kind() {
	case reflect.String:
		v.SetString(n.Value)
	case reflect.Bool:
		if n.Tag != "!!bool" {
			fail("true or false")
		}
		v.SetBool(strings.EqualFold(n.Value, "true"))
	case reflect.Float64:
		x, err := strconv.ParseFloat(n.Value, 64)
		if err != nil {
			fail("a number")
		}
		v.SetFloat(x)
	case reflect.Int, reflect.Int64:
		x, err := strconv.ParseInt(n.Value, 10, 64)
		if err != nil {
			fail("a whole number")
		}
		v.SetInt(x)
	default:
		panic("strictyaml: no reading for " + v.Type().String())
	}
}

// pairs goes over a mapping's entries once each.
func (d *Doc) pairs(n *yaml.Node, entry func(key, value *yaml.Node)) {
	var seen map[string]int // index in n.Content; made for a long mapping
	if len(n.Content) > 32 {
		seen = make(map[string]int, len(n.Content)/2)
	}
	first := func(i int) int {
		if seen != nil {
			if j, ok := seen[n.Content[i].Value]; ok {
				return j
			}
			seen[n.Content[i].Value] = i
			return i
		}
		for j := 0; j < i; j += 2 {
			if x := n.Content[j]; x.Kind == yaml.ScalarNode && x.Value == n.Content[i].Value {
				return j
			}
		}
		return i
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		d.shared = d.shared || key.Anchor != "" || key.Kind == yaml.AliasNode
		if key.Kind != yaml.ScalarNode {
			d.errs = append(d.errs, Error{d.File, d.place(key), "a key is a single value"})
		} else if j := first(i); j != i {
			d.errs = append(d.errs, Error{d.File, d.place(key), fmt.Sprintf("%q stands here for a second time, first in line %d", key.Value, d.place(n.Content[j]).Line)})
		} else {
			entry(key, n.Content[i+1])
		}
	}
}

func (d *Doc) place(n *yaml.Node) Position { return Position{d.first + n.Line, n.Column} }

// fieldsOf are a struct's fields by their yaml tags; they are found once for each type.
func fieldsOf(t reflect.Type) map[string]int {
	if known, ok := structs.Load(t); ok {
		return known.(map[string]int)
	}
	fields := map[string]int{}
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ","); name != "" && name != "-" {
			fields[name] = i
		}
	}
	structs.Store(t, fields)
	return fields
}

var structs sync.Map // of reflect.Type to map[string]int

// object reads a mapping into a struct, by its yaml tags.
func (d *Doc) object(path string, n *yaml.Node, v reflect.Value) {
	fields := fieldsOf(v.Type())
	d.pairs(n, func(key, value *yaml.Node) {
		if i, ok := fields[key.Value]; ok {
			d.value(join(path, key.Value), value, v.Field(i))
			return
		}
		text, names := fmt.Sprintf("unknown key %q", key.Value), slices.Sorted(maps.Keys(fields))
		if near := Nearest(key.Value, names); near != "" {
			text += fmt.Sprintf("; did you mean %q?", near)
		} else {
			text += "; known here: " + strings.Join(names, ", ")
		}
		d.errs = append(d.errs, Error{d.File, d.place(key), text})
	})
}

// Nearest returns the name that a wrong one was most likely meant to be, or nothing.
func Nearest(wrong string, names []string) string {
	best, least := "", len(wrong)/2+1
	for _, name := range slices.Sorted(slices.Values(names)) {
		if n := levenshtein.ComputeDistance(strings.ToLower(wrong), name); n < least {
			best, least = name, n
		}
	}
	return best
}
