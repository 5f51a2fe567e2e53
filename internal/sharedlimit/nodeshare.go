// Package nodeshare apportions nodes that several pools of one process use: what a node bears (connections, and work
// while it is cold) is the node's, whoever sends it. Each pool gets a fixed part by its weight, so that no pool can use up
// another's and pools need not ask each other before each request. It does no I/O and belongs to one goroutine.
//
// A claim costs work by its own length and by the nodes on which it differs for others: a node that one pool lists alone
// is told to nobody.
package sharedlimit

import "slices"

// Allotment is what one pool may use of one node.
type Allotment struct {
	Fraction    float64 // of its cold budget, over 0 and at most 1
	Connections int     // at most, 1 at least
	Draining    bool    // by the list of some pool
}

// cuts tells whether s allows less than before did, in any regard.
func (s Allotment) cuts(before Allotment) bool {
	return s.Fraction < before.Fraction || s.Connections < before.Connections || s.Draining && !before.Draining
}

// Change is a new share of a node that several pools list.
type Change struct {
	Node      string // its address
	Allotment Allotment
	Exclusive bool // no other pool lists the node any more, and Share says nothing: all of it is this pool's
}

// Pool is a pool in a Ledger. The zero value uses nothing.
type Pool struct {
	weight float64
	nodes  map[string]bool // by address; true: the pool's list says that it drains
}

// use is one pool's use of a node that several list.
type use struct {
	pool *Pool
	told Allotment // as Changes last returned it; the zero value before
}

// Allocator knows which pools use which nodes.
type Allocator struct {
	connections int // to one node, over all pools
	alone       map[string]*Pool
	shared      map[string][]use // also nodes that were shared when Changes was last called
	touched     map[string]struct{}
}

// NewAllocator returns a Ledger for so many connections to one node over all pools.
func NewAllocator(connections int) *Allocator {
	return &Allocator{connections: connections, alone: map[string]*Pool{}, shared: map[string][]use{}, touched: map[string]struct{}{}}
}

// SetConnectionLimit sets the connections to one node anew.
func (l *Allocator) SetConnectionLimit(connections int) {
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
func (l *Allocator) Claim(p *Pool, weight float64, nodes map[string]bool) {
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

// Remove forgets a pool.
func (l *Allocator) Remove(p *Pool) { l.Claim(p, 0, nil) }

func (l *Allocator) add(p *Pool, node string) {
	if uses, ok := l.shared[node]; ok {
		l.shared[node] = append(uses, use{pool: p})
	} else if other := l.alone[node]; other != nil {
		delete(l.alone, node)
		l.shared[node] = []use{{pool: other, told: Allotment{1, l.connections, false}}, {pool: p}}
	} else {
		l.alone[node] = p
	}
	l.touch(node)
}

func (l *Allocator) drop(p *Pool, node string) {
	if l.alone[node] == p {
		delete(l.alone, node)
		return
	}
	l.shared[node] = slices.DeleteFunc(l.shared[node], func(u use) bool { return u.pool == p })
	l.touch(node)
}

// touch notes that shares of a node may have changed. Nodes that are not shared have none.
func (l *Allocator) touch(node string) {
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
func (l *Allocator) Changes() (cuts, rest map[*Pool][]Change) {
	cuts, rest = map[*Pool][]Change{}, map[*Pool][]Change{}
	for node := range l.touched {
		uses := l.shared[node]
		if len(uses) < 2 {
			delete(l.shared, node)
			if len(uses) == 1 {
				p := uses[0].pool
				l.alone[node] = p
				if uses[0].told != (Allotment{}) {
					rest[p] = append(rest[p], Change{Node: node, Exclusive: true})
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
			share := Allotment{part, max(1, int(float64(l.connections)*part+1e-9)), draining}
			switch before := u.told; {
			case share == before:
				continue
			case before != Allotment{} && share.cuts(before):
				cuts[u.pool] = append(cuts[u.pool], Change{Node: node, Allotment: share})
			default:
				rest[u.pool] = append(rest[u.pool], Change{Node: node, Allotment: share})
			}
			u.told = share
		}
	}
	clear(l.touched)
	return cuts, rest
}
