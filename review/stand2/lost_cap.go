package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { plays["lost-cap"] = playLostCap }

// serveText is a configuration of "olivearch serve" with one pool, as deploy/services.yaml has two.
const serveText = `listeners:
  - {name: public, address: '%s', connections: 200}
limits: {memory: 192MiB, descriptors: 1024, node_connections: 64}
classes:
  checkin: {repeat: unsafe, aim: 2s, deadline: 3s}
pools:
  checkin:
    nodes: {static: [{id: map-1, address: '%s'}]}
    connections: 100
    queue: 100
routes:
  - {name: checkin, path: {prefix: /checkin}, class: checkin, pool: checkin}
promises: {voters: %s}
`

const (
	capOfNode   = 2
	parallel    = 30
	nodeWork    = 100 * time.Millisecond
	serveWithin = 3 * time.Second
)

// playLostCap: operators have limited the attempts in flight at an upstream. A client leaves before its answer.
func playLostCap(set *stage) ([]string, error) {
	servers, err := set.cluster("k1", "k2", "k3")
	if err != nil {
		return nil, err
	}
	node, err := set.upstream("map-1", nodeWork)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(set.folder, "services.yaml")
	text := fmt.Sprintf(serveText, listen, node.address, servers.flow())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if _, err := set.launch("serve", nil, "bin/olivearch", "serve", "--config", path); err != nil {
		return nil, err
	}
	held, err := servers.operator("set", "cap", node.id, fmt.Sprint(capOfNode))
	set.note("operator: promises set cap %s %d: %s", node.id, capOfNode, strings.TrimSpace(held))
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	set.ask(listen, "warm")
	if set.trouble {
		leaver, err := dial(listen)
		if err != nil {
			return nil, err
		}
		if _, err := io.WriteString(leaver.conn, head("leaver-1", serveWithin, 2)+"ok"); err != nil {
			return nil, err
		}
		time.Sleep(30 * time.Millisecond)
		leaver.close()
		set.note("client: has closed its connection 30 ms after its request")
	}
	time.Sleep(time.Second)
	node.mostInFlight()
	set.ask(listen, "many")
	most := node.mostInFlight()
	set.note("at most %d attempts were in flight at %s", most, node.id)
	if most > capOfNode {
		return []string{fmt.Sprintf("%d attempts were in flight at %s, whose cap is %d", most, node.id, capOfNode)}, nil
	}
	return nil, nil
}

// ask sends requests at the same time, one on each of some connections, a few times.
func (s *stage) ask(listen, name string) {
	var all sync.WaitGroup
	for lane := range parallel {
		all.Go(func() {
			for number := range 10 {
				caller, err := dial(listen)
				if err != nil {
					return
				}
				_, _ = caller.exchange(fmt.Sprintf("bg-%s-%d-%d", name, lane, number), serveWithin)
				caller.close()
			}
		})
	}
	all.Wait()
}
