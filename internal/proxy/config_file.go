package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"

	"olivearch/internal/discovery"
	"olivearch/internal/wire"
)

const (
	minMemoryMB = 16
	minSockets  = 64
)

// configFile is the JSON object in the configuration file.
type configFile struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Seed       string `json:"seed"` // hexadecimal
	Management string `json:"management"`
	Limits     struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    discovery.Listing `json:"known"`
	Settings json.RawMessage   `json:"settings"`
}

// decodeConfigFile decodes the text of a configuration file. The keySet has its keys except those of the endpoint list,
// which a reload may lack.
func decodeConfigFile(text []byte) (*configFile, keySet, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, nil, err
	}
	var values map[string]any
	if err := json.Unmarshal(text, &values); err != nil {
		return nil, nil, err
	}
	delete(values, "known")
	return &file, keysOf(values), nil
}

// applyEnvironment replaces values by those of the environment variables that are set.
func (f *configFile) applyEnvironment(getenv func(string) string) {
	for name, value := range map[string]*string{
		envName:       &f.Name,
		envListen:     &f.Listen,
		envDiscovery:  &f.Discovery,
		envManagement: &f.Management,
	} {
		if set := getenv(name); set != "" {
			*value = set
		}
	}
}

// config validates the file's values and converts them to a Config. An error names the key.
func (f *configFile) config() (Config, error) {
	if err := f.checkAddresses(); err != nil {
		return Config{}, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed: %w", err)
	}
	if err := f.checkLimits(); err != nil {
		return Config{}, err
	}
	converted := Config{
		Name:             f.Name,
		Listen:           f.Listen,
		Discovery:        f.Discovery,
		Seed:             seed,
		MemoryMB:         f.Limits.MemoryMB,
		Sockets:          f.Limits.Sockets,
		InitialEndpoints: f.Known,
		AdminAddress:     f.Management,
	}
	if err := converted.decodeSettings(f.Settings); err != nil {
		return Config{}, err
	}
	for _, member := range f.Known.Members {
		if err := member.Check(); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	return converted, nil
}

func (f *configFile) checkAddresses() error {
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if f.Management == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(f.Management); err != nil {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

func (f *configFile) checkLimits() error {
	if f.Limits.MemoryMB < minMemoryMB {
		return fmt.Errorf("limits: memory_mb is %d; at least %d is needed", f.Limits.MemoryMB, minMemoryMB)
	}
	if f.Limits.Sockets < minSockets {
		return fmt.Errorf("limits: sockets is %d; at least %d are needed", f.Limits.Sockets, minSockets)
	}
	return nil
}

// decodeSettings decodes and validates the settings object. c.Sockets must be set: it bounds the attempts in flight.
func (c *Config) decodeSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("settings are missing")
	}
	var err error
	if c.Settings, c.ConnectionSettings, err = wire.DecodeSettings(text); err != nil {
		return err
	}
	c.Settings.Limits.MaxInFlight = c.maxUpstreamConns()
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if c.ConnectionSettings.KeepAlive <= 0 || c.ConnectionSettings.ConnectTimeout <= 0 {
		return errors.New("settings: limits: keepalive_us and connect_timeout_us must be over zero")
	}
	return nil
}
