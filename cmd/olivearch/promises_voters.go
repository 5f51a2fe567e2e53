package main

import (
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"olivearch/internal/config"
)

// voterAddresses returns the addresses of the voters by name, from the configuration file or from --voters.
func (c *promisesCall) voterAddresses() (map[string]string, error) {
	if c.file != "" {
		return votersFromFile(c.file)
	}
	voters := map[string]string{}
	for _, voter := range strings.FieldsFunc(c.voters, func(r rune) bool { return r == ',' }) {
		name, address, ok := parseVoter(voter)
		if !ok {
			return nil, fmt.Errorf("%w: --voters: %q is not NAME=ADDRESS, such as k1=127.0.0.1:7101", errUsage, voter)
		}
		voters[name] = address
	}
	if len(voters) == 0 {
		return nil, fmt.Errorf("%w: no voters are given: use --voters k1=127.0.0.1:7101,... or --config FILE", errUsage)
	}
	return voters, nil
}

// parseVoter reads NAME=ADDRESS, where the address is an IP address with a port.
func parseVoter(text string) (name, address string, ok bool) {
	name, address, ok = strings.Cut(text, "=")
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", "", false
	}
	return name, address, ok
}

// votersFromFile reads the voters from the configuration of a voter, of RELAY_PROMISES or of serve. If the file is none
// of them, the error says why it is not that of a voter.
func votersFromFile(path string) (map[string]string, error) {
	voter, voterErr := config.LoadVoter(path)
	if voterErr == nil {
		return voter.Voters, nil
	}
	if promises, err := config.LoadPromises(path); err == nil {
		return promises.Voters, nil
	}
	if service, err := config.Load(path); err == nil {
		if service.Promises == nil {
			return nil, fmt.Errorf("%s: the key promises, which names the voters, is missing", path)
		}
		return service.Promises.Voters, nil
	}
	return nil, voterErr
}

// checkPromises prints the voters in a configuration of promises, and warns of settings that are valid but unsafe.
func checkPromises(settings *config.Promises, out io.Writer) {
	names := slices.Sorted(maps.Keys(settings.Voters))
	fmt.Fprintf(out, "  promises: follows %s\n", strings.Join(names, ", "))
	if len(names) == 2 {
		fmt.Fprintln(out, "  promises: two voters are no safer than one: "+
			"if either is lost, nothing can be granted or changed")
	}
	if settings.Copy == "" {
		fmt.Fprintln(out, "  promises: no copy is kept, "+
			"so a process that starts while no voter can be reached does not know the overrides")
	}
}
