package service

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
)

// TestInvalidListExpires: the list file of pool a becomes invalid. The pool keeps its last list and shows the error.
// Once the list exceeds its maximum age the pool rejects requests at once, until it gets a valid list. Pool b is not
// affected.
func TestInvalidListExpires(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 2, fleet.Spec{})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := startService(
		t,
		j,
		folder,
		strings.Replace(twoPools, "a: {nodes: {file: a.yaml}", "a: {nodes: {file: a.yaml, hold: 500ms}", 1),
	)
	ask := func(host, id string) int { return x.clients(host, "x", fleet.Unsafe, 1).Ask(id) }
	if err := os.WriteFile(filepath.Join(folder, "a.yaml"), []byte("nodes: [{addr"), 0o600); err != nil {
		t.Fatal(err)
	}
	x.waitFor("the error of the list", func(live.View) bool {
		return strings.Contains(x.pool("a").Trouble, "a.yaml:1:")
	})
	if p := x.pool("a"); len(p.Nodes) != 1 || p.Nodes[0].Phase != "up" {
		t.Errorf("an invalid list changed the endpoints: %+v", p.Nodes)
	}
	x.waitFor("the list is expired", func(live.View) bool { return x.pool("a").Expired })
	before := time.Now()
	if status := ask("a.example.org", "1"); status != 503 || time.Since(before) > 500*time.Millisecond {
		t.Errorf("with an expired list: %d after %v", status, time.Since(before))
	}
	if status := ask("b.example.org", "2"); status != 200 {
		t.Errorf("the other pool: %d", status)
	}
	x.writeList("a.yaml", all[0].Entry("up"))
	x.waitFor("the pool has a valid list", func(live.View) bool { return !x.pool("a").Expired })
	if status := ask("a.example.org", "3"); status != 200 {
		t.Errorf("with a valid list: %d", status)
	}
	x.wantNoBreaches()
}

// TestDiscoverySource: reloads switch the source of a pool's list between a discovery service and a file.
func TestDiscoverySource(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 2, fleet.Spec{})
	stop := make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("since") {
			select {
			case <-r.Context().Done():
			case <-stop:
			}
			return
		}
		fmt.Fprintf(
			w,
			`{"revision":7,"complete":true,"members":[{"id":"d0","host_port":"%s","phase":"up","size":1}]}`,
			all[0].Address(),
		)
	}))
	t.Cleanup(func() { close(stop); discovery.Close() })
	writeEndpoints(t, j, folder, "a.yaml", all[1].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[1].Entry("up"))
	byFile := twoPools
	byDiscovery := strings.Replace(twoPools, "file: a.yaml", fmt.Sprintf("discovery: '%s'", discovery.Listener.Addr()), 1)
	x := startService(t, j, folder, byDiscovery)
	for i, text := range []string{byDiscovery, byFile, byDiscovery, byFile} {
		want := []string{"d0", "n1"}[i%2]
		if i > 0 {
			x.apply(text)
		}
		x.waitFor(want+" is the pool's only node", func(live.View) bool {
			up := ""
			for _, n := range x.pool("a").Nodes {
				if n.Phase == "up" {
					up += n.ID
				}
			}
			return up == want
		})
		if status := x.clients("a.example.org", "x", fleet.Unsafe, 1).Ask(fmt.Sprint(i)); status != 200 {
			t.Errorf("with source %d: status %d", i, status)
		}
	}
	if a, b := all[0].Runs(), all[1].Runs(); a != 2 || b != 2 {
		t.Errorf("%d and %d runs, want 2 each", a, b)
	}
	x.wantNoBreaches()
}
