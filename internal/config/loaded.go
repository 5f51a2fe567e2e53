package config

import (
	"path/filepath"

	"olivearch/balancer"
	"olivearch/internal/route"
	"olivearch/internal/strictyaml"
)

// maxFileSize bounds a configuration file, in bytes.
const maxFileSize = 16 << 20

// Loaded is a configuration that has been checked, with what was left out filled in. It never changes. Routes and
// tenants are not in the File but in tables, which share what did not change with those of the configuration before.
type Loaded struct {
	File
	Table *route.Table
	// Targets are what the table's rules lead to, by their numbers, beside pools.
	Targets []Target
	// Tenants is shared by the settings of all pools.
	Tenants *balancer.Tenants

	targets          map[targetKey]int // indexes in Targets
	source           *sourceText       // nil if the text was read as a whole
	buffers          *textBuffers      // of this configuration and those that it was reloaded from
	bufferIndex      int               // of its text in buffers, or notBuffered
	bytesRead        int               // of the text, read and not taken from the configuration before
	fileSize         int               // bytes
	memoryLimitError strictyaml.Error  // has the position of limits.memory, and no text yet
	// routesByClass counts the routes to each pool: pool, class, number.
	routesByClass map[string]map[string]int
	poolSettings  *settingsIdentity
}

// settingsIdentity identifies what pools are told, but for the tenants: two configurations with the same pointer tell
// them the same. It has a size, since pointers to values without one may be equal.
type settingsIdentity struct{ _ byte }

// SamePools reports whether c tells pools the same as another configuration, but for the tenants. It is certain if c
// was reloaded from the other by what differs; for configurations that were read independently it is false.
func (c *Loaded) SamePools(other *Loaded) bool {
	return other != nil && c.poolSettings == other.poolSettings
}

// Read returns how much of the file was read for the configuration and not taken from the one before, in bytes.
func (c *Loaded) Read() int { return c.bytesRead }

// newLoaded returns a configuration of a text of which nothing has been read.
func newLoaded(path string, text []byte, memoryLimitAt strictyaml.Position) *Loaded {
	return &Loaded{
		targets:          map[targetKey]int{},
		buffers:          newTextBuffers(),
		bufferIndex:      notBuffered,
		bytesRead:        len(text),
		fileSize:         len(text),
		memoryLimitError: strictyaml.Error{File: path, Position: memoryLimitAt, Key: "limits.memory"},
		poolSettings:     new(settingsIdentity),
	}
}

// Load reads and checks a file. The error joins one strictyaml.Error for each thing wrong with its content.
func Load(path string) (*Loaded, error) {
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse checks the text of a file. Relative paths in it start at the file's folder. The error is as for Load.
func Parse(path string, text []byte) (*Loaded, error) {
	return parse(path, text, 0)
}

// parse is Parse in a process that uses so many bytes of memory already.
func parse(path string, text []byte, memoryInUse int64) (*Loaded, error) {
	c, err := parseInSections(path, text, memoryInUse)
	if isFinal(err) {
		return nil, err
	}
	if c != nil {
		return c, nil
	}
	return parseWhole(path, text)
}

// parseWhole reads the whole text at once, and finds the position of each mistake.
func parseWhole(path string, text []byte) (*Loaded, error) {
	_, memoryLimitAt := memoryLimit(path, text, strictyaml.Outline(text))
	c := newLoaded(path, text, memoryLimitAt)
	doc := strictyaml.Decode(path, text, &c.File)
	if err := doc.Err(); err != nil { // what could not be read would only bring errors that follow from it
		return nil, err
	}
	k := checker{Doc: doc, Loaded: c}
	k.all(filepath.Dir(path))
	if err := doc.Err(); err != nil {
		return nil, err
	}
	c.Tenants = balancer.NewTenants(c.listedTenants(nil))
	c.File.Tenants = nil
	return c, nil
}

// listedTenants appends the tenants of the file's struct to others.
func (c *Loaded) listedTenants(tenants []balancer.Tenant) []balancer.Tenant {
	for name, tenant := range c.File.Tenants {
		tenants = append(tenants, balancer.Tenant{Name: name, Quota: tenant.Quota})
	}
	return tenants
}
