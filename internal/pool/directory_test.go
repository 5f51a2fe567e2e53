package pool

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/sharedlimit"
)

// desk is a directory that a test turns by hand.
type desk struct {
	*EndpointRegistry
	state *directory
	order []string // of the pools that were told something
}

func newDesk(t *testing.T, connections int) *desk {
	return &desk{EndpointRegistry: &EndpointRegistry{ctx: t.Context(), ready: make(chan struct{}, 1)}, state: newDirectory(connections)}
}

func (d *desk) turn() { d.state.turn(d.take()) }

// pool is a loop at the directory, turned by hand.
func (d *desk) pool(t *testing.T, name string, weight float64, own bool) *hand {
	h := newHand(t, testSpec())
	h.shares = d.join(weight, own, func(e event) {
		d.order = append(d.order, name)
		h.hand(e)
	})
	return h
}

// lists gives a pool a list of one node after another: the phase of each.
func (h *hand) lists(phases ...string) {
	h.revision++
	var members []discovery.Member
	for i, phase := range phases {
		if phase != "" {
			members = append(members, discovery.Member{ID: fmt.Sprint("n", i), HostPort: fmt.Sprint("127.0.0.1:", i+1), Phase: phase, Size: 1})
		}
	}
	h.list(h.revision, members...)
}

// node is what the loop knows of a node by its place in the lists.
func (h *hand) node(i int) *peer {
	if p := h.named(fmt.Sprint("n", i)); p != nil {
		return p
	}
	return &peer{state: balancer.Removed}
}

// TestNothingBeforeTheDirectoryAnswers: a pool uses a node once the directory has its claim, and the pools that list the
// node too have their smaller shares before that.
func TestNothingBeforeTheDirectoryAnswers(t *testing.T) {
	d := newDesk(t, 40)
	a, b := d.pool(t, "a", 3, false), d.pool(t, "b", 1, false)
	a.lists("up", "up")
	want(t, "a, before the answer", a.node(0).state, balancer.Draining)
	d.turn()
	a.rush()
	want(t, "a", a.node(0).state, balancer.Active)
	want(t, "a alone", a.node(0).share, sharedlimit.Allotment{Fraction: 1, Connections: 40})
	for range 20 { // by a map's order the other way would come up
		d.order = nil
		b.lists("up")
		a.rush()
		want(t, "b, before the answer", b.node(0).state, balancer.Draining)
		d.turn()
		want(t, "order", fmt.Sprint(d.order), "[a b]")
		b.rush()
		want(t, "b, while a has not looked", b.node(0).share, sharedlimit.Allotment{Fraction: 0.25, Connections: 10})
		a.rush()
		want(t, "a", a.node(0).share, sharedlimit.Allotment{Fraction: 0.75, Connections: 30})
		want(t, "a, at the module", a.node(0).entry.WarmUpShare, 0.75)
		want(t, "a, the other node", a.node(1).share, sharedlimit.Allotment{Fraction: 1, Connections: 40})
		b.lists()
		d.turn()
		a.rush()
		b.rush()
		want(t, "a, alone again", a.node(0).share, sharedlimit.Allotment{Fraction: 1, Connections: 40})
	}
}

// TestDrainOfOneOfTwo: a drain by the list of one pool counts at the other, whether it was there first or comes after it,
// unless it goes by its own list; its end does too.
func TestDrainOfOneOfTwo(t *testing.T) {
	for _, late := range []bool{false, true} {
		d := newDesk(t, 40)
		a, b, own := d.pool(t, "a", 1, false), d.pool(t, "b", 1, false), d.pool(t, "own", 1, true)
		all := func() {
			d.turn()
			a.rush()
			b.rush()
			own.rush()
		}
		if !late {
			b.lists("up", "up")
			own.lists("up", "up")
			all()
			a.lists("up", "up")
			all()
			want(t, "b before the drain", b.node(0).state, balancer.Active)
		}
		a.lists("draining", "up")
		want(t, "a at once", a.node(0).state, balancer.Draining)
		all()
		if late {
			b.lists("up", "up")
			own.lists("up", "up")
			all()
		}
		want(t, "b", b.node(0).state, balancer.Draining)
		want(t, "b, the other node", b.node(1).state, balancer.Active)
		want(t, "own", own.node(0).state, balancer.Active)
		if late {
			a.lists("up", "up")
		} else {
			a.shares.leave()
		}
		all()
		want(t, "b after the drain", b.node(0).state, balancer.Active)
	}
}

