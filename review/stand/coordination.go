//go:build review

package stand

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Cluster is a cluster of coordination servers, started as docs/operate/promises.md says.
type Cluster struct {
	Addresses map[string]string // by name
	world     *World
	servers   map[string]*Process
}

// Server returns the newest process of a server.
func (c *Cluster) Server(name string) *Process { return c.servers[name] }

// StartCluster starts servers k1, k2 and so on, and waits until one leads.
func (w *World) StartCluster(names ...string) (*Cluster, error) {
	c := &Cluster{Addresses: map[string]string{}, world: w, servers: map[string]*Process{}}
	for _, name := range names {
		c.Addresses[name] = FreeAddress()
	}
	for _, name := range names {
		if err := c.StartServer(name); err != nil {
			return nil, err
		}
	}
	return c, c.AwaitMembers(len(names), 30*time.Second)
}

// StartServer starts a server with its folder, which is empty at first.
func (c *Cluster) StartServer(name string) error {
	folder := filepath.Join(c.world.Folder, "data-"+name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(c.world.Folder, name+".yaml")
	text := fmt.Sprintf("name: %s\nfolder: data-%s\nvoters: {%s}\n", name, name, c.Voters(": ", nil))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	started, err := c.world.Start(name, "exec bin/olivearch-coordinator run "+path)
	c.servers[name] = started
	return err
}

// Voters lists the servers' names and addresses. Addresses in instead go before the servers' own.
func (c *Cluster) Voters(separator string, instead map[string]string) string {
	var all []string
	for name, address := range c.Addresses {
		if other := instead[name]; other != "" {
			address = other
		}
		all = append(all, name+separator+address)
	}
	if separator == "=" {
		return strings.Join(all, ",")
	}
	return strings.Join(all, ", ")
}

// Promises runs a command of operators, olivearch promises, and returns what it prints.
func (c *Cluster) Promises(arguments ...string) (string, error) {
	cmd := exec.Command(filepath.Join(c.world.Root, "bin", "olivearch"), append([]string{"promises"}, arguments...)...)
	cmd.Env = []string{"OLIVEARCH_VOTERS=" + c.Voters("=", nil)}
	output, err := cmd.CombinedOutput()
	text := strings.TrimSpace(string(output))
	if arguments[0] != "members" || len(arguments) > 1 || err != nil {
		c.world.Line("operator: olivearch promises %s: %s (%v)", strings.Join(arguments, " "), text, err)
	}
	return text, err
}

// Remove removes a server from the cluster, and waits until so many voters are left.
func (c *Cluster) Remove(name string, left int) error {
	if _, err := c.Promises("members", "remove", name); err != nil {
		return err
	}
	return c.AwaitMembers(left, 20*time.Second)
}

// AwaitMembers waits until a server leads a cluster of so many voters.
func (c *Cluster) AwaitMembers(voters int, within time.Duration) error {
	text := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		text, _ = c.Promises("members")
		_, leaderView, leads := strings.Cut(text, "\ncluster ")
		if leads && strings.Count(leaderView, "heard ") == voters && !strings.Contains(leaderView, "no vote yet") {
			c.world.Line("operator: olivearch promises members:\n%s", text)
			return nil
		}
	}
	return fmt.Errorf("the cluster has not come to %d voters: %s", voters, text)
}

// Relay passes connections on, unchanged, and counts those that are open.
type Relay struct {
	Address string
	Open    atomic.Int64
	to      string
	mu      sync.Mutex
}

// StartRelay starts a relay to an address.
func StartRelay(to string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: listener.Addr().String(), to: to}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(conn)
		}
	}()
	return r, nil
}

func (r *Relay) pass(from net.Conn) {
	defer from.Close()
	to, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	r.Open.Add(1)
	defer r.Open.Add(-1)
	go func() {
		io.Copy(to, from)
		to.(*net.TCPConn).CloseWrite()
	}()
	io.Copy(from, to)
}
