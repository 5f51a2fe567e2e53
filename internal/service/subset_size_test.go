package service

import (
	"testing"

	"olivearch/internal/config"
)

// TestUses: what check tells: few balancers use all nodes; many a few, and more with more traffic.
func TestUses(t *testing.T) {
	for _, c := range []struct {
		instances, tenants string
		nodes, least, most int
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
		if n, err := SubsetSize(f.Settings("p"), c.nodes); err != nil || n < c.least || n > c.most {
			t.Errorf("%s %s: %d of %d nodes, %v; want %d to %d", c.instances, c.tenants, n, c.nodes, err, c.least, c.most)
		}
	}
}
