//go:build review

package stand

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Cluster is a coordination cluster of three servers, started as docs/operate/promises.md says.
type Cluster struct {
	Voters map[string]string // addresses by name
	world  *World
}

// StartCluster starts three coordination servers with empty folders and waits until they hold grants.
func (w *World) StartCluster() (*Cluster, error) {
	c := &Cluster{Voters: map[string]string{}, world: w}
	for _, name := range []string{"k1", "k2", "k3"} {
		c.Voters[name] = FreeAddress()
	}
	for name := range c.Voters {
		folder := filepath.Join(w.Folder, "data-"+name)
		if err := os.Mkdir(folder, 0o700); err != nil {
			return nil, err
		}
		path := filepath.Join(w.Folder, name+".yaml")
		text := fmt.Sprintf("name: %s\nfolder: %s\nvoters: {%s}\n", name, folder, votersText(c.Voters, ": ", ", "))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if _, err := w.Start(name, "exec bin/olivearch-coordinator run "+path); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if strings.Contains(c.Promises("set", "out", "trial"), "held by") {
			c.Promises("clear", "out", "trial")
			time.Sleep(time.Second) // the third server has caught up by then
			return c, nil
		}
	}
	return nil, fmt.Errorf("the coordination cluster does not form: %s", w.Log("k1"))
}

func votersText(voters map[string]string, between, after string) string {
	var parts []string
	for name, address := range voters {
		parts = append(parts, name+between+address)
	}
	return strings.Join(parts, after)
}

// Promises runs "olivearch promises" on the voters themselves and returns what it prints.
func (c *Cluster) Promises(args ...string) string {
	command := append([]string{"promises", "--voters", votersText(c.Voters, "=", ",")}, args...)
	cmd := exec.Command(filepath.Join(c.world.Root, "bin", "olivearch"), command...)
	out, _ := cmd.CombinedOutput()
	c.world.Line("operator: olivearch promises %s: %s", strings.Join(args, " "), strings.TrimSpace(string(out)))
	return string(out)
}

// PromisesFile writes a file for RELAY_PROMISES with these addresses of the voters, like deploy/promises.yaml.
func (w *World) PromisesFile(name string, voters map[string]string) (string, error) {
	path := filepath.Join(w.Folder, name+"-promises.yaml")
	text := fmt.Sprintf("voters: {%s}\nwithin: 1s\n", votersText(voters, ": ", ", "))
	return path, os.WriteFile(path, []byte(text), 0o600)
}
