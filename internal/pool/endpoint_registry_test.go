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

// manualRegistry is a directory that a test turns by hand.
type manualRegistry struct {
	*EndpointRegistry
	state    *registryState
	notified []string // of the pools that were told something
}

func newManualRegistry(t *testing.T, connections int) *manualRegistry {
	return &manualRegistry{EndpointRegistry: &EndpointRegistry{ctx: t.Context(), ready: make(chan struct{}, 1)}, state: newRegistryState(connections)}
}

func (d *manualRegistry) processCommands() { d.state.process(d.takeCommands()) }

// newLoop is a loop registered at the registry, whose events a test handles by hand.
func (d *manualRegistry) newLoop(t *testing.T, name string, weight float64, own bool) *manualLoop {
	h := newManualLoop(t, testSpec())
	h.registration = d.join(weight, own, func(e event) {
		d.notified = append(d.notified, name)
		h.enqueueUrgent(e)
	})
	return h
}

// updatePhases gives a pool a list of one node after another: the phase of each.
func (h *manualLoop) updatePhases(phases ...string) {
	h.source.revision++
	var members []discovery.Member
	for i, phase := range phases {
		if phase != "" {
			members = append(members, discovery.Member{ID: fmt.Sprint("n", i), HostPort: fmt.Sprint("127.0.0.1:", i+1), Phase: phase, Size: 1})
		}
	}
	h.updateEndpoints(h.source.revision, members...)
}

// endpointAt is what the loop knows of a node by its place in the lists.
func (h *manualLoop) endpointAt(i int) *endpoint {
	if p := h.endpointByName(fmt.Sprint("n", i)); p != nil {
		return p
	}
	return &endpoint{state: balancer.Removed}
}

// TestNothingBeforeTheDirectoryAnswers: a pool uses a node once the directory has its claim, and the pools that list
// the node too have their smaller shares before that.
func TestNothingBeforeTheDirectoryAnswers(t *testing.T) {
	d := newManualRegistry(t, 40)
	a, b := d.newLoop(t, "a", 3, false), d.newLoop(t, "b", 1, false)
	a.updatePhases("up", "up")
	want(t, "a, before the answer", a.endpointAt(0).state, balancer.Draining)
	d.processCommands()
	a.applyUrgent()
	want(t, "a", a.endpointAt(0).state, balancer.Active)
	want(t, "a alone", a.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 1, Connections: 40})
	for range 20 { // by a map's order the other way would come up
		d.notified = nil
		b.updatePhases("up")
		a.applyUrgent()
		want(t, "b, before the answer", b.endpointAt(0).state, balancer.Draining)
		d.processCommands()
		want(t, "order", fmt.Sprint(d.notified), "[a b]")
		b.applyUrgent()
		want(t, "b, while a has not looked", b.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 0.25, Connections: 10})
		a.applyUrgent()
		want(t, "a", a.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 0.75, Connections: 30})
		want(t, "a, at the module", a.endpointAt(0).upstream.WarmUpShare, 0.75)
		want(t, "a, the other node", a.endpointAt(1).allotment, sharedlimit.Allotment{Fraction: 1, Connections: 40})
		b.updatePhases()
		d.processCommands()
		a.applyUrgent()
		b.applyUrgent()
		want(t, "a, alone again", a.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 1, Connections: 40})
	}
}

