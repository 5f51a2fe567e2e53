package sharedlimit

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
)

// notifiedPools is an Allocator with the pools that it notifies, and what each knows by the changes it was notified of.
type notifiedPools struct {
	*Allocator
	limit int
	pools map[string]*Pool
	known map[*Pool]map[string]Allotment // by address; an endpoint that is missing is exclusively the pool's
}

func newNotifiedPools(connections int) *notifiedPools {
	return &notifiedPools{
		Allocator: NewAllocator(connections),
		limit:     connections,
		pools:     map[string]*Pool{},
		known:     map[*Pool]map[string]Allotment{},
	}
}

func (n *notifiedPools) claim(name string, weight float64, endpoints map[string]bool) {
	pool := n.pools[name]
	if pool == nil {
		pool = &Pool{}
		n.pools[name], n.known[pool] = pool, map[string]Allotment{}
	}
	keepListed(n.known[pool], endpoints)
	n.Claim(pool, weight, endpoints)
}

// keepListed removes the addresses from a map that a list does not have.
func keepListed[V any](byAddress map[string]V, listed map[string]bool) {
	maps.DeleteFunc(byAddress, func(address string, _ V) bool {
		_, ok := listed[address]
		return !ok
	})
}

func (n *notifiedPools) leave(name string) {
	if pool := n.pools[name]; pool != nil {
		n.Remove(pool)
		delete(n.pools, name)
		delete(n.known, pool)
	}
}

// note lets pools know of changes, and returns how many there were.
func (n *notifiedPools) note(changes map[*Pool][]Change) (count int) {
	for pool, list := range changes {
		count += len(list)
		for _, change := range list {
			if change.Exclusive {
				delete(n.known[pool], change.Address)
			} else {
				n.known[pool][change.Address] = change.Allotment
			}
		}
	}
	return count
}

// notify lets pools know of all changes, and returns how many there were.
func (n *notifiedPools) notify() int {
	cuts, rest := n.Changes()
	return n.note(cuts) + n.note(rest)
}

// allotments is what a pool knows of each endpoint that it lists.
func (n *notifiedPools) allotments(name string) map[string]Allotment {
	allotments := map[string]Allotment{}
	pool := n.pools[name]
	if pool == nil {
		return allotments
	}
	for address, draining := range pool.endpoints {
		allotment, ok := n.known[pool][address]
		if !ok {
			allotment = Allotment{1, n.limit, draining}
		}
		allotments[address] = allotment
	}
	return allotments
}

// oracle computes allotments the straightforward way: from every claim, for every endpoint, each time.
type oracle struct {
	connections int
	claims      map[string]Pool
}

func (o oracle) allotments(name string) map[string]Allotment {
	mine := o.claims[name]
	allotments := make(map[string]Allotment, len(mine.endpoints))
	for address := range mine.endpoints {
		var total float64
		draining := false
		for _, claim := range o.claims {
			if drains, ok := claim.endpoints[address]; ok {
				total += claim.weight
				draining = draining || drains
			}
		}
		fraction := mine.weight / total
		allotments[address] = Allotment{fraction, max(1, int(float64(o.connections)*fraction+1e-9)), draining}
	}
	return allotments
}

