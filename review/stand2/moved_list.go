//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { plays["moved-list"] = playMovedList }

// toldWithin is the time after which a change counts as told, and drainGrace the grace of a drain, with its 50 ms.
const (
	toldWithin = 6 * time.Second
	drainGrace = 1050 * time.Millisecond
)

// playMovedList: a new configuration moves discovery to a service that counts its own revisions, and the balancer is
// killed and started again with that configuration. Later an upstream drains.
func playMovedList(set *stage) ([]string, error) {
	site, err := set.site(20 * time.Millisecond)
	if err != nil {
		return nil, err
	}
	current := site.discovery
	if set.trouble {
		if current, err = set.discovery("B", 7, site.upstreams...); err != nil {
			return nil, err
		}
		if _, err := set.writeConfig(checkin, site.listen, current.address, site.discovery.list()); err != nil {
			return nil, err
		}
		set.note("the configuration names discovery B: SIGHUP")
		site.balancer.signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	set.note("SIGKILL to the balancer, and a new start")
	site.balancer.signal(syscall.SIGKILL)
	<-site.balancer.ended
	if _, err := set.balancer("restarted", site.config); err != nil {
		return nil, err
	}
	load := set.traffic(site.listen)
	time.Sleep(3 * time.Second)
	draining := site.upstreams[0]
	current.setPhase(draining.id, "draining")
	changed := time.Now()
	time.Sleep(20 * time.Second)
	set.note("clients: answers by status:%s", load.stop())
	if late := draining.since(changed.Add(toldWithin + drainGrace)); late > 0 {
		return []string{fmt.Sprintf("%d new requests went to %s later than 7.05 s after discovery had its drain",
			late, draining.id)}, nil
	}
	return nil, nil
}
