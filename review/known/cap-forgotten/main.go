//go:build review

// Command cap-forgotten: a confirmed concurrency cap of a node is forgotten by olivearch serve at the first answer that is streamed.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"olivearch/review/stand"
)

const (
	limit   = 1                      // attempts in flight at the node
	work    = 100 * time.Millisecond // of the node for a request
	clients = 8
	asking  = 4 * time.Second
	slack   = 2 * time.Second // a second of promises.md, one for this machine
)

const services = `listeners:
  - {address: %s, connections: 200}
limits: {memory: 192MiB, descriptors: 1024, node_connections: 32}
classes:
  page: {repeat: safe, aim: 1s, deadline: 5s}
pools:
  web:
    nodes: {static: [{id: node-1, address: '%s'}]}
    connections: 200
    queue: 100
routes:
  - {name: all, class: page, pool: web}
promises: {voters: {%s}}
`

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	cluster, err := w.StartCluster("k1", "k2", "k3")
	if err != nil {
		return 0, err
	}
	node, err := startNode(w.Record)
	if err != nil {
		return 0, err
	}
	listen := stand.FreeAddress()
	path := filepath.Join(w.Folder, "services.yaml")
	text := fmt.Appendf(nil, services, listen, node.address, cluster.Voters(": ", nil))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return 0, err
	}
	if _, err := w.Start("serve", "exec bin/olivearch serve --config "+path); err != nil {
		return 0, err
	}
	if err := stand.AwaitHealthy(listen, 10*time.Second); err != nil {
		return 0, err
	}
	ask(w.Record, listen, "/plain", time.Second)
	answer, err := cluster.Promises("set", "cap", "node-1", fmt.Sprint(limit))
	if err != nil || !strings.HasPrefix(answer, "held by") {
		return 0, fmt.Errorf("set cap: %s %v", answer, err)
	}
	time.Sleep(slack)
	node.reset()
	ask(w.Record, listen, "/plain", 2*time.Second)
	if before := node.reset(); before > limit {
		return 0, fmt.Errorf("%d requests at once before the disruption", before)
	}
	page := "/plain"
	if w.Trouble {
		page = "/slow-answer" // in two parts, one at once and one after the work
	}
	if _, err := get("http://" + listen + page); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	ask(w.Record, listen, "/plain", asking)
	most := node.reset()
	if most > limit {
		w.Say("BROKEN: %q to a cap of %d, and after one streamed answer %d requests were at the node at once", answer, limit, most)
		return stand.RuleBroken, nil
	}
	w.Say("held: %q to a cap of %d, and at most %d requests were at the node at once", answer, limit, most)
	return stand.RuleHeld, nil
}

// ask lets clients send requests.
func ask(record *stand.Record, listen, page string, length time.Duration) {
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for end := time.Now().Add(length); time.Now().Before(end); {
				text, err := get("http://" + listen + page)
				record.Line("client %d: %s: %q %v", i+1, page, text, err)
			}
		})
	}
	all.Wait()
}

func get(url string) (string, error) {
	response, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s", response.StatusCode, text), err
}

// node counts the requests that are there at once.
type node struct {
	address string
	record  *stand.Record
	mu      sync.Mutex
	now     int
	most    int
}

func startNode(record *stand.Record) (*node, error) {
	n := &node{record: record}
	n.address = stand.FreeAddress()
	server := &http.Server{Addr: n.address, Handler: n}
	go server.ListenAndServe()
	return n, nil
}

func (n *node) count(by int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now += by
	n.most = max(n.most, n.now)
	n.record.Line("node-1: %d requests at once", n.now)
}

func (n *node) reset() (most int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	most, n.most = n.most, n.now
	return most
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.count(1)
	defer n.count(-1)
	if r.URL.Path == "/slow-answer" {
		io.WriteString(w, "one part, ")
		http.NewResponseController(w).Flush()
	}
	time.Sleep(work)
	io.WriteString(w, "done")
}
