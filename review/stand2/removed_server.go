package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { plays["removed-server"] = playRemovedServer }

// overrideWithin is the time within which all connected balancers have an override that is held.
const overrideWithin = time.Second

// playRemovedServer: operators go from five coordination servers to three, and then take an upstream out of service.
// The balancer is connected to one of the servers that were removed, which still runs.
func playRemovedServer(set *stage) ([]string, error) {
	servers, err := set.cluster("k1", "k2", "k3", "k4", "k5")
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
	if err := servers.shrink(set.trouble); err != nil {
		return nil, err
	}
	out := site.upstreams[0]
	text, err := servers.operator("set", "out", out.id)
	set.note("operator: promises set out %s: %s", out.id, strings.TrimSpace(text))
	if err != nil {
		return nil, err
	}
	held := time.Now()
	time.Sleep(15 * time.Second)
	set.note("clients: answers by status:%s", load.stop())
	if sent := out.since(held.Add(overrideWithin)); sent > 0 {
		return []string{fmt.Sprintf("%d new requests went to %s, which is out of service, from 1 s after the answer on",
			sent, out.id)}, nil
	}
	return nil, nil
}

// shrink removes two servers: with trouble the one that the balancer follows and another, else two others.
func (c *cluster) shrink(trouble bool) error {
	followed, err := c.followed()
	if err != nil {
		return err
	}
	c.stage.note("the balancer follows %s", followed)
	removed := 0
	for _, name := range c.names {
		if removed == 2 || (name == followed) != (trouble && removed == 0) {
			continue
		}
		if err := c.remove(name); err != nil {
			return err
		}
		removed++
	}
	if removed < 2 { // the followed one came late in the order
		for _, name := range c.names {
			if name != followed && removed < 2 {
				if err := c.remove(name); err != nil {
					return err
				}
				removed++
			}
		}
	}
	return nil
}

// remove removes a server from the cluster and waits until it is no member.
func (c *cluster) remove(name string) error {
	text, err := c.operator("members", "remove", name)
	c.stage.note("operator: promises members remove %s: %s", name, strings.TrimSpace(text))
	if err != nil {
		return err
	}
	return until(15*time.Second, name+" is removed", func() bool {
		text, err := c.operator("members")
		return err == nil && !strings.Contains(text, "  "+name+" (") && strings.Contains(text, "cluster ")
	})
}
