package loopnodes

import (
	"net/http"
	"testing"
)

// TestEveryAddressIsANode asks three nodes of one socket: each answers under its own address.
func TestEveryAddressIsANode(t *testing.T) {
	n, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, node := range []int{0, 253, 254, 17_999} {
		resp, err := client.Get("http://" + n.At(node))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got := resp.Header.Get(NodeField); got != n.At(node) {
			t.Errorf("node %d at %s answers as %s", node, n.At(node), got)
		}
	}
	if n.Connections() != 4 || n.Runs() != 4 {
		t.Errorf("%d connections and %d requests, 4 of each are wanted", n.Connections(), n.Runs())
	}
}

func TestAddressesDiffer(t *testing.T) {
	n := &Nodes{port: 80}
	seen := map[string]bool{}
	for i := range 200_000 {
		if a := n.At(i); seen[a] {
			t.Fatalf("node %d has the address %s of another", i, a)
		} else {
			seen[a] = true
		}
	}
}
