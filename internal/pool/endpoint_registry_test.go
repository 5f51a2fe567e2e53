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

// testConnectionLimit is the maximum number of connections to an endpoint over all pools of a manualRegistry.
const testConnectionLimit = 40

// exclusiveAllotment is the allotment of an endpoint that no other pool lists.
var exclusiveAllotment = sharedlimit.Allotment{Fraction: 1, Connections: testConnectionLimit}

// manualRegistry is a registry without a goroutine, whose commands a test processes.
type manualRegistry struct {
	*EndpointRegistry
	state    *registryState
	notified []string // names of the notified pools, in order
}

func newManualRegistry(t testing.TB) *manualRegistry {
	return &manualRegistry{
		EndpointRegistry: &EndpointRegistry{ctx: t.Context(), ready: make(chan struct{}, 1)},
		state:            newRegistryState(testConnectionLimit),
	}
}

// processCommands executes the submitted commands and notifies the pools.
func (r *manualRegistry) processCommands() { r.state.process(r.takeCommands()) }

// newLoop returns a registered loop whose events a test handles.
func (r *manualRegistry) newLoop(t *testing.T, name string, weight float64, ownDrainsOnly bool) *manualLoop {
	h := newManualLoop(t, testSpec())
	h.registration = r.join(weight, ownDrainsOnly, func(e event) {
		r.notified = append(r.notified, name)
		h.enqueueUrgent(e)
	})
	return h
}

// updatePhases sets the endpoint list of a pool. The endpoint with index i has the phase phases[i]; with an empty phase
// it is not listed.
func (h *manualLoop) updatePhases(phases ...string) {
	h.source.revision++
	var members []discovery.Member
	for i, phase := range phases {
		if phase == "" {
			continue
		}
		members = append(members, discovery.Member{
			ID:       fmt.Sprint("n", i),
			HostPort: fmt.Sprint("127.0.0.1:", i+1),
			Phase:    phase,
			Size:     1,
		})
	}
	h.updateEndpoints(h.source.revision, members...)
}

// endpointAt returns the endpoint with an index; one without a name if it is not listed.
func (h *manualLoop) endpointAt(i int) *endpoint {
	if found := h.endpointByName(fmt.Sprint("n", i)); found != nil {
		return found
	}
	return &endpoint{state: balancer.Removed}
}

// TestNothingIsSentBeforeTheRegistryAnswers: a pool uses an endpoint only after the registry has accepted its claim.
// Other pools that list the endpoint get their smaller allotments first.
func TestNothingIsSentBeforeTheRegistryAnswers(t *testing.T) {
	registry := newManualRegistry(t)
	a, b := registry.newLoop(t, "a", 3, false), registry.newLoop(t, "b", 1, false)
	a.updatePhases("up", "up")
	want(t, "a, before the claim is accepted", a.endpointAt(0).state, balancer.Draining)
	registry.processCommands()
	a.applyUrgent()
	want(t, "a", a.endpointAt(0).state, balancer.Active)
	want(t, "a, alone", a.endpointAt(0).allotment, exclusiveAllotment)
	for range 20 { // a notification order that followed map iteration would vary
		registry.notified = nil
		b.updatePhases("up")
		a.applyUrgent()
		want(t, "b, before the claim is accepted", b.endpointAt(0).state, balancer.Draining)
		registry.processCommands()
		want(t, "order of notifications", fmt.Sprint(registry.notified), "[a b]")
		b.applyUrgent()
		quarter := sharedlimit.Allotment{Fraction: 0.25, Connections: 10}
		want(t, "b, before a has handled its notification", b.endpointAt(0).allotment, quarter)
		a.applyUrgent()
		want(t, "a", a.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 0.75, Connections: 30})
		want(t, "a, as the balancer sees it", a.endpointAt(0).upstream.WarmUpShare, 0.75)
		want(t, "a, the other endpoint", a.endpointAt(1).allotment, exclusiveAllotment)
		b.updatePhases()
		registry.processCommands()
		a.applyUrgent()
		b.applyUrgent()
		want(t, "a, alone again", a.endpointAt(0).allotment, exclusiveAllotment)
	}
}