// TestDrainOfOneOfTwo: a drain by the list of one pool counts at the other, whether it was there first or comes after
// it, unless it goes by its own list; its end does too.
func TestDrainOfOneOfTwo(t *testing.T) {
	for _, late := range []bool{false, true} {
		d := newManualRegistry(t, 40)
		a, b, own := d.newLoop(t, "a", 1, false), d.newLoop(t, "b", 1, false), d.newLoop(t, "own", 1, true)
		all := func() {
			d.processCommands()
			a.applyUrgent()
			b.applyUrgent()
			own.applyUrgent()
		}
		if !late {
			b.updatePhases("up", "up")
			own.updatePhases("up", "up")
			all()
			a.updatePhases("up", "up")
			all()
			want(t, "b before the drain", b.endpointAt(0).state, balancer.Active)
		}
		a.updatePhases("draining", "up")
		want(t, "a at once", a.endpointAt(0).state, balancer.Draining)
		all()
		if late {
			b.updatePhases("up", "up")
			own.updatePhases("up", "up")
			all()
		}
		want(t, "b", b.endpointAt(0).state, balancer.Draining)
		want(t, "b, the other node", b.endpointAt(1).state, balancer.Active)
		want(t, "own", own.endpointAt(0).state, balancer.Active)
		if late {
			a.updatePhases("up", "up")
		} else {
			a.registration.remove()
		}
		all()
		want(t, "b after the drain", b.endpointAt(0).state, balancer.Active)
	}
}

// TestClaimLeaveClaimAgain: a pool drops a node and lists it again while word of its first use is on the way. That says
// nothing of the second.
func TestClaimLeaveClaimAgain(t *testing.T) {
	d := newManualRegistry(t, 40)
	a, b := d.newLoop(t, "a", 1, false), d.newLoop(t, "b", 3, false)
	a.updatePhases("up")
	d.processCommands() // a is told that its claim is in, and does not look
	a.updatePhases()
	a.updatePhases("up")
	a.applyUrgent()
	want(t, "a, by the word that its first claim is in", a.endpointAt(0).state, balancer.Draining)
	b.updatePhases("up")
	d.processCommands()
	a.applyUrgent()
	want(t, "a", a.endpointAt(0).allotment.Connections, 10)
	b.registration.setWeight(7)
	d.processCommands() // a is told that it has an eighth, and does not look
	a.updatePhases()
	a.updatePhases("up")
	a.applyUrgent()
	want(t, "a, by an answer to its first claim", a.endpointAt(0).state, balancer.Draining)
	b.registration.remove()
	d.processCommands()
	a.applyUrgent()
	want(t, "a, by the answer to its last", a.endpointAt(0).state, balancer.Active)
	want(t, "a", a.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 1, Connections: 40})
	want(t, "what a keeps beside its claim", len(a.registration.allotments)+len(a.registration.unconfirmed), 0)
}

// TestPoolOfTheSameName: a pool that lingers after a reload ends when its successor has claimed its nodes.
func TestPoolOfTheSameName(t *testing.T) {
	d := newManualRegistry(t, 40)
	old, other := d.newLoop(t, "x", 1, false), d.newLoop(t, "y", 1, false)
	old.updatePhases("up")
	other.updatePhases("up")
	d.processCommands()
	next := d.newLoop(t, "x", 1, false)
	next.updatePhases("up")
	old.registration.remove()
	old.updatePhases("draining") // it ends with a list that it had not looked at
	d.processCommands()
	next.applyUrgent()
	other.applyUrgent()
	want(t, "the successor", next.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 0.5, Connections: 20})
	want(t, "the other", other.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 0.5, Connections: 20})
}

// TestLimitReachesAll: pools are told another limit of connections to one node, also for nodes that they have alone.
func TestLimitReachesAll(t *testing.T) {
	d := newManualRegistry(t, 40)
	a, b := d.newLoop(t, "a", 1, false), d.newLoop(t, "b", 1, false)
	a.updatePhases("up", "up")
	b.updatePhases("up")
	for _, limit := range []int{40, 20, 60} {
		d.SetConnectionLimit(limit)
		d.processCommands()
		a.applyUrgent()
		b.applyUrgent()
		want(t, "shared, a", a.endpointAt(0).upstream.MaxInFlight, limit/2)
		want(t, "shared, b", b.endpointAt(0).upstream.MaxInFlight, limit/2)
		want(t, "alone", a.endpointAt(1).upstream.MaxInFlight, limit)
	}
	d.notified = nil
	d.SetConnectionLimit(60)
	d.processCommands()
	want(t, "pools told of the limit that holds", len(d.notified), 0)
}