// TestClaimLeaveClaimAgain: a pool drops a node and lists it again while word of its first use is on the way. That says
// nothing of the second.
func TestClaimLeaveClaimAgain(t *testing.T) {
	d := newDesk(t, 40)
	a, b := d.pool(t, "a", 1, false), d.pool(t, "b", 3, false)
	a.lists("up")
	d.turn() // a is told that its claim is in, and does not look
	a.lists()
	a.lists("up")
	a.rush()
	want(t, "a, by the word that its first claim is in", a.node(0).state, balancer.Draining)
	b.lists("up")
	d.turn()
	a.rush()
	want(t, "a", a.node(0).share.Connections, 10)
	b.shares.reweigh(7)
	d.turn() // a is told that it has an eighth, and does not look
	a.lists()
	a.lists("up")
	a.rush()
	want(t, "a, by an answer to its first claim", a.node(0).state, balancer.Draining)
	b.shares.leave()
	d.turn()
	a.rush()
	want(t, "a, by the answer to its last", a.node(0).state, balancer.Active)
	want(t, "a", a.node(0).share, sharedlimit.Allotment{Fraction: 1, Connections: 40})
	want(t, "what a keeps beside its claim", len(a.shares.shared)+len(a.shares.waiting), 0)
}

// TestPoolOfTheSameName: a pool that lingers after a reload ends when its successor has claimed its nodes.
func TestPoolOfTheSameName(t *testing.T) {
	d := newDesk(t, 40)
	old, other := d.pool(t, "x", 1, false), d.pool(t, "y", 1, false)
	old.lists("up")
	other.lists("up")
	d.turn()
	next := d.pool(t, "x", 1, false)
	next.lists("up")
	old.shares.leave()
	old.lists("draining") // it ends with a list that it had not looked at
	d.turn()
	next.rush()
	other.rush()
	want(t, "the successor", next.node(0).share, sharedlimit.Allotment{Fraction: 0.5, Connections: 20})
	want(t, "the other", other.node(0).share, sharedlimit.Allotment{Fraction: 0.5, Connections: 20})
}

// TestLimitReachesAll: pools are told another limit of connections to one node, also for nodes that they have alone.
func TestLimitReachesAll(t *testing.T) {
	d := newDesk(t, 40)
	a, b := d.pool(t, "a", 1, false), d.pool(t, "b", 1, false)
	a.lists("up", "up")
	b.lists("up")
	for _, limit := range []int{40, 20, 60} {
		d.SetConnectionLimit(limit)
		d.turn()
		a.rush()
		b.rush()
		want(t, "shared, a", a.node(0).entry.MaxInFlight, limit/2)
		want(t, "shared, b", b.node(0).entry.MaxInFlight, limit/2)
		want(t, "alone", a.node(1).entry.MaxInFlight, limit)
	}
	d.order = nil
	d.SetConnectionLimit(60)
	d.turn()
	want(t, "pools told of the limit that holds", len(d.order), 0)
}

