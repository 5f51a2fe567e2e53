//go:build review

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { plays["restart-override"] = playRestartOverride }

// playRestartOverride: operators have taken an upstream out of service, and the cluster holds the override. One of its
// three servers stands still, and the balancer is killed and started again.
func playRestartOverride(set *stage) ([]string, error) {
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
	load := set.traffic(site.listen)
	time.Sleep(2 * time.Second)
	out := site.upstreams[0]
	answer, err := site.balancer.operator("maint-on " + out.id)
	if err != nil || !strings.HasPrefix(answer, "+OK held by") {
		return nil, fmt.Errorf("maint-on: %s, %w", answer, err)
	}
	taken := time.Now()
	time.Sleep(3 * time.Second)
	if sent := out.since(taken.Add(50 * time.Millisecond)); sent > 0 {
		return nil, fmt.Errorf("%d requests went to %s before the restart", sent, out.id)
	}
	if err := servers.stopFollowed(set.trouble); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	set.note("SIGKILL to the balancer, and a new start")
	site.balancer.signal(syscall.SIGKILL)
	<-site.balancer.ended
	killed := time.Now()
	if _, err := set.balancer("restarted", site.config, "RELAY_PROMISES="+promises); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	set.note("clients: answers by status:%s", load.stop())
	if sent := out.since(killed); sent > 0 {
		return []string{fmt.Sprintf("%d new requests went to %s, which is out of service", sent, out.id)}, nil
	}
	return nil, nil
}

// stopFollowed finds the server that the balancer follows, and makes it stand still if stop is set.
func (c *cluster) stopFollowed(stop bool) error {
	followed, err := c.followed()
	if err != nil {
		return err
	}
	c.stage.note("the balancer follows %s", followed)
	if stop {
		c.stage.note("%s stands still (SIGSTOP)", followed)
		c.servers[followed].signal(syscall.SIGSTOP)
	}
	return nil
}
