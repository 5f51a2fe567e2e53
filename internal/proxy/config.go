package proxy

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"olivearch/balancer"
	"olivearch/internal/config"
	"olivearch/internal/discovery"
	"olivearch/internal/pool"
	"olivearch/internal/wire"
)

// Environment variables.
const (
	envConfig       = "RELAY_CONFIG"   // path of the configuration file
	envCoordination = "RELAY_PROMISES" // path of a file that names the coordination servers
	envFolder       = "TMPDIR"         // of the socket for hot restarts

	// These go before the values of the configuration file.
	envName       = "RELAY_NAME"
	envListen     = "RELAY_LISTEN"
	envDiscovery  = "RELAY_DISCOVERY"
	envManagement = "RELAY_MANAGEMENT"
)

// Config is the configuration of a balancer. It never changes: a reload makes another.
type Config struct {
	Name             string
	Listen           string            // host:port for clients
	Discovery        string            // host:port of discovery
	Seed             uint64            // of the decision module's random numbers
	MemoryMB         int               // MiB that the process may use
	Sockets          int               // file descriptors that the process may use
	InitialEndpoints discovery.Listing // the endpoint list that was last known, maybe stale
	TakeoverPath     string            // path at which a new process requests a takeover; empty: none does
	AdminAddress     string            // host:port for operators' commands; empty: none
	Coordination     *config.Promises  // of the coordination cluster; nil: no shared overrides
	Settings         balancer.Settings
	Links            wire.ConnectionSettings // timeouts of upstream connections
	keys             keySet                  // of the file, to find on a reload what is missing
}

// LoadConfig reads the file that RELAY_CONFIG names. An error names the variable, or the file and the key.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return Config{}, errors.New(envConfig + " is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", envConfig, err)
	}
	file, keys, err := decodeConfigFile(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	file.applyEnvironment(getenv)
	file.Limits.Sockets = availableSockets(file.Limits.Sockets)
	loaded, err := file.config()
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	loaded.keys = keys
	if path := getenv(envCoordination); path != "" {
		if loaded.Coordination, err = config.LoadPromises(path); err != nil {
			return loaded, fmt.Errorf("%s: %w", envCoordination, err)
		}
	}
	if folder := getenv(envFolder); folder != "" {
		loaded.TakeoverPath = filepath.Join(folder, "olivearch-"+loaded.Name+".sock")
	}
	return loaded, nil
}

// ReloadConfig reads the file again. RELAY_DISCOVERY still names the address of the start, so the file's goes before
// it. A key that the file had before and has no longer is an error: it would be taken for zero, which may be a legal
// value.
func ReloadConfig(getenv func(string) string, before Config) (Config, error) {
	loaded, err := LoadConfig(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return loaded, err
	}
	for _, key := range slices.Sorted(maps.Keys(before.keys)) {
		if !loaded.keys[key] {
			return loaded, fmt.Errorf("%s: %s is missing, and stood there before", getenv(envConfig), key)
		}
	}
	return loaded, nil
}

// availableSockets is how many file descriptors the process may have: as configured, or fewer where the system allows
// fewer. If more were divided up than there are, clients would leave none for upstreams and discovery.
func availableSockets(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return configured
	}
	if limit.Cur >= uint64(max(0, configured)) {
		return configured
	}
	return int(limit.Cur)
}

// Of the file descriptors, half are for clients, who may keep a third for requests. A reserve is for the listener,
// discovery and what is being closed. The rest is for upstreams.

// minReservedSockets is the least reserve.
const minReservedSockets = 16

// clientConns is how many connections clients may have.
func (c *Config) clientConns() int { return c.Sockets / 2 }

// requestConns is how many connections clients may keep for requests. Clients hold a third of the descriptors between
// them, and the server accepts nobody above it: clients that sent one request and kept the connection once filled it,
// and up to 81 % of the requests never came here. Three eighths of the third stay free for those that come at once.
func (c *Config) requestConns() int { return c.Sockets / 3 * 5 / 8 }

// upstreamConns is how many connections there may be to all upstreams.
func (c *Config) upstreamConns() int { return c.Sockets/2 - max(c.Sockets/16, minReservedSockets) }

// bodyBufferBytes is how much memory client bodies may take that are read ahead, in bytes: an eighth of the process's.
func (c *Config) bodyBufferBytes() int64 { return int64(c.MemoryMB) << 20 / 8 }

// poolSpec describes the balancer's one pool.
func (c *Config) poolSpec() pool.Spec {
	return pool.Spec{
		Name:             c.Name,
		Settings:         c.Settings,
		Links:            c.Links,
		Seed:             c.Seed,
		Discovery:        c.Discovery,
		InitialEndpoints: &c.InitialEndpoints,
		MaxConnections:   c.upstreamConns(),
	}
}
