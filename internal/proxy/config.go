// Package proxy puts the rooms of the data path together: the desks, which read what requests ask for (a platform's forms, or
// routes to pools), and the balancer that a platform runs, with its staff's calls and upgrades. It decides nothing; what is sent
// where, again or not at all is the module's to say.
package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"

	"olivearch/balancer"
	"olivearch/internal/config"
	"olivearch/internal/discovery"
	"olivearch/internal/pool"
	"olivearch/internal/wire"
)

// Config is what a balancer is told at its start.
type Config struct {
	Name       string
	Listen     string // host:port for clients
	Discovery  string // host:port of discovery
	Seed       uint64
	MemoryMB   int
	Sockets    int
	Known      discovery.Listing // the upstreams as last held, maybe stale
	Meeting    string            // path at which a later process of this balancer asks to take its place; empty: none does
	Management string            // host:port for the staff's calls; empty: none
	Promises   *config.Promises  // the ledger in which it takes part; nil: none
	Settings   balancer.Settings
	Links      wire.Links
	keys       map[string]bool // that the file had, each with its path
}

// configFile is the configuration file's form.
type configFile struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Seed       string `json:"seed"`
	Management string `json:"management"`
	Limits     struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    discovery.Listing `json:"known"`
	Settings json.RawMessage   `json:"settings"`
}

// LoadConfig reads the file that RELAY_CONFIG names. The other RELAY_ variables go before what it says.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return Config{}, errors.New("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	delete(all, "known") // what upstreams there are may change
	for name, to := range map[string]*string{"RELAY_NAME": &f.Name, "RELAY_LISTEN": &f.Listen, "RELAY_DISCOVERY": &f.Discovery, "RELAY_MANAGEMENT": &f.Management} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	f.Limits.Sockets = allowed(f.Limits.Sockets)
	c, err := f.config()
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	c.keys = keysOf(all)
	if path := getenv("RELAY_PROMISES"); path != "" {
		if c.Promises, err = config.LoadPromises(path); err != nil {
			return c, fmt.Errorf("RELAY_PROMISES: %w", err)
		}
	}
	if folder := getenv("TMPDIR"); folder != "" {
		c.Meeting = filepath.Join(folder, "olivearch-"+c.Name+".sock")
	}
	return c, nil
}

// allowed is how many descriptors the process may have: what it was told, or less where the system gives less. Divided up by more than
// there are, clients would leave none for upstreams and discovery.
func allowed(told int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(max(0, told)) {
		return told
	}
	return int(limit.Cur)
}

// ReloadConfig reads the file again. RELAY_DISCOVERY still names the address of the start, so the file's goes before it. A
// key that the file before had and this one lacks is an error: it would be taken for zero, which may be a legal value.
func ReloadConfig(getenv func(string) string, before Config) (Config, error) {
	c, err := LoadConfig(func(name string) string {
		if name == "RELAY_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return c, err
	}
	for _, key := range slices.Sorted(maps.Keys(before.keys)) {
		if !c.keys[key] {
			return c, fmt.Errorf("%s: %s is missing, and stood there before", getenv("RELAY_CONFIG"), key)
		}
	}
	return c, nil
}

// kindKeys are keys that only some kinds of class have: another class without them lacks nothing.
var kindKeys = map[string]bool{"group": true, "memory_span_us": true, "late_worth": true, "stream": true}

// keysOf returns the path of each key in a value. A key of a list's entries counts if all of them have it.
func keysOf(value any) map[string]bool {
	keys := map[string]bool{}
	under := func(path string, x any) {
		for k := range keysOf(x) {
			keys[path+k] = true
		}
	}
	switch v := value.(type) {
	case map[string]any:
		for name, x := range v {
			keys[name] = true
			under(name+".", x)
		}
	case []any:
		count := map[string]int{}
		for _, x := range v {
			for k := range keysOf(x) {
				count[k]++
			}
		}
		for k, n := range count {
			if n == len(v) && !kindKeys[k] {
				keys["each."+k] = true
			}
		}
	}
	return keys
}

// config checks what was read.
func (f *configFile) config() (Config, error) {
	c := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management, Known: f.Known,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
	}
	var err error
	if _, err = netip.ParseAddrPort(c.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if _, err = netip.ParseAddrPort(c.Discovery); err != nil {
		return c, fmt.Errorf("discovery: %w", err)
	}
	if _, err = netip.ParseAddrPort(c.Management); err != nil && c.Management != "" {
		return c, fmt.Errorf("management: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB < 16 {
		return c, fmt.Errorf("limits: memory_mb is %d; at least 16 is needed", c.MemoryMB)
	}
	if c.Sockets < 64 {
		return c, fmt.Errorf("limits: sockets is %d; at least 64 are needed", c.Sockets)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings are missing")
	}
	if c.Settings, c.Links, err = wire.DecodeSettings(f.Settings); err != nil {
		return c, err
	}
	c.Settings.Limits.MaxInFlight = c.upstreamConns()
	if err := c.Settings.Validate(); err != nil {
		return c, err
	}
	if c.Links.KeepAlive <= 0 || c.Links.ConnectTimeout <= 0 {
		return c, errors.New("settings: limits: keepalive_us and connect_timeout_us must be over zero")
	}
	for _, m := range c.Known.Members {
		if err := m.Check(); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// Descriptors: half are for clients, who hold a third at most for requests, and a reserve is for the listener,
// discovery and what is being closed. The rest is for upstreams.

func (c *Config) clientConns() int { return c.Sockets / 2 }

// requestConns is how many connections clients may keep for requests. Clients hold a third of the descriptors between
// them, and the front lets nobody in above it: those who ask once and keep the connection once filled it, and up to 81 %
// of the tries never came here. Three eighths of the third stay free for those who come at once.
func (c *Config) requestConns() int { return c.Sockets / 3 * 5 / 8 }

func (c *Config) upstreamConns() int { return c.Sockets/2 - max(c.Sockets/16, 16) }

// spec is the one pool of a platform's balancer.
func (c *Config) spec() pool.Spec {
	return pool.Spec{
		Name: c.Name, Settings: c.Settings, Links: c.Links, Seed: c.Seed, Discovery: c.Discovery, InitialEndpoints: &c.Known,
		Connections: c.upstreamConns(),
	}
}
