package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys compares the paths and constraints of all keys of each schema with a golden file. The names of Go
// types do not matter.
func TestGoldenKeys(t *testing.T) {
	for _, file := range slices.Sorted(maps.Keys(published)) {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := schemaFromRoot(t, published[file])
			if err != nil {
				t.Fatal(err)
			}
			var root map[string]any
			if err := json.Unmarshal(text, &root); err != nil {
				t.Fatal(err)
			}
			definitions, _ := root["$defs"].(map[string]any)
			w := schemaWalker{definitions: definitions, lines: map[string]bool{}}
			w.walk("", root, nil)
			golden.Compare(t, filepath.Base(file)+".keys.txt", strings.Join(slices.Sorted(maps.Keys(w.lines)), "\n")+"\n")
		})
	}
}

// schemaFromRoot generates a schema in the module's root, and returns to this folder.
func schemaFromRoot(t *testing.T, source schemaSource) ([]byte, error) {
	t.Helper()
	var text []byte
	var err error
	t.Run("generate", func(t *testing.T) {
		t.Chdir("../../..")
		text, err = schema(".", source)
	})
	return text, err
}

// schemaWalker collects the paths of all keys of a schema and their constraints, one a line.
type schemaWalker struct {
	definitions map[string]any
	lines       map[string]bool
}

func (w *schemaWalker) walk(path string, node map[string]any, outer []string) {
	if reference, ok := node["$ref"].(string); ok {
		w.follow(path, strings.TrimPrefix(reference, "#/$defs/"), outer)
	}
	for key, value := range node {
		switch inner := value.(type) {
		case map[string]any:
			w.walkObject(path, key, inner, outer)
		case []any:
			w.walkList(path, key, inner, outer)
		default:
			w.add(path, key, value)
		}
	}
}

// follow walks a definition, but does not enter it again within itself.
func (w *schemaWalker) follow(path, name string, outer []string) {
	if slices.Contains(outer, name) {
		w.lines[path+" (as above)"] = true
		return
	}
	target, _ := w.definitions[name].(map[string]any)
	w.walk(path, target, append(slices.Clone(outer), name))
}

// walkObject walks properties under their names, and any other object under its key.
func (w *schemaWalker) walkObject(path, key string, node map[string]any, outer []string) {
	switch key {
	case "$defs":
	case "properties", "patternProperties":
		for name, property := range node {
			if schema, ok := property.(map[string]any); ok {
				w.walk(path+"."+name, schema, outer)
			}
		}
	default:
		w.walk(path+"{"+key+"}", node, outer)
	}
}

func (w *schemaWalker) walkList(path, key string, list []any, outer []string) {
	for i, item := range list {
		if schema, ok := item.(map[string]any); ok {
			w.walk(fmt.Sprintf("%s{%s %d}", path, key, i), schema, outer)
		} else {
			w.lines[fmt.Sprintf("%s %s %v", path, key, item)] = true
		}
	}
}

// add adds a constraint. It skips references, which walk follows, and keys without effect on validation.
func (w *schemaWalker) add(path, key string, value any) {
	switch key {
	case "description", "$ref", "title", "$schema":
	default:
		w.lines[fmt.Sprintf("%s %s=%v", path, key, value)] = true
	}
}
