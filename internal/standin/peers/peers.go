// Package peers starts what rigs measure against each other: olivearch as its users run it, net/http/httputil's ReverseProxy, and a
// bare relay of bytes between two sockets, the floor. Each runs in a process of its own with GOMAXPROCS=1.
package peers

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"olivearch/internal/procstat"
	"olivearch/internal/standin/scripted"
)

// The names of the peers.
const (
	Olivearch = "olivearch"
	Reverse   = "reverse"
	Relay     = "relay"
)

const (
	roleVariable  = "OLIVEARCH_PEER"
	nodesVariable = "OLIVEARCH_PEER_NODES"
)

// Main plays a peer if the process was started as one. A rig calls it first.
func Main(getenv func(string) string) (played bool, err error) {
	nodes := strings.Split(getenv(nodesVariable), ",")
	switch role := getenv(roleVariable); role {
	case "":
		return false, nil
	case Reverse:
		return true, reverse(nodes)
	case Relay:
		return true, relay(nodes)
	default:
		return true, fmt.Errorf("no peer %q", role)
	}
}

// Config is how olivearch is set.
type Config struct {
	Connections int // of clients, and to nodes
	Queue       int
	Tunnels     int // to the protocol "echo", at most; 0: they are off
}

// Peer is a running process between clients and nodes.
type Peer struct {
	Name    string
	Address string
	cmd     *exec.Cmd
}

// CPU is the time that it has used.
func (p *Peer) CPU() (time.Duration, error) { return procstat.CPU(p.cmd.Process.Pid) }

// Resident is the memory that it holds, in MB of 2^20 bytes.
func (p *Peer) Resident() (float64, error) { return procstat.Resident(p.cmd.Process.Pid) }

// Set is the peers of a rig.
type Set struct {
	All    []*Peer
	folder string
}

// Named returns a peer.
func (s *Set) Named(name string) *Peer {
	for _, p := range s.All {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Stop ends them all.
func (s *Set) Stop() {
	for _, p := range s.All {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	}
	if s.folder != "" {
		os.RemoveAll(s.folder)
	}
}

// Start starts all peers in front of nodes. It is run from the module's root, since it builds olivearch.
func Start(nodes []string, c Config) (*Set, error) {
	folder, err := os.MkdirTemp("", "peers")
	if err != nil {
		return nil, err
	}
	s := &Set{folder: folder}
	if err := s.start(nodes, c); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// StartRelay starts the bare relay alone, in front of nodes.
func StartRelay(nodes []string) (*Set, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := new(Set)
	if err := s.launch(&Peer{Relay, "", exec.Command(self)}, nodes); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(nodes []string, c Config) error {
	binary := filepath.Join(s.folder, "olivearch")
	if out, err := exec.Command("go", "build", "-o", binary, "./cmd/olivearch").CombinedOutput(); err != nil {
		return fmt.Errorf("building olivearch from the module's root: %w\n%s", err, out)
	}
	ours, err := free()
	if err != nil {
		return err
	}
	config := filepath.Join(s.folder, "c.yaml")
	if err := os.WriteFile(config, []byte(c.text(ours, nodes)), 0o600); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	for _, p := range []*Peer{
		{Olivearch, ours, exec.Command(binary, "serve", "--config", config)},
		{Reverse, "", exec.Command(self)},
		{Relay, "", exec.Command(self)},
	} {
		if err := s.launch(p, nodes); err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
	}
	return nil
}

func (c Config) text(address string, nodes []string) string {
	var list strings.Builder
	for _, n := range nodes {
		fmt.Fprintf(&list, "{address: '%s'}, ", n)
	}
	tunnels, upgrades := "", ""
	if c.Tunnels > 0 {
		tunnels, upgrades = fmt.Sprintf("tunnels: {most: %d, per_node: %d}, ", c.Tunnels, c.Tunnels), ", upgrades: [echo]"
	}
	return fmt.Sprintf(`listeners: [{address: '%s', connections: %d}]
limits: {memory: 512MiB, descriptors: %d, node_connections: %d, bodies: 16MiB}
classes: {c: {aim: 250ms, deadline: 5s}}
pools: {p: {connections: %d, queue: %d, %snodes: {static: [%s]}}}
routes: [{name: all, class: c, pool: p%s}]
`, address, c.Connections, 2*c.Connections+100, c.Connections, c.Connections, c.Queue, tunnels, list.String(), upgrades)
}

// launch starts a peer and waits until it takes connections.
func (s *Set) launch(p *Peer, nodes []string) error {
	role := p.Name
	if role == Olivearch {
		role = ""
	}
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", roleVariable+"="+role, nodesVariable+"="+strings.Join(nodes, ","))
	if p.Address != "" { // it logs what clients do to it
		if err := p.cmd.Start(); err != nil {
			return err
		}
		s.All = append(s.All, p)
		return await(p.Address)
	}
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.All = append(s.All, p)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return errors.New("it does not tell where it listens")
	}
	p.Address = strings.TrimSpace(line)
	return nil
}

func free() (string, error) {
	address, _, err := scripted.Reserve() // for as long as this process lives
	return address, err
}

func await(address string) error {
	var err error
	for range 500 {
		var c net.Conn
		if c, err = net.Dial("tcp", address); err == nil {
			c.Close()
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return err
}
