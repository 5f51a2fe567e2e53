//go:build review

// Command kept-list: a balancer that was killed and started again with its kept list sends requests, without end, to an upstream that
// discovery removed meanwhile.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"olivearch/review/stand"
)

const (
	down    = 3 * time.Second // between the end of the first process and the start of the second
	told    = 6 * time.Second // after which a change counts as told at the latest (PROTOCOL, Figures)
	grace   = time.Second     // rules.drain_grace
	slack   = time.Second     // for this machine; PROTOCOL has 50 ms
	watched = 10 * time.Second
)

const services = `listeners:
  - {address: %s, connections: 200}
limits: {memory: 192MiB, descriptors: 1024, node_connections: 32}
classes:
  checkin: {repeat: unsafe, aim: 250ms, deadline: 750ms}
rules: {drain_grace: 1s}
pools:
  checkin:
    nodes: {discovery: '%s', keep: checkin.nodes, hold: 10m}
    connections: 200
    queue: 100
routes:
  - {name: checkin, path: {prefix: /checkin}, methods: [POST], class: checkin, pool: checkin}
`

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	discovery, err := stand.StartVersions(w.Record)
	if err != nil {
		return 0, err
	}
	for i := range 3 {
		id := fmt.Sprintf("s-%08x", i+1)
		upstream, err := stand.StartUpstream(w.Record, id, 20*time.Millisecond)
		if err != nil {
			return 0, err
		}
		w.Upstreams = append(w.Upstreams, upstream)
		discovery.Add(stand.Member{
			ID: id, HostPort: upstream.Address, Locality: "baires", Flavor: "c2-full", Cell: 1, Phase: "up", Size: 1,
		})
	}
	w.Listen = stand.FreeAddress()
	path := filepath.Join(w.Folder, "services.yaml")
	if err := os.WriteFile(path, fmt.Appendf(nil, services, w.Listen, discovery.Address), 0o600); err != nil {
		return 0, err
	}
	start := func(name string) (*stand.Process, error) {
		started, err := w.Start(name, "exec bin/olivearch serve --config "+path)
		if err != nil {
			return nil, err
		}
		return started, stand.AwaitHealthy(w.Listen, 10*time.Second)
	}
	first, err := start("first")
	if err != nil {
		return 0, err
	}
	client := stand.NewClient(w.Record, "1", w.Listen)
	send(client, 2*time.Second)
	gone := w.Upstreams[2]
	if len(gone.Arrivals(time.Time{})) == 0 {
		return 0, fmt.Errorf("%s got no request before it was removed", gone.ID)
	}
	kept, err := os.ReadFile(filepath.Join(w.Folder, "checkin.nodes"))
	if err != nil || strings.Count(string(kept), "host_port") != 3 {
		return 0, fmt.Errorf("the list was not kept: %q %v", kept, err)
	}

	if w.Trouble {
		w.Signal(first, syscall.SIGKILL)
		<-first.Ended()
		client.Close()
	}
	time.Sleep(down / 2)
	discovery.Remove(gone.ID)
	time.Sleep(down / 2)
	if w.Trouble {
		if _, err := start("second"); err != nil {
			return 0, err
		}
	}
	due := time.Now().Add(told + grace + slack)
	for time.Now().Before(due.Add(watched)) {
		send(client, time.Second)
	}
	late := gone.Arrivals(due)
	for _, arrival := range late {
		w.Line("request %s began at %s %v after it counted as told", arrival.ID, gone.ID, arrival.At.Sub(due).Round(time.Millisecond))
	}
	if len(late) > 0 {
		w.Say("BROKEN: %s was removed, and %d requests were sent there from %v after the start on, in %v",
			gone.ID, len(late), told+grace+slack, watched)
		return stand.RuleBroken, nil
	}
	w.Say("held: %s was removed, and from %v after the start on no request was sent there", gone.ID, told+grace+slack)
	return stand.RuleHeld, nil
}

func send(client *stand.Client, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client.Send(0, time.Second)
	}
}
