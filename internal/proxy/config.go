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
	"olivearch/internal/budget"
	"olivearch/internal/config"
	"olivearch/internal/discovery"
	"olivearch/internal/pool"
	"olivearch/internal/wire"
)

// Environment variables that LoadConfig reads.
const (
	envConfig       = "RELAY_CONFIG"   // path of the configuration file
	envCoordination = "RELAY_PROMISES" // path of a file that names the coordination servers
	envSocketFolder = "TMPDIR"         // folder of the hot restart socket

	// These take precedence over the values of the configuration file.
	envName       = "RELAY_NAME"
	envListen     = "RELAY_LISTEN"
	envDiscovery  = "RELAY_DISCOVERY"
	envManagement = "RELAY_MANAGEMENT"
)

// Config is the configuration of a Balancer. It is immutable: a reload creates another.
type Config struct {
	Name               string
	Listen             string            // host:port at which clients are served
	Discovery          string            // host:port of the discovery service
	Seed               uint64            // of the decision module's random number generator
	MemoryMB           int               // MiB that the process may use
	Sockets            int               // file descriptors that the process may use
	InitialEndpoints   discovery.Listing // last known endpoint list, possibly stale
	TakeoverPath       string            // socket at which a new process requests a takeover; empty: no hot restarts
	AdminAddress       string            // host:port for operators' commands; empty: none are accepted
	Coordination       *config.Promises  // names the coordination servers; nil: no shared overrides
	Settings           balancer.Settings
	ConnectionSettings wire.ConnectionSettings // of the pool's connections to upstreams
	keys               keySet                  // in the configuration file; a reload must have them all
}

// LoadConfig reads the file that RELAY_CONFIG names and the other environment variables. An error names the variable,
// or the file and the key.
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
	if folder := getenv(envSocketFolder); folder != "" {
		loaded.TakeoverPath = filepath.Join(folder, "olivearch-"+loaded.Name+".sock")
	}
	return loaded, nil
}

// ReloadConfig reads the file again. RELAY_DISCOVERY is ignored: the environment still has the address of the start,
// and the file the current one. A key that is missing although the file had it before is an error: it would be read as
// zero, which may be a legal value.
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
			return loaded, fmt.Errorf("%s: %s is missing, but was set before the reload", getenv(envConfig), key)
		}
	}
	return loaded, nil
}

// availableSockets returns how many file descriptors the process may open: the configured number, or the system's limit
// if that is lower. The shares of clients and upstreams are computed from it. With too high a number, clients could use
// up all descriptors and leave none for upstreams and discovery.
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

// Half of the file descriptors are for client connections. A reserve is for the listener, discovery and connections
// that are being closed. The rest are for upstream connections.

// minReservedSockets is the minimum of the reserve.
const minReservedSockets = 16

// maxClientConns returns how many client connections may be open.
func (c *Config) maxClientConns() int { return c.Sockets / 2 }

// keepAliveLimit returns how many client connections may be active or idle before the longest idle one is closed. A
// platform opens connections for its clients up to a third of the descriptors. When clients that had sent one request
// and kept the connection filled that third, up to 81 % of the requests did not reach the balancer. Three eighths of
// the third are therefore kept free for new connections.
func (c *Config) keepAliveLimit() int { return c.Sockets / 3 * 5 / 8 }

// maxUpstreamConns returns how many connections to all upstreams together may be open.
func (c *Config) maxUpstreamConns() int { return c.Sockets/2 - max(c.Sockets/16, minReservedSockets) }

// maxStreams returns how many connections to upstreams streamed responses may hold: seven eighths of them.
func (c *Config) maxStreams() int { return c.maxUpstreamConns() * 7 / 8 }

// spoolBytes returns how much memory request bodies that are read ahead may take, in bytes: an eighth of the process's.
func (c *Config) spoolBytes() int64 { return int64(c.MemoryMB) << 20 / 8 }

// responseBytes returns how much memory the bodies of responses that are held may take, in bytes: a tenth of the
// process's.
func (c *Config) responseBytes() int64 { return int64(c.MemoryMB) << 20 / 10 }

// maxUploads returns how many long request bodies may be streamed to upstreams at once, each of which takes a
// connection there until its client has sent the last byte: a quarter of the client connections.
func (c *Config) maxUploads() int { return max(1, c.maxClientConns()/4) }

// poolSpec returns the configuration of the balancer's pool. responseMemory is for the responses that it holds, in
// bytes.
func (c *Config) poolSpec(responseMemory *budget.Budget) pool.Spec {
	return pool.Spec{
		Name:               c.Name,
		Settings:           c.Settings,
		ConnectionSettings: c.ConnectionSettings,
		Seed:               c.Seed,
		Discovery:          c.Discovery,
		InitialEndpoints:   &c.InitialEndpoints,
		MaxConnections:     c.maxUpstreamConns(),
		MaxStreams:         c.maxStreams(),

		ResponseMemory:      budget.Shared{Budget: responseMemory},
		WholeResponseInTime: true,
	}
}
