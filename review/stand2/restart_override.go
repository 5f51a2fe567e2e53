//go:build review

package main

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	coordination "olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

func init() { plays["restart-override"] = playRestartOverride }

const (
	// overrideWithin is the time within which all connected balancers have an override that is held.
	overrideWithin = time.Second
	// stillBefore is how long two servers have stood still when the balancer is killed, and stillFor how long they
	// stand still in all.
	stillBefore = 500 * time.Millisecond
	stillFor    = 3500 * time.Millisecond
)

// playRestartOverride: operators have taken an upstream out of service, and the cluster holds the override. Two of its
// five servers stand still, and the balancer is killed and started again.
func playRestartOverride(set *stage) ([]string, error) {
	servers, err := set.cluster("k1", "k2", "k3", "k4", "k5")
	if err != nil {
		return nil, err
	}
	promises, err := servers.file()
	if err != nil {
		return nil, err
	}
	order, err := servers.followOrder("n0")
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
	if set.trouble {
		servers.standStill(order[:2])
	}
	time.Sleep(stillBefore)
	set.note("SIGKILL to the balancer, and a new start")
	site.balancer.signal(syscall.SIGKILL)
	<-site.balancer.ended
	killed := time.Now()
	if _, err := set.newProcess("restarted", site.config, "RELAY_PROMISES="+promises); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	first := load.firstServedSince(killed)
	set.note("clients: first answer %.3f s after the kill; answers by status:%s", first.Sub(killed).Seconds(), load.stop())
	if first.IsZero() {
		return nil, fmt.Errorf("no client was served after the restart")
	}
	set.note("requests at %s in the first second: %d", out.id, out.since(killed)-out.since(first.Add(overrideWithin)))
	if sent := out.since(first.Add(overrideWithin)); sent > 0 {
		return []string{fmt.Sprintf("%d new requests went to %s, which is out of service, later than 1 s after the balancer "+
			"had served again", sent, out.id)}, nil
	}
	return nil, nil
}

// standStill makes servers stand still for stillFor.
func (c *cluster) standStill(names []string) {
	for _, name := range names {
		c.stage.note("%s stands still (SIGSTOP)", name)
		c.servers[name].signal(syscall.SIGSTOP)
	}
	time.AfterFunc(stillFor, func() {
		for _, name := range names {
			c.stage.note("%s goes on (SIGCONT)", name)
			c.servers[name].signal(syscall.SIGCONT)
		}
	})
}

// followOrder returns the order in which a balancer of that name tries the servers, as the project's follower shows it
// to listeners that close every connection.
func (c *cluster) followOrder(balancer string) (order []string, err error) {
	tried := make(chan string, 1000)
	addresses := map[string]string{}
	var ended atomic.Bool
	for _, name := range c.names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses[name] = listener.Addr().String()
		go func() {
			for !ended.Load() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				tried <- name
				conn.Close()
			}
		}()
	}
	follower := coordination.StartFollower(balancer, addresses, "", func([]state.Override) {})
	defer follower.Close()
	defer ended.Store(true)
	for range c.names {
		select {
		case name := <-tried:
			order = append(order, name)
		case <-time.After(10 * time.Second):
			return nil, fmt.Errorf("the follower tried %d servers", len(order))
		}
	}
	c.stage.note("balancer %s tries the servers in the order %v", balancer, order)
	return order, nil
}
