package config

import (
	"path/filepath"

	"olivearch/balancer"
	"olivearch/internal/route"
	"olivearch/internal/strictyaml"
)

// maxFileSize is the maximum size of a configuration file, in bytes.
const maxFileSize = 16 << 20

// Loaded is a checked configuration with default values filled in. It is immutable. Routes and tenants are not in the
// File but in tables. After a reload, the tables share their unchanged parts with those of the previous configuration.
type Loaded struct {
	File
	Table *route.Table
	// Targets holds the settings of the table's rules other than the pools, by route.Rule.To.
	Targets []Target
	// Tenants is the table of tenants, which the settings of all pools share.
	Tenants *balancer.Tenants

	targets          map[targetKey]int // indexes in Targets
	source           *sourceText       // nil if the text was parsed as a whole
	buffers          *textBuffers      // shared with the configurations that this one was reloaded from
	bufferIndex      int               // index of the buffer with the text, or notBuffered
	bytesRead        int               // bytes of the text that were parsed for this configuration
	fileSize         int               // bytes
	memoryLimitError strictyaml.Error  // an error at limits.memory, still without a text
	// routesByClass is the number of routes to each pool, by pool and class.
	routesByClass map[string]map[string]int
	poolSettings  *settingsIdentity
}

// settingsIdentity identifies the settings of all pools except for the tenants: two configurations with the same
// pointer have the same settings. The struct has a field because pointers to distinct zero-size values may be equal.
type settingsIdentity struct{ _ byte }

// HasSamePoolSettings reports whether c is known to have the same pool settings as another configuration, except for
// the tenants. That is known only if c was reloaded from the other by parsing just the changes; for configurations that
// were parsed independently the result is false.
func (c *Loaded) HasSamePoolSettings(other *Loaded) bool {
	return other != nil && c.poolSettings == other.poolSettings
}

// BytesRead returns how many bytes of the file were parsed for the configuration. The rest was taken over from the
// configuration that it was reloaded from.
func (c *Loaded) BytesRead() int { return c.bytesRead }

// newLoaded returns an empty configuration for a text that is yet to be parsed.
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

// Load reads and checks a file. An error about its content joins one strictyaml.Error for each error found.
func Load(path string) (*Loaded, error) {
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and checks the text of a file. Relative paths in it start at the file's folder. Errors are as for Load.
func Parse(path string, text []byte) (*Loaded, error) {
	return parse(path, text, 0)
}

// parse is Parse in a process that already uses memoryInUse bytes.
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

// parseWhole parses the whole text at once, and finds the position of each error.
func parseWhole(path string, text []byte) (*Loaded, error) {
	_, memoryLimitAt := memoryLimit(path, text, strictyaml.Outline(text))
	c := newLoaded(path, text, memoryLimitAt)
	doc := strictyaml.Decode(path, text, &c.File)
	if err := doc.Err(); err != nil { // values that can't be decoded would cause further errors in the checks
		return nil, err
	}
	k := checker{Doc: doc, Loaded: c}
	k.checkAll(filepath.Dir(path))
	if err := doc.Err(); err != nil {
		return nil, err
	}
	c.Tenants = balancer.NewTenants(c.listedTenants(nil))
	c.File.Tenants = nil
	return c, nil
}

// listedTenants appends the tenants of the File to a list.
func (c *Loaded) listedTenants(tenants []balancer.Tenant) []balancer.Tenant {
	for name, tenant := range c.File.Tenants {
		tenants = append(tenants, balancer.Tenant{Name: name, Quota: tenant.Quota})
	}
	return tenants
}
