package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { plays["handover-drain"] = playHandoverDrain }

// discoveryDown is how long discovery is down: herd+mass has 8 s.
const discoveryDown = 7500 * time.Millisecond

// playHandoverDrain: discovery has told the balancer that an upstream drains, and is down for less than 8 s while the
// balancer is upgraded. Nothing new may go to that upstream.
func playHandoverDrain(set *stage) ([]string, error) {
	site, err := set.site(20 * time.Millisecond)
	if err != nil {
		return nil, err
	}
	load := set.traffic(site.listen)
	time.Sleep(2 * time.Second)
	draining := site.upstreams[0]
	site.discovery.setPhase(draining.id, "draining")
	changed := time.Now()
	time.Sleep(5 * time.Second)
	if late := draining.since(changed.Add(2 * time.Second)); late > 0 {
		return nil, fmt.Errorf("%d requests went to %s before the upgrade", late, draining.id)
	}
	set.note("nothing has gone to %s for 3 s: the balancer has been told", draining.id)
	began := time.Now()
	if set.trouble {
		site.discovery.setDown(true)
	}
	if _, err := set.balancer("new", site.config); err != nil {
		return nil, err
	}
	set.note("SIGTERM to the old process")
	site.balancer.signal(syscall.SIGTERM)
	time.Sleep(time.Until(began.Add(discoveryDown)))
	if set.trouble {
		site.discovery.setDown(false)
	}
	time.Sleep(2 * time.Second)
	set.note("clients: answers by status:%s", load.stop())
	if sent := draining.since(began); sent > 0 {
		return []string{fmt.Sprintf("%d new requests went to %s, of whose drain this balancer had been told",
			sent, draining.id)}, nil
	}
	return nil, nil
}
