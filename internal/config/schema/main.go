// Command schema writes the JSON Schemas of the configuration, of scenarios and of ground scripts into docs/, made from their Go types. Run it
// from the root: go run ./internal/config/schema
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"

	"github.com/invopop/jsonschema"

	"olivearch/internal/config"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/scenario"
)

// published are the schemas, by their file.
var published = map[string]struct {
	title string
	of    any
}{
	"docs/olivearch.schema.json": {"olivearch serve", &config.File{}},
	"docs/scenario.schema.json":  {"olivearch-bench scenario", &scenario.File{}},
	"docs/ground.schema.json":    {"olivearch-bench ground", &script.File{}},
	"docs/ledger.schema.json":    {"olivearch-coordinator", &config.Voter{}},
	"docs/promises.schema.json":  {"RELAY_PROMISES", &config.Promises{}},
}

func main() {
	for file, x := range published {
		text, err := schema(".", x.title, x.of)
		if err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "schema:", err)
			os.Exit(1)
		}
	}
}

// schema makes the schema of a type; root is the folder of the module, where the types' comments are read.
func schema(root, title string, of any) ([]byte, error) {
	r := jsonschema.Reflector{FieldNameTag: "yaml", Mapper: func(t reflect.Type) *jsonschema.Schema {
		switch t {
		case reflect.TypeFor[config.Duration]():
			return &jsonschema.Schema{Type: "string", Description: "A time with its unit, such as 250ms or 1.5s."}
		case reflect.TypeFor[script.Signed]():
			return &jsonschema.Schema{Type: "string", Description: "A time with its unit, such as 90s or -1h."}
		case reflect.TypeFor[config.Size]():
			return &jsonschema.Schema{Type: "string", Pattern: "^[0-9]+(KiB|MiB|GiB)$"}
		}
		return nil
	}}
	if err := os.Chdir(root); err != nil { // comments are found by the import path's folders
		return nil, err
	}
	for _, folder := range []string{"./internal/config", "./internal/endpointlist", "./internal/scenario", "./internal/faulttest/script"} {
		if err := r.AddGoComments("olivearch", folder); err != nil {
			return nil, err
		}
	}
	s := r.Reflect(of)
	s.ID, s.Title = "", title
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}
