package strictyaml

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"go.yaml.in/yaml/v3"
)

// Decode decodes the text of a file into a pointer to a struct. Errors are recorded in the Doc.
func Decode(file string, text []byte, into any) *Doc {
	d := &Doc{File: file}
	if root := d.parse(text); root != nil {
		d.decodeValue("", root, reflect.ValueOf(into).Elem())
	}
	return d
}

// decodeValue decodes a node into a value, and enforces the limits on the number of values and their depth.
func (d *Doc) decodeValue(path string, node *yaml.Node, into reflect.Value) {
	d.valueCount++
	if d.valueCount > d.valueLimit() {
		if !d.tooManyValues {
			d.tooManyValues = true
			d.Fail(path, "the file expands to too many values")
		}
		return
	}
	if d.depth == maxDepth {
		d.Fail(path, "values are nested more than %d deep", maxDepth)
		return
	}
	d.depth++
	defer func() { d.depth-- }()
	d.deepest = max(d.deepest, d.depth)
	d.recordAliases(node)
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	d.decodeKind(path, resolveAlias(node), into)
}

// recordAliases records whether a node is an alias or has an anchor.
func (d *Doc) recordAliases(node *yaml.Node) {
	if node.Anchor != "" || node.Kind == yaml.AliasNode {
		d.hasAliases = true
	}
}

// decodeKind decodes a node, which must not be an alias, by the kind of the Go value.
func (d *Doc) decodeKind(path string, node *yaml.Node, into reflect.Value) {
	if unmarshaler, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, node, unmarshaler)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		if d.expectKind(path, node, yaml.MappingNode) {
			d.decodeStruct(path, node, into)
		}
	case reflect.Map:
		if d.expectKind(path, node, yaml.MappingNode) {
			d.decodeMap(path, node, into)
		}
	case reflect.Slice:
		if d.expectKind(path, node, yaml.SequenceNode) {
			d.decodeSlice(path, node, into)
		}
	default:
		if d.expectKind(path, node, yaml.ScalarNode) {
			d.decodeScalar(path, node, into)
		}
	}
}

var kindNames = map[yaml.Kind]string{
	yaml.SequenceNode: "a list",
	yaml.MappingNode:  "a mapping",
	yaml.ScalarNode:   "a single value",
}

// expectKind reports whether a node has the wanted kind, and records an error otherwise.
func (d *Doc) expectKind(path string, node *yaml.Node, want yaml.Kind) bool {
	isNull := node.Tag == "!!null"
	if node.Kind == want && !isNull {
		return true
	}
	got := kindNames[node.Kind]
	if isNull {
		got = "nothing"
	}
	d.Fail(path, "%s stands here; %s is wanted", got, kindNames[want])
	return false
}

// decodeText decodes a scalar into a type with a text format of its own.
func (d *Doc) decodeText(path string, node *yaml.Node, into encoding.TextUnmarshaler) {
	if !d.expectKind(path, node, yaml.ScalarNode) {
		return
	}
	if err := into.UnmarshalText([]byte(node.Value)); err != nil {
		d.Fail(path, "%v", err)
	}
}

func (d *Doc) decodeMap(path string, node *yaml.Node, into reflect.Value) {
	into.Set(reflect.MakeMapWithSize(into.Type(), len(node.Content)/2))
	d.eachEntry(path, node, func(key, value *yaml.Node) {
		element := reflect.New(into.Type().Elem()).Elem()
		d.decodeValue(join(path, key.Value), value, element)
		into.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
}

func (d *Doc) decodeSlice(path string, node *yaml.Node, into reflect.Value) {
	into.Set(reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content)))
	for i, item := range node.Content {
		d.decodeValue(itemPath(path, i), item, into.Index(i))
	}
}

