package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { plays["old-copy"] = playOldCopy }

// earlierCommands is how many commands the cluster has taken before.
const earlierCommands = 30

// playOldCopy: all coordination servers are lost with their disks; a new cluster is begun with the last snapshot, as
// the page says. Before the balancer is restarted, operators take an upstream out of service at it.
func playOldCopy(set *stage) ([]string, error) {
	servers, err := set.cluster("k1", "k2", "k3")
	if err != nil {
		return nil, err
	}
	promises, err := servers.file()
	if err != nil {
		return nil, err
	}
	site, err := set.site(20*time.Millisecond, "RELAY_PROMISES="+promises)
	if err != nil {
		return nil, err
	}
	for number := range earlierCommands {
		if _, err := servers.operator("set", "cap", "s-00000003", fmt.Sprint(100+number)); err != nil {
			return nil, err
		}
	}
	if set.trouble {
		if err := servers.beginAgain(); err != nil {
			return nil, err
		}
	}
	load := set.traffic(site.listen)
	time.Sleep(2 * time.Second)
	out := site.upstreams[0]
	answer, err := site.balancer.operator("maint-on " + out.id)
	if err != nil || !strings.HasPrefix(answer, "+OK held by") {
		return nil, fmt.Errorf("maint-on: %s, %w", answer, err)
	}
	taken := time.Now()
	time.Sleep(10 * time.Second)
	set.note("clients: answers by status:%s", load.stop())
	if sent := out.since(taken.Add(50 * time.Millisecond)); sent > 0 {
		return []string{fmt.Sprintf("%d new requests went to %s in the 10 s after %s", sent, out.id, answer)}, nil
	}
	return nil, nil
}

// beginAgain loses all servers with their folders, starts them empty and restores the snapshot made before.
func (c *cluster) beginAgain() error {
	file := filepath.Join(c.stage.folder, "snapshot")
	text, err := c.operator("snapshot", file)
	c.stage.note("operator: promises snapshot: %s", strings.TrimSpace(text))
	if err != nil {
		return err
	}
	for _, name := range c.names {
		c.servers[name].signal(syscall.SIGKILL)
		<-c.servers[name].ended
		if err := os.RemoveAll(filepath.Join(c.stage.folder, "data-"+name)); err != nil {
			return err
		}
	}
	c.stage.note("all servers are lost with their folders; they are started empty")
	for _, name := range c.names {
		if err := c.start(name); err != nil {
			return err
		}
	}
	if err := c.awaitLeader(); err != nil {
		return err
	}
	text, err = c.operator("restore", file)
	c.stage.note("operator: promises restore: %s", strings.TrimSpace(text))
	return err
}