// TestDrainOfOnePoolCountsAtOthers: an endpoint that drains in the list of one pool is draining for other pools as
// well, whether they list it before or after the drain, until the drain ends. A pool with ownDrainsOnly ignores the
// drain.
func TestDrainOfOnePoolCountsAtOthers(t *testing.T) {
	for _, late := range []bool{false, true} {
		registry := newManualRegistry(t)
		a, b := registry.newLoop(t, "a", 1, false), registry.newLoop(t, "b", 1, false)
		own := registry.newLoop(t, "own", 1, true)
		all := func() {
			registry.processCommands()
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
		want(t, "b, the other endpoint", b.endpointAt(1).state, balancer.Active)
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

// TestEndpointClaimedAgain: a pool drops an endpoint and lists it again while a notification about its first claim is
// on the way. The notification must not be applied to the second claim.
func TestEndpointClaimedAgain(t *testing.T) {
	registry := newManualRegistry(t)
	a, b := registry.newLoop(t, "a", 1, false), registry.newLoop(t, "b", 3, false)
	a.updatePhases("up")
	registry.processCommands() // a does not handle the notification that its claim is accepted
	a.updatePhases()
	a.updatePhases("up")
	a.applyUrgent()
	want(t, "a, after the notification that its first claim is accepted", a.endpointAt(0).state, balancer.Draining)
	b.updatePhases("up")
	registry.processCommands()
	a.applyUrgent()
	want(t, "a", a.endpointAt(0).allotment.Connections, 10)
	b.registration.setWeight(7)
	registry.processCommands() // a does not handle the notification that its fraction is an eighth
	a.updatePhases()
	a.updatePhases("up")
	a.applyUrgent()
	want(t, "a, after a notification about an earlier claim", a.endpointAt(0).state, balancer.Draining)
	b.registration.remove()
	registry.processCommands()
	a.applyUrgent()
	want(t, "a, after its last claim is accepted", a.endpointAt(0).state, balancer.Active)
	want(t, "a", a.endpointAt(0).allotment, exclusiveAllotment)
	want(t, "exceptions that a stores", len(a.registration.allotments)+len(a.registration.unconfirmed), 0)
}

// TestPoolOfTheSameName: after a reload a pool ends only when its successor of the same name has claimed the same
// endpoints. A claim that it makes after its end has no effect.
func TestPoolOfTheSameName(t *testing.T) {
	registry := newManualRegistry(t)
	old, other := registry.newLoop(t, "x", 1, false), registry.newLoop(t, "y", 1, false)
	old.updatePhases("up")
	other.updatePhases("up")
	registry.processCommands()
	next := registry.newLoop(t, "x", 1, false)
	next.updatePhases("up")
	old.registration.remove()
	old.updatePhases("draining") // a list that it handles after its end
	registry.processCommands()
	next.applyUrgent()
	other.applyUrgent()
	want(t, "the successor", next.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 0.5, Connections: 20})
	want(t, "the other", other.endpointAt(0).allotment, sharedlimit.Allotment{Fraction: 0.5, Connections: 20})
}

// TestConnectionLimitReachesAllPools: a new connection limit applies to all pools, also to endpoints that only one pool
// lists.
func TestConnectionLimitReachesAllPools(t *testing.T) {
	registry := newManualRegistry(t)
	a, b := registry.newLoop(t, "a", 1, false), registry.newLoop(t, "b", 1, false)
	a.updatePhases("up", "up")
	b.updatePhases("up")
	for _, limit := range []int{40, 20, 60} {
		registry.SetConnectionLimit(limit)
		registry.processCommands()
		a.applyUrgent()
		b.applyUrgent()
		want(t, "shared, a", a.endpointAt(0).upstream.MaxInFlight, limit/2)
		want(t, "shared, b", b.endpointAt(0).upstream.MaxInFlight, limit/2)
		want(t, "alone", a.endpointAt(1).upstream.MaxInFlight, limit)
	}
	registry.notified = nil
	registry.SetConnectionLimit(60)
	registry.processCommands()
	want(t, "pools notified of an unchanged limit", len(registry.notified), 0)
}

// TestPoolsAgreeWithRegistry: with random lists and with notifications that are handled at random times, all pools end
// with the registry's allotments, and store exceptions only for endpoints that other pools list too.
func TestPoolsAgreeWithRegistry(t *testing.T) {
	const endpoints = 6
	rng := rand.New(rand.NewPCG(5, 5))
	registry := newManualRegistry(t)
	var pools []*manualLoop
	for i := range 5 {
		pools = append(pools, registry.newLoop(t, fmt.Sprint(i), float64(1+i), i == 4))
	}
	for range 300 {
		for range 1 + rng.IntN(6) {
			randomRegistryStep(rng, registry, pools[rng.IntN(len(pools))], endpoints)
		}
		registry.processCommands()
		for _, pool := range pools {
			pool.applyUrgent()
		}
		for i := range endpoints {
			checkSharedEndpoint(t, pools, i)
		}
	}
}

// randomRegistryStep makes the registry or a pool handle what is queued, or gives the pool a random list.
func randomRegistryStep(rng *rand.Rand, registry *manualRegistry, pool *manualLoop, endpoints int) {
	switch rng.IntN(4) {
	case 0:
		registry.processCommands()
	case 1:
		pool.applyUrgent()
	default:
		phases := make([]string, endpoints)
		for i := range phases {
			phases[i] = []string{"", "up", "up", "draining"}[rng.IntN(4)]
		}
		pool.updatePhases(phases...)
	}
}

// checkSharedEndpoint fails unless all pools that list an endpoint have the right state and their fraction of it.
func checkSharedEndpoint(t *testing.T, pools []*manualLoop, index int) {
	t.Helper()
	var total float64
	listedBy, drains := 0, false
	for _, pool := range pools {
		if found := pool.endpointAt(index); found.name != "" {
			listedBy++
			total += pool.registration.weight
			drains = drains || found.listedState == balancer.Draining
		}
	}
	for i, pool := range pools {
		found, registration := pool.endpointAt(index), pool.registration
		if found.name == "" {
			continue
		}
		part := registration.weight / total
		if diff := found.allotment.Fraction - part; diff > 1e-9 || diff < -1e-9 {
			t.Fatalf("pool %d, endpoint %d: fraction %v, want %v", i, index, found.allotment.Fraction, part)
		}
		state := found.listedState
		if drains && !registration.ownDrainsOnly {
			state = balancer.Draining
		}
		if found.state != state {
			t.Fatalf("pool %d, endpoint %d: state %v, want %v", i, index, found.state, state)
		}
		if _, held := registration.allotments[found.address]; held != (listedBy > 1) {
			t.Fatalf("pool %d, endpoint %d, listed by %d: stored as shared: %v", i, index, listedBy, held)
		}
		if waiting := len(registration.unconfirmed); waiting > 0 {
			t.Fatalf("pool %d, endpoint %d: %d endpoints are not confirmed", i, index, waiting)
		}
	}
}

// TestNotificationCountIsLinear: if no endpoint is shared, each pool gets one notification that its claim is accepted,
// and a drain notifies only the pool that lists the endpoint. Notifying all pools of every claim would make the start
// quadratic in the number of pools.
func TestNotificationCountIsLinear(t *testing.T) {
	registry := newManualRegistry(t)
	var registrations []*registration
	notifications := 0
	claim := func(r *registration, i int, drains bool) { r.claim(map[string]bool{fmt.Sprint(i): drains}) }
	for i := range 490 {
		joined := registry.join(1, false, func(event) { notifications++ })
		claim(joined, i, false)
		registry.processCommands()
		registrations = append(registrations, joined)
	}
	want(t, "notifications at the start", notifications, 490)
	notifications = 0
	claim(registrations[7], 7, true)
	registry.processCommands()
	want(t, "notifications at a drain", notifications, 1)
}

// registryBenchmark is a registry with 490 pools that list 18,000 endpoints, each listed by one pool.
type registryBenchmark struct {
	registry      *manualRegistry
	registrations []*registration
	addresses     [][]string // by pool
}

const benchmarkPools, benchmarkEndpoints = 490, 18000

func benchmarkAddresses() [][]string {
	addresses := make([][]string, benchmarkPools)
	for i := range benchmarkEndpoints {
		pool := i % benchmarkPools
		addresses[pool] = append(addresses[pool], fmt.Sprintf("10.%d.%d.7:8080", i/250, i%250))
	}
	return addresses
}

func startRegistryBenchmark(b *testing.B, addresses [][]string) *registryBenchmark {
	r := &registryBenchmark{
		registry:      newManualRegistry(b),
		registrations: make([]*registration, benchmarkPools),
		addresses:     addresses,
	}
	for pool := range r.registrations {
		var joined *registration
		joined = r.registry.join(1, false, func(e event) {
			joined.applyChanges(e.(allotmentsChanged), func(string) {})
		})
		r.registrations[pool] = joined
		r.claim(pool, false)
	}
	r.registry.processCommands()
	return r
}

// claim claims the endpoints of a pool. firstDrains tells whether the first one is draining.
func (r *registryBenchmark) claim(pool int, firstDrains bool) {
	endpoints := make(map[string]bool, len(r.addresses[pool]))
	for i, address := range r.addresses[pool] {
		endpoints[address] = firstDrains && i == 0
	}
	r.registrations[pool].claim(endpoints)
}

func heapSize() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkEndpointRegistry claims 18,000 endpoints for 490 pools, each listed by one pool, and then drains one of
// them. It reports the memory of the registry and the registrations per endpoint.
func BenchmarkEndpointRegistry(b *testing.B) {
	addresses := benchmarkAddresses()
	b.Run("start", func(b *testing.B) {
		before := heapSize()
		started := startRegistryBenchmark(b, addresses)
		held := float64(heapSize()-before) / benchmarkEndpoints
		runtime.KeepAlive(started)
		for b.Loop() {
			startRegistryBenchmark(b, addresses)
		}
		b.ReportMetric(held, "B/node")
	})
	b.Run("drain", func(b *testing.B) {
		started := startRegistryBenchmark(b, addresses)
		for i := 0; b.Loop(); i++ {
			started.claim(7, i%2 == 0)
			started.registry.processCommands()
		}
	})
}
