// Package nodeshare apportions nodes that several pools of one process use: what a node bears (connections, and work
// while it is cold) is the node's, whoever sends it. Each pool gets a fixed part by its weight, so that no pool can use up
// another's and pools need not ask each other before each request. It does no I/O and belongs to one goroutine.
package nodeshare

import "maps"

// Share is what one pool may use of one node.
type Share struct {
	Part        float64 // of its cold budget, over 0 and at most 1
	Connections int     // at most, 1 at least
	Draining    bool    // by the list of some pool
}

// claim is what a pool uses.
type claim struct {
	weight float64
	nodes  map[string]bool // by address; true: the pool's list says that it drains
}

// Ledger knows which pools use which nodes.
type Ledger struct {
	connections int // to one node, over all pools
	claims      map[string]claim
}

// New returns a Ledger for so many connections to one node over all pools.
func New(connections int) *Ledger {
	return &Ledger{connections: connections, claims: map[string]claim{}}
}

// Limit sets the connections to one node anew.
func (l *Ledger) Limit(connections int) { l.connections = connections }

// Claim notes the nodes that a pool lists, by address, in the place of those that it listed before.
func (l *Ledger) Claim(pool string, weight float64, nodes map[string]bool) {
	l.claims[pool] = claim{weight, maps.Clone(nodes)}
}

// Leave forgets a pool.
func (l *Ledger) Leave(pool string) { delete(l.claims, pool) }

// Shares returns what a pool may use, for each node that it lists. Over all pools the parts of a node add up to 1, and its
// connections to no more than its limit, unless there are more pools than connections: each gets one then.
func (l *Ledger) Shares(pool string) map[string]Share {
	mine := l.claims[pool]
	shares := make(map[string]Share, len(mine.nodes))
	for node := range mine.nodes {
		var total float64
		draining := false
		for _, c := range l.claims {
			if drains, ok := c.nodes[node]; ok {
				total += c.weight
				draining = draining || drains
			}
		}
		part := mine.weight / total
		shares[node] = Share{part, max(1, int(float64(l.connections)*part+1e-9)), draining}
	}
	return shares
}
