// Package endpointlist reads the endpoint lists of pools from YAML files, checks them, and follows changes of the
// files. internal/service uses it for lists in files, internal/config for lists in the configuration. The package does
// not look up host names, and does not speak to discovery services.
//
// A list is checked as a whole before it takes effect: a truncated or invalid list changes nothing.
package endpointlist

import (
	"time"

	"olivearch/internal/strictyaml"
)

// maxFileSize bounds the file of a list, in bytes.
const maxFileSize = 8 << 20

// Node is an entry of a list.
type Node struct {
	// Name of the node; it outlives restarts. The address if it is left out.
	ID string `yaml:"id,omitempty" json:"id,omitempty"`
	// IP address and port: names are not looked up.
	Address string `yaml:"address" json:"address"`
	// Data centre or the like.
	Zone string `yaml:"zone,omitempty" json:"zone,omitempty"`
	// Nodes of one cell drop each other's repeats of keyed requests.
	Cell int `yaml:"cell,omitempty" json:"cell,omitempty"`
	// Size, compared with the others; 1 if it is left out.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// up (also if it is left out) or draining.
	Phase Phase `yaml:"phase,omitempty" json:"phase,omitempty" jsonschema:"enum=up,enum=draining"`
	// When the node last started (RFC 3339): one that has just started is cold. Left out: long ago.
	Started time.Time `yaml:"started,omitempty" json:"started,omitzero"`
}

// List is a complete list of nodes.
type List struct {
	Nodes []Node `yaml:"nodes" json:"nodes"`
}

// Load reads and checks the list in a file.
func Load(path string) (List, error) {
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return List{}, err
	}
	return Parse(path, text)
}

// Parse reads and checks a list from the text of a file. Errors name the file and the position of the mistake.
func Parse(file string, text []byte) (List, error) {
	list, ok := parseSimple(text)
	if ok {
		return list, nil
	}
	return parseYAML(file, text)
}

// parseYAML reads a list in any form of YAML that strictyaml permits.
func parseYAML(file string, text []byte) (List, error) {
	var list List
	doc := strictyaml.Decode(file, text, &list)
	// A file that is truncated after its first key must not remove all nodes.
	if doc.Err() == nil && list.Nodes == nil {
		doc.Fail("", `no list "nodes" in the file; to remove all nodes, write "nodes: []"`)
	}
	Check(doc, "nodes", list.Nodes)
	return list, doc.Err()
}