// TestPoolsAsTheDirectory: whatever pools list, with words of the directory that wait for any time, pools end by the
// shares that the directory has, keep nothing of nodes that they have alone, and are told only of what they list.
func TestPoolsAsTheDirectory(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	d := newDesk(t, 40)
	var pools []*hand
	for i := range 5 {
		pools = append(pools, d.pool(t, fmt.Sprint(i), float64(1+i), i == 4))
	}
	for range 300 {
		for range 1 + rng.IntN(6) {
			h := pools[rng.IntN(len(pools))]
			switch rng.IntN(4) {
			case 0:
				d.turn()
			case 1:
				h.rush()
			default:
				phases := make([]string, 6)
				for k := range phases {
					phases[k] = []string{"", "up", "up", "draining"}[rng.IntN(4)]
				}
				h.lists(phases...)
			}
		}
		d.turn()
		for _, h := range pools {
			h.rush()
		}
		for k := range 6 {
			var total float64
			n, drains := 0, false
			for _, h := range pools {
				if p := h.node(k); p.name != "" {
					n, total, drains = n+1, total+h.shares.weight, drains || p.listed == balancer.Draining
				}
			}
			for i, h := range pools {
				p := h.node(k)
				if p.name == "" {
					continue
				}
				if diff := p.share.Fraction - h.shares.weight/total; diff > 1e-9 || diff < -1e-9 {
					t.Fatalf("pool %d, node %d: part %v, want %v", i, k, p.share.Fraction, h.shares.weight/total)
				}
				state := p.listed
				if drains && !h.shares.own {
					state = balancer.Draining
				}
				if p.state != state {
					t.Fatalf("pool %d, node %d: state %v, want %v", i, k, p.state, state)
				}
				if _, exception := h.shares.shared[p.address]; exception != (n > 1) || len(h.shares.waiting) > 0 {
					t.Fatalf("pool %d, node %d, listed by %d: kept as shared: %v; %d wait", i, k, n, exception, len(h.shares.waiting))
				}
			}
		}
	}
}

// TestStartIsNotQuadratic: pools with nodes of their own get one word each, that their claim is in, and a drain in one of
// their lists costs one word to that pool and none to the others.
func TestStartIsNotQuadratic(t *testing.T) {
	d := newDesk(t, 40)
	var ties []*sharing
	words := 0
	claim := func(s *sharing, i int, drains bool) { s.claim(map[string]bool{fmt.Sprint(i): drains}) }
	for i := range 490 {
		s := d.join(1, false, func(event) { words++ })
		claim(s, i, false)
		d.turn()
		ties = append(ties, s)
	}
	want(t, "words at the start", words, 490)
	words = 0
	claim(ties[7], 7, true)
	d.turn()
	want(t, "words at a drain", words, 1)
}

// BenchmarkDirectory claims 18,000 nodes in 490 pools, each listed by one, and then drains one of them. It shows what the
// directory and the pools' ties keep for a node.
func BenchmarkDirectory(b *testing.B) {
	const pools, nodes = 490, 18000
	addresses := make([][]string, pools)
	for i := range nodes {
		addresses[i%pools] = append(addresses[i%pools], fmt.Sprintf("10.%d.%d.7:8080", i/250, i%250))
	}
	claim := func(s *sharing, pool int, drains bool) {
		m := make(map[string]bool, len(addresses[pool]))
		for k, a := range addresses[pool] {
			m[a] = drains && k == 0
		}
		s.claim(m)
	}
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	start := func() (*EndpointRegistry, *directory, []*sharing) {
		d, state := &EndpointRegistry{ctx: b.Context(), ready: make(chan struct{}, 1)}, newDirectory(40)
		ties := make([]*sharing, pools)
		for i := range ties {
			var s *sharing
			s = d.join(1, false, func(e event) { s.take(e.(sharesTold), func(string) {}) })
			claim(s, i, false)
			ties[i] = s
		}
		state.turn(d.take())
		return d, state, ties
	}
	b.Run("start", func(b *testing.B) {
		before := heap()
		d, state, ties := start()
		kept := float64(heap()-before) / nodes
		runtime.KeepAlive(d)
		runtime.KeepAlive(state)
		runtime.KeepAlive(ties)
		for b.Loop() {
			start()
		}
		b.ReportMetric(kept, "B/node")
	})
	b.Run("drain", func(b *testing.B) {
		d, state, ties := start()
		for i := 0; b.Loop(); i++ {
			claim(ties[7], 7, i%2 == 0)
			state.turn(d.take())
		}
	})
}