// TestPoolsAsTheDirectory: whatever pools list, with words of the directory that wait for any time, pools end by the
// shares that the directory has, keep nothing of nodes that they have alone, and are told only of what they list.
func TestPoolsAsTheDirectory(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	d := newManualRegistry(t, 40)
	var pools []*manualLoop
	for i := range 5 {
		pools = append(pools, d.newLoop(t, fmt.Sprint(i), float64(1+i), i == 4))
	}
	for range 300 {
		for range 1 + rng.IntN(6) {
			h := pools[rng.IntN(len(pools))]
			switch rng.IntN(4) {
			case 0:
				d.processCommands()
			case 1:
				h.applyUrgent()
			default:
				phases := make([]string, 6)
				for k := range phases {
					phases[k] = []string{"", "up", "up", "draining"}[rng.IntN(4)]
				}
				h.updatePhases(phases...)
			}
		}
		d.processCommands()
		for _, h := range pools {
			h.applyUrgent()
		}
		for k := range 6 {
			var total float64
			n, drains := 0, false
			for _, h := range pools {
				if p := h.endpointAt(k); p.name != "" {
					n, total, drains = n+1, total+h.registration.weight, drains || p.listedState == balancer.Draining
				}
			}
			for i, h := range pools {
				p := h.endpointAt(k)
				if p.name == "" {
					continue
				}
				if diff := p.allotment.Fraction - h.registration.weight/total; diff > 1e-9 || diff < -1e-9 {
					t.Fatalf("pool %d, node %d: part %v, want %v", i, k, p.allotment.Fraction, h.registration.weight/total)
				}
				state := p.listedState
				if drains && !h.registration.ownDrainsOnly {
					state = balancer.Draining
				}
				if p.state != state {
					t.Fatalf("pool %d, node %d: state %v, want %v", i, k, p.state, state)
				}
				if _, exception := h.registration.allotments[p.address]; exception != (n > 1) || len(h.registration.unconfirmed) > 0 {
					t.Fatalf("pool %d, node %d, listed by %d: kept as shared: %v; %d wait", i, k, n, exception, len(h.registration.unconfirmed))
				}
			}
		}
	}
}

// TestStartIsNotQuadratic: pools with nodes of their own get one word each, that their claim is in, and a drain in one
// of their lists costs one word to that pool and none to the others.
func TestStartIsNotQuadratic(t *testing.T) {
	d := newManualRegistry(t, 40)
	var ties []*registration
	words := 0
	claim := func(s *registration, i int, drains bool) { s.claim(map[string]bool{fmt.Sprint(i): drains}) }
	for i := range 490 {
		s := d.join(1, false, func(event) { words++ })
		claim(s, i, false)
		d.processCommands()
		ties = append(ties, s)
	}
	want(t, "words at the start", words, 490)
	words = 0
	claim(ties[7], 7, true)
	d.processCommands()
	want(t, "words at a drain", words, 1)
}

// BenchmarkDirectory claims 18,000 nodes in 490 pools, each listed by one, and then drains one of them. It shows what
// the directory and the pools' ties keep for a node.
func BenchmarkDirectory(b *testing.B) {
	const pools, nodes = 490, 18000
	addresses := make([][]string, pools)
	for i := range nodes {
		addresses[i%pools] = append(addresses[i%pools], fmt.Sprintf("10.%d.%d.7:8080", i/250, i%250))
	}
	claim := func(s *registration, pool int, drains bool) {
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
	start := func() (*EndpointRegistry, *registryState, []*registration) {
		d, state := &EndpointRegistry{ctx: b.Context(), ready: make(chan struct{}, 1)}, newRegistryState(40)
		ties := make([]*registration, pools)
		for i := range ties {
			var s *registration
			s = d.join(1, false, func(e event) { s.applyChanges(e.(allotmentsChanged), func(string) {}) })
			claim(s, i, false)
			ties[i] = s
		}
		state.process(d.takeCommands())
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
			state.process(d.takeCommands())
		}
	})
}
