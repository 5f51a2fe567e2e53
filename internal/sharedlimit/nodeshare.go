// Package nodeshare apportions nodes that several pools of one process use: what a node bears (connections, and work
// while it is cold) is the node's, whoever sends it. Each pool gets a fixed part by its weight, so that no pool can use up
// another's and pools need not ask each other before each request. It does no I/O and belongs to one goroutine.
//
// A claim costs work by its own length and by the nodes on which it differs for others: a node that one pool lists alone
// is told to nobody.
package sharedlimit

import "slices"

// Share is what one pool may use of one node.
type Share struct {
	Part        float64 // of its cold budget, over 0 and at most 1
	Connections int     // at most, 1 at least
	Draining    bool    // by the list of some pool
}

// cuts tells whether s allows less than before did, in any regard.
func (s Share) cuts(before Share) bool {
	return s.Part < before.Part || s.Connections < before.Connections || s.Draining && !before.Draining
}

// Change is a new share of a node that several pools list.
type Change struct {
	Node  string // its address
	Share Share
	Alone bool // no other pool lists the node any more, and Share says nothing: all of it is this pool's
}

// Pool is a pool in a Ledger. The zero value uses nothing.
type Pool struct {
	weight float64
	nodes  map[string]bool // by address; true: the pool's list says that it drains
}

// use is one pool's use of a node that several list.
type use struct {
	pool *Pool
	told Share // as Changes last returned it; the zero value before
}

// Ledger knows which pools use which nodes.
type Ledger struct {
	connections int // to one node, over all pools
	alone       map[string]*Pool
	shared      map[string][]use // also nodes that were shared when Changes was last called
	touched     map[string]struct{}
}

// New returns a Ledger for so many connections to one node over all pools.
func New(connections int) *Ledger {
	return &Ledger{connections: connections, alone: map[string]*Pool{}, shared: map[string][]use{}, touched: map[string]struct{}{}}
}

// Limit sets the connections to one node anew.
func (l *Ledger) Limit(connections int) {
	if connections == l.connections {
		return
	}
	l.connections = connections
	for node := range l.shared {
		l.touched[node] = struct{}{}
	}
}

// Claim notes the nodes that a pool lists, by address, in the place of those that it listed before. The map is kept: it
// must not be changed any more.
func (l *Ledger) Claim(p *Pool, weight float64, nodes map[string]bool) {
	before, reweighed := p.nodes, weight != p.weight
	p.weight, p.nodes = weight, nodes
	for node := range before {
		if _, still := nodes[node]; !still {
			l.drop(p, node)
		}
	}
	for node, drains := range nodes {
		if drained, had := before[node]; !had {
			l.add(p, node)
		} else if reweighed || drained != drains {
			l.touch(node)
		}
	}
}

// Leave forgets a pool.
func (l *Ledger) Leave(p *Pool) { l.Claim(p, 0, nil) }

func (l *Ledger) add(p *Pool, node string) {
	if uses, ok := l.shared[node]; ok {
		l.shared[node] = append(uses, use{pool: p})
	} else if other := l.alone[node]; other != nil {
		delete(l.alone, node)
		l.shared[node] = []use{{pool: other, told: Share{1, l.connections, false}}, {pool: p}}
	} else {
		l.alone[node] = p
	}
	l.touch(node)
}

func (l *Ledger) drop(p *Pool, node string) {
	if l.alone[node] == p {
		delete(l.alone, node)
		return
	}
	l.shared[node] = slices.DeleteFunc(l.shared[node], func(u use) bool { return u.pool == p })
	l.touch(node)
}

// touch notes that shares of a node may have changed. Nodes that are not shared have none.
func (l *Ledger) touch(node string) {
	if _, ok := l.shared[node]; ok {
		l.touched[node] = struct{}{}
	}
}

// Changes returns what pools are to be told since it was last called: first to all pools what cuts their use of a node,
// then the rest. A pool's first share of a node is among the rest, and Changes says nothing of nodes that a pool has alone:
// it may use the whole of them.
//
// Over all pools the parts of a node add up to 1, and its connections to no more than its limit, unless there are more
// pools than connections: each gets one then.
func (l *Ledger) Changes() (cuts, rest map[*Pool][]Change) {
	cuts, rest = map[*Pool][]Change{}, map[*Pool][]Change{}
	for node := range l.touched {
		uses := l.shared[node]
		if len(uses) < 2 {
			delete(l.shared, node)
			if len(uses) == 1 {
				p := uses[0].pool
				l.alone[node] = p
				if uses[0].told != (Share{}) {
					rest[p] = append(rest[p], Change{Node: node, Alone: true})
				}
			}
			continue
		}
		var total float64
		draining := false
		for _, u := range uses {
			total += u.pool.weight
			draining = draining || u.pool.nodes[node]
		}
		for i := range uses {
			u := &uses[i]
			part := u.pool.weight / total
			share := Share{part, max(1, int(float64(l.connections)*part+1e-9)), draining}
			switch before := u.told; {
			case share == before:
				continue
			case before != Share{} && share.cuts(before):
				cuts[u.pool] = append(cuts[u.pool], Change{Node: node, Share: share})
			default:
				rest[u.pool] = append(rest[u.pool], Change{Node: node, Share: share})
			}
			u.told = share
		}
	}
	clear(l.touched)
	return cuts, rest
}
