//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// cluster is a coordination cluster, with the sample configuration's settings.
type cluster struct {
	stage   *stage
	names   []string
	voters  map[string]string // addresses by name
	servers map[string]*process
}

func (s *stage) cluster(names ...string) (*cluster, error) {
	started := &cluster{stage: s, names: names, voters: map[string]string{}, servers: map[string]*process{}}
	for _, name := range names {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		started.voters[name] = address
	}
	for _, name := range names {
		if err := started.start(name); err != nil {
			return nil, err
		}
	}
	return started, started.awaitLeader()
}

// awaitLeader waits until a server leads.
func (c *cluster) awaitLeader() error {
	return until(20*time.Second, "the cluster has a leader", func() bool {
		text, err := c.operator("members")
		return err == nil && strings.Contains(text, "cluster ") && !strings.Contains(text, "NO VOTER LEADS")
	})
}

// pairs returns the voters as NAME=ADDRESS or, for YAML, NAME: 'ADDRESS'.
func (c *cluster) pairs(format string) string {
	var all []string
	for _, name := range c.names {
		all = append(all, fmt.Sprintf(format, name, c.voters[name]))
	}
	return strings.Join(all, ",")
}

// flow returns the voters as a mapping of YAML.
func (c *cluster) flow() string { return "{" + c.pairs(" %s: '%s'") + "}" }

// start starts a server by its own configuration file.
func (c *cluster) start(name string) error {
	folder := filepath.Join(c.stage.folder, "data-"+name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(c.stage.folder, name+".yaml")
	text := fmt.Sprintf("name: %s\nfolder: %s\nvoters: %s\n", name, folder, c.flow())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := c.stage.launch(name, nil, "/bin/sh", "-c", "exec bin/olivearch-coordinator run "+path)
	c.servers[name] = p
	return err
}

// operator runs "olivearch promises" and returns its output.
func (c *cluster) operator(arguments ...string) (string, error) {
	cmd := exec.Command("bin/olivearch", append([]string{"promises", "--voters", c.pairs("%s=%s")}, arguments...)...)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// file writes the file that RELAY_PROMISES names, as the sample deploy/promises.yaml, and returns its path.
func (c *cluster) file() (string, error) {
	path := filepath.Join(c.stage.folder, "promises.yaml")
	return path, os.WriteFile(path, []byte("voters: "+c.flow()+"\nwithin: 1s\n"), 0o600)
}
