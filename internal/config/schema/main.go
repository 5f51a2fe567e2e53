// Command schema prints the JSON Schema of the configuration file, made from its Go types. Run it from the root:
// go run ./internal/config/schema > docs/olivearch.schema.json
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"

	"github.com/invopop/jsonschema"

	"clayladder/internal/config"
)

func main() {
	text, err := schema(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "schema:", err)
		os.Exit(1)
	}
	os.Stdout.Write(text)
}

// schema makes the schema; root is the folder of the module, where the types' comments are read.
func schema(root string) ([]byte, error) {
	r := jsonschema.Reflector{FieldNameTag: "yaml", Mapper: func(t reflect.Type) *jsonschema.Schema {
		switch t {
		case reflect.TypeFor[config.Duration]():
			return &jsonschema.Schema{Type: "string", Description: "A time with its unit, such as 250ms or 1.5s."}
		case reflect.TypeFor[config.Size]():
			return &jsonschema.Schema{Type: "string", Pattern: "^[0-9]+(KiB|MiB|GiB)$"}
		}
		return nil
	}}
	if err := os.Chdir(root); err != nil { // comments are found by the import path's folders
		return nil, err
	}
	for _, folder := range []string{"./internal/config", "./internal/nodelist"} {
		if err := r.AddGoComments("clayladder", folder); err != nil {
			return nil, err
		}
	}
	s := r.Reflect(&config.File{})
	s.ID, s.Title = "", "olivearch serve"
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