func TestAllotmentsByWeight(t *testing.T) {
	pools := newNotifiedPools(40)
	want := func(name string, want map[string]Allotment) {
		t.Helper()
		if got := pools.allotments(name); !maps.Equal(got, want) {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}

	pools.claim("checkin", 3, map[string]bool{"a": false, "b": false})
	pools.claim("maps", 1, map[string]bool{"b": true})
	pools.notify()
	want("checkin", map[string]Allotment{"a": {1, 40, false}, "b": {0.75, 30, true}})
	want("maps", map[string]Allotment{"b": {0.25, 10, true}})

	pools.leave("maps")
	pools.notify()
	want("checkin", map[string]Allotment{"a": {1, 40, false}, "b": {1, 40, false}})
}

func TestReduces(t *testing.T) {
	before := Allotment{Fraction: 0.5, Connections: 20}
	for _, test := range []struct {
		name   string
		now    Allotment
		before Allotment
		want   bool
	}{
		{"nothing differs", before, before, false},
		{"a smaller fraction, more connections", Allotment{Fraction: 0.4, Connections: 30}, before, true},
		{"a larger fraction, fewer connections", Allotment{Fraction: 0.6, Connections: 10}, before, true},
		{"more of both", Allotment{Fraction: 0.6, Connections: 30}, before, false},
		{"begins to drain", Allotment{Fraction: 0.5, Connections: 20, Draining: true}, before, true},
		{"ends to drain", before, Allotment{Fraction: 0.5, Connections: 20, Draining: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.now.reduces(test.before); got != test.want {
				t.Errorf("%+v after %+v: %v, want %v", test.now, test.before, got, test.want)
			}
		})
	}
}

// randomWalk changes pools at random and compares what they know with the oracle.
type randomWalk struct {
	*notifiedPools
	rng    *rand.Rand
	oracle oracle
	// acked has the endpoints of which a pool was notified since it claimed them. The others it may not use yet.
	acked map[string]map[string]bool
}

// change lets a pool leave, changes the limit or makes a claim.
func (w *randomWalk) change() {
	name := fmt.Sprint(w.rng.IntN(8))
	switch w.rng.IntN(8) {
	case 0, 1:
		w.leave(name)
		delete(w.oracle.claims, name)
		delete(w.acked, name)
	case 2:
		w.limit = 20 + w.rng.IntN(40)
		w.oracle.connections = w.limit
		w.SetConnectionLimit(w.limit)
	default:
		endpoints := map[string]bool{}
		for range w.rng.IntN(6) {
			endpoints[fmt.Sprint(w.rng.IntN(10))] = w.rng.IntN(3) == 0
		}
		weight := float64(1 + w.rng.IntN(3))
		w.claim(name, weight, endpoints)
		w.oracle.claims[name] = Pool{weight, endpoints}
		keepListed(w.acked[name], endpoints)
	}
}

// checkSums fails the test if pools may use more than a whole endpoint by what they know.
func (w *randomWalk) checkSums(t *testing.T, when string, limit int) {
	t.Helper()
	fractions, connections := map[string]float64{}, map[string]int{}
	for name := range w.pools {
		for address, allotment := range w.allotments(name) {
			if _, ok := w.acked[name][address]; ok {
				fractions[address] += allotment.Fraction
				connections[address] += allotment.Connections
			}
		}
	}
	for address, sum := range fractions {
		if sum > 1+1e-9 || connections[address] > limit {
			t.Fatalf("%s, endpoint %s: fractions %v, connections %d of %d", when, address, sum, connections[address], limit)
		}
	}
}

// checkOracle fails the test if a pool knows anything else than what the oracle says.
func (w *randomWalk) checkOracle(t *testing.T) {
	t.Helper()
	for name := range w.oracle.claims {
		got, want := w.allotments(name), w.oracle.allotments(name)
		if len(got) != len(want) {
			t.Fatalf("pool %s: %d endpoints, want %d", name, len(got), len(want))
		}
		for address, allotment := range want {
			if !equalAllotments(got[address], allotment) {
				t.Fatalf("pool %s, endpoint %s: %+v, want %+v", name, address, got[address], allotment)
			}
		}
	}
}

// equalAllotments leaves room for sums of weights in another order.
func equalAllotments(a, b Allotment) bool {
	return math.Abs(a.Fraction-b.Fraction) <= 1e-12 && a.Connections == b.Connections && a.Draining == b.Draining
}

// TestRandomClaimsMatchOracle: pools come and go with any lists, weights and limits, some of them between two
// notifications. What pools know by the changes is then what the oracle computes. Fractions add up to one endpoint and
// connections to its limit, also when all cuts and only some of the rest have arrived. Where nothing differs there is
// no notification.
func TestRandomClaimsMatchOracle(t *testing.T) {
	walk := &randomWalk{
		notifiedPools: newNotifiedPools(50),
		rng:           rand.New(rand.NewPCG(3, 3)),
		oracle:        oracle{50, map[string]Pool{}},
		acked:         map[string]map[string]bool{},
	}
	for range 5000 {
		before := walk.limit
		for range 1 + walk.rng.IntN(4) {
			walk.change()
		}
		cuts, rest := walk.Changes()
		walk.note(cuts)
		for name, pool := range walk.pools {
			walk.note(map[*Pool][]Change{pool: rest[pool]})
			walk.acked[name] = maps.Clone(pool.endpoints)
			// A pool that gets an endpoint exclusively learns of a lower limit with the rest: nobody else gains by it.
			walk.checkSums(t, "during notification", max(before, walk.limit))
		}
		walk.checkSums(t, "after notification", walk.limit)
		walk.checkOracle(t)
		if n := walk.notify(); n > 0 {
			t.Fatalf("%d changes where nothing differs", n)
		}
		for address, usages := range walk.shared {
			if len(usages) < 2 {
				t.Fatalf("endpoint %s counts as shared by %d", address, len(usages))
			}
		}
	}
}

// TestExclusiveEndpointsNotifyNobody: pools with endpoints of their own are not notified, whatever they claim; of an
// endpoint that two list these two are, once.
func TestExclusiveEndpointsNotifyNobody(t *testing.T) {
	pools := newNotifiedPools(50)
	for i := range 100 {
		endpoints := map[string]bool{}
		for k := range 20 {
			endpoints[fmt.Sprint(i, "-", k)] = k == 7
		}
		pools.claim(fmt.Sprint(i), 1, endpoints)
	}
	want := func(what string, want int) {
		t.Helper()
		if got := pools.notify(); got != want {
			t.Errorf("%s: %d changes, want %d", what, got, want)
		}
	}
	want("endpoints that one pool lists", 0)
	pools.claim("0", 1, map[string]bool{"0-0": false, "1-0": false})
	want("an endpoint that two list", 2)
	pools.claim("0", 1, map[string]bool{"0-0": false, "1-0": true})
	want("a drain of an endpoint that two list", 2)
	pools.leave("0")
	want("one of the two has left", 1)
}
