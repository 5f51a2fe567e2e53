// Package golden compares the output of a test with a golden file that an earlier version wrote. Only tests import it.
//
// Golden files pin the forms that other processes, operators and stored data rely on: messages, stored data, metric
// names, JSON keys and flags. A deliberate change of such a form is recorded by running the tests with UPDATE_GOLDEN=1.
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

// updateVariable is the environment variable that makes Compare write golden files instead of reading them.
const updateVariable = "UPDATE_GOLDEN"

// Updating reports whether the tests are to overwrite the golden files.
func Updating() bool { return os.Getenv(updateVariable) != "" }

// Compare fails the test if got differs from the contents of testdata/name. If Updating, it writes the file instead.
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

// Keys lists the keys of the encoded form of a type in order, one per line with the kind of its value, such as
// "nodes[].id string". The keys come from struct tags of the given name, such as "json" or "yaml". A field without a
// tag is listed by its Go name, and a struct without any tags as one value.
func Keys(goType reflect.Type, tag string) string {
	var lines []string
	collectKeys(goType, tag, "", nil, &lines)
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func collectKeys(goType reflect.Type, tag, path string, enclosing []reflect.Type, lines *[]string) {
	switch goType.Kind() {
	case reflect.Pointer:
		collectKeys(goType.Elem(), tag, path, enclosing, lines)
	case reflect.Slice, reflect.Array:
		collectKeys(goType.Elem(), tag, path+"[]", enclosing, lines)
	case reflect.Map:
		collectKeys(goType.Elem(), tag, path+"{}", enclosing, lines)
	case reflect.Struct:
		collectStructKeys(goType, tag, path, enclosing, lines)
	default:
		*lines = append(*lines, path+" "+goType.Kind().String())
	}
}

func collectStructKeys(goType reflect.Type, tag, path string, enclosing []reflect.Type, lines *[]string) {
	if slices.Contains(enclosing, goType) {
		*lines = append(*lines, path+" (as above)")
		return
	}
	enclosing = append(slices.Clone(enclosing), goType)
	if goType.NumField() == 0 || !hasTag(goType, tag) {
		*lines = append(*lines, path+" value")
		return
	}
	for i := range goType.NumField() {
		field := goType.Field(i)
		name, options, _ := strings.Cut(field.Tag.Get(tag), ",")
		if name == "-" || !field.IsExported() {
			continue
		}
		if field.Anonymous && name == "" || strings.Contains(options, "inline") {
			collectKeys(field.Type, tag, path, enclosing, lines)
			continue
		}
		if name == "" {
			name = field.Name
		}
		if options != "" {
			name = fmt.Sprintf("%s(%s)", name, options)
		}
		collectKeys(field.Type, tag, strings.TrimPrefix(path+"."+name, "."), enclosing, lines)
	}
}

func hasTag(goType reflect.Type, tag string) bool {
	for i := range goType.NumField() {
		if field := goType.Field(i); field.Tag.Get(tag) != "" || field.Anonymous {
			return true
		}
	}
	return false
}
