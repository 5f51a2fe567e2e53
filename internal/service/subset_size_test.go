package service

import (
	"testing"

	"olivearch/internal/config"
)

// TestSubsetSize tests the subset size that "olivearch check" prints. A single balancer uses all nodes. Each of many
// balancers uses a few, and more if the quotas permit more traffic.
func TestSubsetSize(t *testing.T) {
	for _, c := range []struct {
		instances, tenants        string
		nodes, minNodes, maxNodes int
	}{
		{"{count: 1}", "", 100, 100, 100},
		{"{count: 300, rank: 17}", "", 200, 2, 4},
		{"{count: 300, rank: 17}", "tenants: {all: {quota: 5000}}", 200, 7, 8},
		{"{count: 300, rank: 299}", "tenants: {all: {quota: 500000}}", 200, 7, 9},
		{"{count: 300, rank: 17}", "", 1, 1, 1},
	} {
		text := "listeners: [{address: \"127.0.0.1:1\"}]\ninstances: " + c.instances + "\n" + c.tenants +
			"\nclasses: {c: {repeat: unsafe, aim: 250ms, deadline: 1s}}\n" +
			"pools: {p: {nodes: {discovery: \"127.0.0.1:2\"}}}\n" +
			"routes: [{name: r, path: {prefix: /}, class: c, pool: p}]\n"
		f, err := config.Parse("uses.yaml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if n, err := SubsetSize(f.Settings("p"), c.nodes); err != nil || n < c.minNodes || n > c.maxNodes {
			t.Errorf("%s %s: %d of %d nodes, %v; want %d to %d",
				c.instances, c.tenants, n, c.nodes, err, c.minNodes, c.maxNodes)
		}
	}
}
