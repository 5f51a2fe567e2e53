// Package golden compares what a test has produced with a file that an earlier version wrote. The files pin
// what other processes, operators and stored data rely on: messages, stored forms, metric names, JSON keys
// and flags. They change only with a deliberate change of such a form, by running the tests with
// UPDATE_GOLDEN=1.
package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// updateVariable is the environment variable that makes Compare write files instead of reading them.
const updateVariable = "UPDATE_GOLDEN"

// Updating reports whether golden files are to be written anew.
func Updating() bool { return os.Getenv(updateVariable) != "" }

// Compare fails the test if got differs from the contents of testdata/name.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if Updating() {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(string(want), got); difference != "" {
		t.Errorf("%s (-golden +now):\n%s", path, difference)
	}
}

// Keys lists the keys of the encoded form of a type, one a line with the kind of its value, as in "nodes[].id
// string". The names come from struct tags of the given name, such as "json" or "yaml". Names of Go types and
// fields do not show.
func Keys(of reflect.Type, tag string) string {
	var lines []string
	collectKeys(of, tag, "", nil, &lines)
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func collectKeys(of reflect.Type, tag, path string, outer []reflect.Type, lines *[]string) {
	switch of.Kind() {
	case reflect.Pointer:
		collectKeys(of.Elem(), tag, path, outer, lines)
	case reflect.Slice, reflect.Array:
		collectKeys(of.Elem(), tag, path+"[]", outer, lines)
	case reflect.Map:
		collectKeys(of.Elem(), tag, path+"{}", outer, lines)
	case reflect.Struct:
		collectStructKeys(of, tag, path, outer, lines)
	default:
		*lines = append(*lines, path+" "+of.Kind().String())
	}
}

func collectStructKeys(of reflect.Type, tag, path string, outer []reflect.Type, lines *[]string) {
	if slices.Contains(outer, of) {
		*lines = append(*lines, path+" (as above)")
		return
	}
	outer = append(slices.Clone(outer), of)
	if of.NumField() == 0 || !hasTag(of, tag) {
		*lines = append(*lines, path+" value")
		return
	}
	for i := range of.NumField() {
		field := of.Field(i)
		name, options, _ := strings.Cut(field.Tag.Get(tag), ",")
		if name == "-" || !field.IsExported() {
			continue
		}
		if field.Anonymous && name == "" || strings.Contains(options, "inline") {
			collectKeys(field.Type, tag, path, outer, lines)
			continue
		}
		if name == "" {
			name = field.Name
		}
		if options != "" {
			name = fmt.Sprintf("%s(%s)", name, options)
		}
		collectKeys(field.Type, tag, strings.TrimPrefix(path+"."+name, "."), outer, lines)
	}
}

func hasTag(of reflect.Type, tag string) bool {
	for i := range of.NumField() {
		if field := of.Field(i); field.Tag.Get(tag) != "" || field.Anonymous {
			return true
		}
	}
	return false
}
