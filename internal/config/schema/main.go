// Command schema generates the JSON Schemas docs/*.schema.json of configuration files, scenarios and fault scripts from
// their Go types and the doc comments of these. It is for developers; no other program uses it. Run it from the root of
// the module: go run ./internal/config/schema
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

// schemaSource is the source of a schema.
type schemaSource struct {
	title string
	value any // a pointer to a value of the type that the schema describes
}

// published holds the sources of the schemas, by the path of the schema's file.
var published = map[string]schemaSource{
	"docs/olivearch.schema.json": {"olivearch serve", &config.File{}},
	"docs/scenario.schema.json":  {"olivearch-bench scenario", &scenario.File{}},
	"docs/ground.schema.json":    {"olivearch-bench ground", &script.File{}},
	"docs/ledger.schema.json":    {"olivearch-coordinator", &config.Voter{}},
	"docs/promises.schema.json":  {"RELAY_PROMISES", &config.Promises{}},
}

// commentedPackages are the folders of the packages whose doc comments become descriptions of keys.
var commentedPackages = []string{
	"./internal/config", "./internal/endpointlist", "./internal/scenario", "./internal/faulttest/script",
}

func main() {
	for file, source := range published {
		text, err := schema(".", source)
		if err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "schema:", err)
			os.Exit(1)
		}
	}
}

// schema returns the JSON Schema of a type. It changes the working directory to the root of the module, since the
// reflector finds doc comments by the folders of import paths.
func schema(root string, source schemaSource) ([]byte, error) {
	if err := os.Chdir(root); err != nil {
		return nil, err
	}
	reflector := jsonschema.Reflector{FieldNameTag: "yaml", Mapper: textTypeSchema}
	for _, folder := range commentedPackages {
		if err := reflector.AddGoComments("olivearch", folder); err != nil {
			return nil, err
		}
	}
	described := reflector.Reflect(source.value)
	described.ID = ""
	described.Title = source.title
	text, err := json.MarshalIndent(described, "", "  ")
	return append(text, '\n'), err
}

// textTypeSchema returns the schema of a type that is written as a text in its own format; nil for other types.
func textTypeSchema(goType reflect.Type) *jsonschema.Schema {
	switch goType {
	case reflect.TypeFor[config.Duration]():
		return &jsonschema.Schema{Type: "string", Description: "A time with its unit, such as 250ms or 1.5s."}
	case reflect.TypeFor[script.Signed]():
		return &jsonschema.Schema{Type: "string", Description: "A time with its unit, such as 90s or -1h."}
	case reflect.TypeFor[config.Size]():
		return &jsonschema.Schema{Type: "string", Pattern: "^[0-9]+(KiB|MiB|GiB)$"}
	}
	return nil
}
