package sharedlimit

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
)

// told is what pools know by the changes that they were told: it goes by a pool's list where nothing was told.
type told struct {
	*Allocator
	limit int
	pools map[string]*Pool
	know  map[*Pool]map[string]Allotment
}

func newTold(connections int) *told {
	return &told{NewAllocator(connections), connections, map[string]*Pool{}, map[*Pool]map[string]Allotment{}}
}

func (x *told) claim(name string, weight float64, nodes map[string]bool) {
	p := x.pools[name]
	if p == nil {
		p = &Pool{}
		x.pools[name], x.know[p] = p, map[string]Allotment{}
	}
	maps.DeleteFunc(x.know[p], func(node string, _ Allotment) bool { _, still := nodes[node]; return !still })
	x.Claim(p, weight, nodes)
}

func (x *told) leave(name string) {
	if p := x.pools[name]; p != nil {
		x.Remove(p)
		delete(x.pools, name)
		delete(x.know, p)
	}
}

// note takes changes, and returns how many there were.
func (x *told) note(changes map[*Pool][]Change) (n int) {
	for p, list := range changes {
		n += len(list)
		for _, c := range list {
			if c.Exclusive {
				delete(x.know[p], c.Node)
			} else {
				x.know[p][c.Node] = c.Allotment
			}
		}
	}
	return n
}

func (x *told) tell() int {
	cuts, rest := x.Changes()
	return x.note(cuts) + x.note(rest)
}

// shares is what a pool knows of each node that it lists.
func (x *told) shares(name string) map[string]Allotment {
	shares := map[string]Allotment{}
	if p := x.pools[name]; p != nil {
		for node, drains := range p.nodes {
			share, ok := x.know[p][node]
			if !ok {
				share = Allotment{1, x.limit, drains}
			}
			shares[node] = share
		}
	}
	return shares
}

// plain is the straightforward computation: every claim, for every node, each time. It is the oracle.
type plain struct {
	connections int
	claims      map[string]Pool
}

func (l plain) shares(pool string) map[string]Allotment {
	mine := l.claims[pool]
	shares := make(map[string]Allotment, len(mine.nodes))
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
		shares[node] = Allotment{part, max(1, int(float64(l.connections)*part+1e-9)), draining}
	}
	return shares
}

func TestSharesByWeight(t *testing.T) {
	l := newTold(40)
	l.claim("checkin", 3, map[string]bool{"a": false, "b": false})
	l.claim("maps", 1, map[string]bool{"b": true})
	l.tell()
	if s := l.shares("checkin"); s["a"] != (Allotment{1, 40, false}) || s["b"] != (Allotment{0.75, 30, true}) {
		t.Errorf("%+v", s)
	}
	if s := l.shares("maps"); len(s) != 1 || s["b"] != (Allotment{0.25, 10, true}) {
		t.Errorf("%+v", s)
	}
	l.leave("maps")
	l.tell()
	if s := l.shares("checkin"); s["b"] != (Allotment{1, 40, false}) {
		t.Errorf("%+v", s)
	}
}

// TestAsThePlainComputation: whatever pools come and go, with whatever lists, weights and limits, and however many of that
// between two tellings, what pools know by the changes told is what the straightforward computation gives. Parts add up
// to one node and connections to its limit, also after the cuts when some pools have been told the rest. What
// differs for nobody is told to nobody.
func TestAsThePlainComputation(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	l, oracle := newTold(50), plain{50, map[string]Pool{}}
	// sums is what pools may use of each node by what they know; a pool that was not told of a claim gets nothing by it.
	acked := map[string]map[string]bool{}
	sums := func(when string, limit int) {
		t.Helper()
		parts, connections := map[string]float64{}, map[string]int{}
		for name, p := range l.pools {
			for node, s := range l.shares(name) {
				if _, ok := acked[name][node]; ok && p != nil {
					parts[node] += s.Fraction
					connections[node] += s.Connections
				}
			}
		}
		for node, sum := range parts {
			if sum > 1+1e-9 || connections[node] > limit {
				t.Fatalf("%s, node %s: parts %v, connections %d of %d", when, node, sum, connections[node], limit)
			}
		}
	}
	for range 5000 {
		before := l.limit
		for range 1 + rng.IntN(4) {
			name := fmt.Sprint(rng.IntN(8))
			switch rng.IntN(8) {
			case 0, 1:
				l.leave(name)
				delete(oracle.claims, name)
				delete(acked, name)
			case 2:
				l.limit = 20 + rng.IntN(40)
				oracle.connections = l.limit
				l.SetConnectionLimit(l.limit)
			default:
				nodes := map[string]bool{}
				for range rng.IntN(6) {
					nodes[fmt.Sprint(rng.IntN(10))] = rng.IntN(3) == 0
				}
				weight := float64(1 + rng.IntN(3))
				l.claim(name, weight, nodes)
				oracle.claims[name] = Pool{weight, nodes}
				maps.DeleteFunc(acked[name], func(node string, _ bool) bool { _, still := nodes[node]; return !still })
			}
		}
		cuts, rest := l.Changes()
		l.note(cuts)
		for name, p := range l.pools {
			l.note(map[*Pool][]Change{p: rest[p]})
			acked[name] = maps.Clone(p.nodes)
			sums("between", max(before, l.limit)) // of a lower limit a pool is told when nobody else gains by it
		}
		sums("after all", l.limit)
		for name := range oracle.claims {
			got, want := l.shares(name), oracle.shares(name)
			if len(got) != len(want) {
				t.Fatalf("pool %s: %d nodes, want %d", name, len(got), len(want))
			}
			for node, w := range want {
				if g := got[node]; math.Abs(g.Fraction-w.Fraction) > 1e-12 || g.Connections != w.Connections || g.Draining != w.Draining {
					t.Fatalf("pool %s, node %s: %+v, want %+v", name, node, g, w)
				}
			}
		}
		if n := l.tell(); n > 0 {
			t.Fatalf("%d changes told where nothing differs", n)
		}
		for node, uses := range l.shared {
			if len(uses) < 2 {
				t.Fatalf("node %s counts as shared by %d", node, len(uses))
			}
		}
	}
}

// TestAloneIsToldToNobody: pools with nodes of their own are told nothing, whatever they claim, and a node that two list
// is told to these two, once.
func TestAloneIsToldToNobody(t *testing.T) {
	l := newTold(50)
	for i := range 100 {
		nodes := map[string]bool{}
		for k := range 20 {
			nodes[fmt.Sprint(i, "-", k)] = k == 7
		}
		l.claim(fmt.Sprint(i), 1, nodes)
	}
	if n := l.tell(); n > 0 {
		t.Errorf("%d changes told of nodes that one pool lists", n)
	}
	l.claim("0", 1, map[string]bool{"0-0": false, "1-0": false})
	if n := l.tell(); n != 2 {
		t.Errorf("%d changes of a node that two list", n)
	}
	l.claim("0", 1, map[string]bool{"0-0": false, "1-0": true})
	if n := l.tell(); n != 2 {
		t.Errorf("%d changes of a drain that two list", n)
	}
	l.leave("0")
	if n := l.tell(); n != 1 {
		t.Errorf("%d changes after one has left", n)
	}
}
