package sharedlimit

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
)

// notifiedPools is an Allocator with its pools, and the allotments of which each pool was notified.
type notifiedPools struct {
	*Allocator
	limit int
	pools map[string]*Pool
	known map[*Pool]map[string]Allotment // by address; a missing endpoint is exclusive to the pool
}

func newNotifiedPools(connectionLimit int) *notifiedPools {
	return &notifiedPools{
		Allocator: NewAllocator(connectionLimit),
		limit:     connectionLimit,
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

// keepListed removes from a map the addresses that are not listed.
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

// deliver notifies pools of changes, and returns the number of changes.
func (n *notifiedPools) deliver(changes map[*Pool][]Change) (count int) {
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

// notify notifies pools of all changes since the last call, and returns the number of changes.
func (n *notifiedPools) notify() int {
	cuts, rest := n.Changes()
	return n.deliver(cuts) + n.deliver(rest)
}

// allotments returns the allotment that a pool knows for each endpoint that it lists.
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

// oracle is a reference implementation, which computes each allotment anew from all claims.
type oracle struct {
	connections int
	claims      map[string]Pool
}

func (o oracle) allotments(name string) map[string]Allotment {
	own := o.claims[name]
	allotments := make(map[string]Allotment, len(own.endpoints))
	for address := range own.endpoints {
		var total float64
		draining := false
		for _, claim := range o.claims {
			if drains, ok := claim.endpoints[address]; ok {
				total += claim.weight
				draining = draining || drains
			}
		}
		fraction := own.weight / total
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
		{"stops draining", before, Allotment{Fraction: 0.5, Connections: 20, Draining: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.now.reduces(test.before); got != test.want {
				t.Errorf("%+v after %+v: %v, want %v", test.now, test.before, got, test.want)
			}
		})
	}
}

// randomWalk changes pools at random and compares their allotments with the oracle's.
type randomWalk struct {
	*notifiedPools
	rng    *rand.Rand
	oracle oracle
	// usable has, by pool, the endpoints of which the pool was notified since it claimed them. It may not use
	// others yet.
	usable map[string]map[string]bool
}

// change removes a pool, changes the limit or makes a claim.
func (w *randomWalk) change() {
	name := fmt.Sprint(w.rng.IntN(8))
	switch w.rng.IntN(8) {
	case 0, 1:
		w.leave(name)
		delete(w.oracle.claims, name)
		delete(w.usable, name)
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
		keepListed(w.usable[name], endpoints)
	}
}

// checkSums fails the test if the allotments that pools know exceed the limits of an endpoint.
func (w *randomWalk) checkSums(t *testing.T, when string, limit int) {
	t.Helper()
	fractions, connections := map[string]float64{}, map[string]int{}
	for name := range w.pools {
		for address, allotment := range w.allotments(name) {
			if _, ok := w.usable[name][address]; ok {
				fractions[address] += allotment.Fraction
				connections[address] += allotment.Connections
			}
		}
	}
	for address, sum := range fractions {
		if sum > 1+1e-9 || connections[address] > limit {
			t.Fatalf("%s, endpoint %s: fractions %v, connections %d of %d",
				when, address, sum, connections[address], limit)
		}
	}
}

// checkOracle fails the test if an allotment that a pool knows differs from the oracle's.
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

// equalAllotments tolerates the rounding errors of weights that were added in another order.
func equalAllotments(a, b Allotment) bool {
	return math.Abs(a.Fraction-b.Fraction) <= 1e-12 && a.Connections == b.Connections && a.Draining == b.Draining
}

// TestRandomClaimsMatchOracle adds, changes and removes pools at random, several at a time between notifications. After
// each notification the allotments must be those of the oracle. Fractions must not exceed 1 nor connections the limit,
// also while pools have received all cuts and only some have received the rest. Without a change there must be no
// notification.
func TestRandomClaimsMatchOracle(t *testing.T) {
	walk := &randomWalk{
		notifiedPools: newNotifiedPools(50),
		rng:           rand.New(rand.NewPCG(3, 3)),
		oracle:        oracle{50, map[string]Pool{}},
		usable:        map[string]map[string]bool{},
	}
	for range 5000 {
		before := walk.limit
		for range 1 + walk.rng.IntN(4) {
			walk.change()
		}
		cuts, rest := walk.Changes()
		walk.deliver(cuts)
		for name, pool := range walk.pools {
			walk.deliver(map[*Pool][]Change{pool: rest[pool]})
			walk.usable[name] = maps.Clone(pool.endpoints)
			// A pool that gets an endpoint exclusively is notified of a lower limit with the rest. No other
			// pool uses the endpoint.
			walk.checkSums(t, "during notification", max(before, walk.limit))
		}
		walk.checkSums(t, "after notification", walk.limit)
		walk.checkOracle(t)
		if n := walk.notify(); n > 0 {
			t.Fatalf("%d changes without a claim or a new limit", n)
		}
		for address, usages := range walk.shared {
			if len(usages) < 2 {
				t.Fatalf("endpoint %s is shared by %d pools", address, len(usages))
			}
		}
	}
}

// TestExclusiveEndpointsCauseNoNotification: claims of exclusive endpoints cause no notification, and a change of an
// endpoint that two pools list causes one to each.
func TestExclusiveEndpointsCauseNoNotification(t *testing.T) {
	pools := newNotifiedPools(50)
	for i := range 100 {
		endpoints := map[string]bool{}
		for k := range 20 {
			endpoints[fmt.Sprint(i, "-", k)] = k == 7
		}
		pools.claim(fmt.Sprint(i), 1, endpoints)
	}
	want := func(step string, want int) {
		t.Helper()
		if got := pools.notify(); got != want {
			t.Errorf("%s: %d changes, want %d", step, got, want)
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
