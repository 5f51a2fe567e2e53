package config

import (
	"path/filepath"
	"time"

	"olivearch/internal/strictyaml"
)

// maxCoordinationFileSize is the maximum size of the files of coordination servers and of their clients, in bytes.
const maxCoordinationFileSize = 1 << 20

// minWithin and maxWithin bound Promises.Within.
const (
	minWithin = Duration(50 * time.Millisecond)
	maxWithin = Duration(30 * time.Second)
)

// Promises configures a balancer as a client of the coordination cluster. It is a section of the configuration of
// "olivearch serve", and a separate file for the balancer of a platform (RELAY_PROMISES).
type Promises struct {
	// The voters: IP addresses with ports, by name.
	Voters map[string]string `yaml:"voters"`
	// A file that caches the grants, for a process that starts while no voter can be reached; none if left out. A relative
	// path starts at the configuration's folder.
	Copy string `yaml:"copy,omitempty"`
	// Time within which an operator's call is answered, whether the voters have stored it or not; 1s if left out.
	Within Duration `yaml:"within,omitempty"`
}

// LoadPromises reads and checks a separate file for a balancer of a platform, whose keys are those of the section
// promises. An error about its content joins one strictyaml.Error for each error found.
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

// check checks the keys under a path, which is empty for a separate file, and fills in default values.
func (p *Promises) check(doc *strictyaml.Doc, path, folder string) {
	if path != "" {
		path += "."
	}
	checkVoters(doc, path+"voters", p.Voters)
	strictyaml.SetDefault(&p.Within, Duration(time.Second))
	if p.Within < minWithin || p.Within > maxWithin {
		doc.Fail(path+"within", "within must be from 50ms to 30s")
	}
	if p.Copy == "" {
		return
	}
	p.Copy = absolute(p.Copy, folder)
	if copyFolder := filepath.Dir(p.Copy); !isFolder(copyFolder) {
		doc.Fail(path+"copy", "there is no folder %s", copyFolder)
	}
}
