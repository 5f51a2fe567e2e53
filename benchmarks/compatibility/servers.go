package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// clusterSize is how many coordination servers form a cluster.
const clusterSize = 3

// mix is the versions of a cluster's servers.
type mix [clusterSize]version

// String names the versions, such as "base, base, working tree".
func (m mix) String() string {
	var names []string
	for _, program := range m {
		names = append(names, program.name)
	}
	return strings.Join(names, ", ")
}

// coordinationServer is one server of a cluster: its place on the disk, and its process while it has one.
type coordinationServer struct {
	name       string
	address    string
	folder     string // of its log and state
	configPath string
	program    version
	process    *process
}

// cluster is three coordination servers.
type cluster struct {
	folder  string
	servers [clusterSize]*coordinationServer
	set     []override // what was set and not cleared, by this program's own account
}

// newCluster prepares servers with empty folders.
func newCluster(folder string, versions mix) (*cluster, error) {
	own, err := os.MkdirTemp(folder, "cluster-")
	if err != nil {
		return nil, fmt.Errorf("making a cluster's folder: %w", err)
	}
	formed := &cluster{folder: own}
	var pairs []string
	for index, program := range versions {
		name := fmt.Sprintf("k%d", index+1)
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		formed.servers[index] = &coordinationServer{
			name: name, address: address, folder: filepath.Join(own, name), configPath: filepath.Join(own, name+".yaml"),
			program: program,
		}
		pairs = append(pairs, fmt.Sprintf("%s: '%s'", name, address))
	}
	for _, server := range formed.servers {
		if err := os.Mkdir(server.folder, 0o700); err != nil {
			return nil, fmt.Errorf("making a server's folder: %w", err)
		}
		text := fmt.Sprintf("name: %s\nfolder: %s\nvoters: {%s}\n", server.name, server.folder, strings.Join(pairs, ", "))
		if err := os.WriteFile(server.configPath, []byte(text), 0o600); err != nil {
			return nil, fmt.Errorf("writing a server's configuration: %w", err)
		}
	}
	return formed, nil
}

// start starts the server's process.
func (s *coordinationServer) start() error {
	running, err := start(filepath.Dir(s.folder), nil, s.program.coordinator, "run", s.configPath)
	if err != nil {
		return fmt.Errorf("starting %s: %w", s.name, err)
	}
	s.process = running
	return nil
}

// stop ends the server's process.
func (s *coordinationServer) stop() error {
	if s.process == nil {
		return nil
	}
	err := s.process.stop()
	s.process = nil
	if err != nil {
		return fmt.Errorf("stopping %s: %w", s.name, err)
	}
	return nil
}

// start starts all servers.
func (c *cluster) start() error {
	for _, server := range c.servers {
		if err := server.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all servers.
func (c *cluster) stop() error {
	var problems []error
	for _, server := range c.servers {
		problems = append(problems, server.stop())
	}
	return errors.Join(problems...)
}

// addresses names all servers for the operators' commands.
func (c *cluster) addresses() string {
	var pairs []string
	for _, server := range c.servers {
		pairs = append(pairs, server.name+"="+server.address)
	}
	return strings.Join(pairs, ",")
}

// promises runs an operators' command of a version against servers.
func promises(ctx context.Context, using version, servers string, arguments ...string) (string, error) {
	arguments = append([]string{"promises", "--voters", servers, "--by", operatorName(using)}, arguments...)
	output, err := command(ctx, "", using.balancer, arguments...)
	if err != nil {
		return "", fmt.Errorf("%s of the %s: %w", strings.Join(arguments, " "), using.name, err)
	}
	return output, nil
}

// operatorName is who sets an override, by a version's command.
func operatorName(using version) string { return strings.ReplaceAll(using.name, " ", "-") }

// list reads the overrides by a version's command.
func list(ctx context.Context, using version, servers string) ([]override, error) {
	text, err := promises(ctx, using, servers, "list")
	if err != nil {
		return nil, err
	}
	return parseOverrides(text)
}

// awaitMembers waits until a version's command reaches all servers, and one of them leads.
func (c *cluster) awaitMembers(ctx context.Context, using version) error {
	return poll(ctx, "all servers and a leader", func(ctx context.Context) error {
		text, err := promises(ctx, using, c.addresses(), "members")
		if err != nil {
			return err
		}
		for _, missing := range []string{"NOT REACHED", "NO VOTER LEADS", "NEVER HEARD", "no vote yet"} {
			if strings.Contains(text, missing) {
				return fmt.Errorf("members: %s", text)
			}
		}
		return nil
	})
}

// awaitOverrides waits until a version's command finds at some servers exactly what was set.
func (c *cluster) awaitOverrides(ctx context.Context, using version, servers string) error {
	return poll(ctx, "overrides", func(ctx context.Context) error {
		found, err := list(ctx, using, servers)
		if err != nil {
			return err
		}
		return compareOverrides(c.set, found)
	})
}
