package config

import (
	"path/filepath"
	"time"

	"olivearch/internal/strictyaml"
)

// maxCoordinationFileSize bounds the files of coordination servers and of their clients, in bytes.
const maxCoordinationFileSize = 1 << 20

// minWithin and maxWithin bound Promises.Within.
const (
	minWithin = Duration(50 * time.Millisecond)
	maxWithin = Duration(30 * time.Second)
)

// Promises makes a balancer a client of the coordination cluster: a part of the configuration of "olivearch serve", and
// a file of its own for a platform's balancer (RELAY_PROMISES).
type Promises struct {
	// The voters: names with IP addresses and ports.
	Voters map[string]string `yaml:"voters"`
	// A file in which the grants are cached, so that a process that starts while no voter can be reached begins with
	// them; left out: none. A relative path starts at the configuration's folder.
	Copy string `yaml:"copy,omitempty"`
	// Within what time an operator's call is answered, stored by the voters or not; 1s if left out.
	Within Duration `yaml:"within,omitempty"`
}

// LoadPromises reads and checks a file of its own with what is under the key promises otherwise, for a platform's
// balancer. The error joins one strictyaml.Error for each thing wrong with its content.
func LoadPromises(path string) (*Promises, error) {
	text, err := strictyaml.ReadFile(path, maxCoordinationFileSize)
	if err != nil {
		return nil, err
	}
	promises := &Promises{}
	doc := strictyaml.Decode(path, text, promises)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	promises.check(doc, "", filepath.Dir(path))
	return promises, doc.Err()
}

// check checks the keys under a path, which is empty for a file of its own.
func (p *Promises) check(doc *strictyaml.Doc, path, folder string) {
	if path != "" {
		path += "."
	}
	checkVoters(doc, path+"voters", p.Voters)
	strictyaml.Fill(&p.Within, Duration(time.Second))
	if p.Within < minWithin || p.Within > maxWithin {
		doc.Fail(path+"within", "from 50ms to 30s")
	}
	if p.Copy == "" {
		return
	}
	p.Copy = absolute(p.Copy, folder)
	if copyFolder := filepath.Dir(p.Copy); !isFolder(copyFolder) {
		doc.Fail(path+"copy", "there is no folder %s", copyFolder)
	}
}