// decodeStruct decodes a mapping into a struct, by the struct's yaml tags.
func (d *Doc) decodeStruct(path string, node *yaml.Node, into reflect.Value) {
	fields := fieldsOf(into.Type())
	d.eachEntry(path, node, func(key, value *yaml.Node) {
		if field, ok := fields[key.Value]; ok {
			d.decodeValue(join(path, key.Value), value, into.Field(field))
			return
		}
		d.failAt(d.positionOf(key), join(path, key.Value), unknownKey(key.Value, slices.Sorted(maps.Keys(fields))))
	})
}

// unknownKey returns the text of an error about an unknown key.
func unknownKey(key string, known []string) string {
	text := fmt.Sprintf("unknown key %q", key)
	if near := Nearest(key, known); near != "" {
		return text + fmt.Sprintf("; did you mean %q?", near)
	}
	return text + "; known here: " + strings.Join(known, ", ")
}

// structFields caches the results of fieldsOf: a map[string]int for each reflect.Type.
var structFields sync.Map

// fieldsOf returns the indexes of a struct's fields by their yaml tags.
func fieldsOf(structType reflect.Type) map[string]int {
	if cached, ok := structFields.Load(structType); ok {
		return cached.(map[string]int)
	}
	fields := map[string]int{}
	for i := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	structFields.Store(structType, fields)
	return fields
}

// decodeScalar decodes a scalar into a string, a bool or a number. It records an error for a text that does not fit,
// and still sets the value to what the conversion returned.
func (d *Doc) decodeScalar(path string, node *yaml.Node, into reflect.Value) {
	text := node.Value
	switch into.Kind() {
	case reflect.String:
		into.SetString(text)
	case reflect.Bool:
		if node.Tag != "!!bool" {
			d.Fail(path, "%q is not true or false", text)
		}
		into.SetBool(strings.EqualFold(text, "true"))
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			d.Fail(path, "%q is not a number", text)
		}
		into.SetFloat(number)
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			d.Fail(path, "%q is not a whole number", text)
		}
		into.SetInt(number)
	default:
		panic("strictyaml: unsupported type " + into.Type().String())
	}
}

// eachEntry calls entry for each entry of a mapping. Keys that are repeated or not scalars are errors.
func (d *Doc) eachEntry(path string, node *yaml.Node, entry func(key, value *yaml.Node)) {
	keys := newKeyIndex(node)
	for index := 0; index+1 < len(node.Content); index += 2 {
		key := node.Content[index]
		d.recordAliases(key)
		if key.Kind != yaml.ScalarNode {
			d.failAt(d.positionOf(key), path, "a key is a single value")
			continue
		}
		if first := keys.firstWith(index); first != index {
			firstLine := d.positionOf(node.Content[first]).Line
			text := fmt.Sprintf("%q stands here for a second time, first in line %d", key.Value, firstLine)
			d.failAt(d.positionOf(key), join(path, key.Value), text)
			continue
		}
		entry(key, node.Content[index+1])
	}
}

// maxScannedContent is the maximum number of keys and values in a mapping whose keys are compared one by one, which is
// faster than a map for few keys.
const maxScannedContent = 32

// keyIndex finds the repeated keys of a mapping.
type keyIndex struct {
	content []*yaml.Node   // keys and values alternate
	seen    map[string]int // indexes in content by key; nil for a short mapping
}

func newKeyIndex(mapping *yaml.Node) *keyIndex {
	index := &keyIndex{content: mapping.Content}
	if len(mapping.Content) > maxScannedContent {
		index.seen = make(map[string]int, len(mapping.Content)/2)
	}
	return index
}

// firstWith returns the smallest index whose key is the same as the key at an index. It must be called for all keys in
// ascending order.
func (x *keyIndex) firstWith(index int) int {
	key := x.content[index].Value
	if x.seen != nil {
		if first, repeated := x.seen[key]; repeated {
			return first
		}
		x.seen[key] = index
		return index
	}
	for i := 0; i < index; i += 2 {
		if other := x.content[i]; other.Kind == yaml.ScalarNode && other.Value == key {
			return i
		}
	}
	return index
}
