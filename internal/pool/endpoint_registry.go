package pool

import (
	"context"
	"sync"

	"olivearch/balancer"
	"olivearch/internal/sharedlimit"
)

// EndpointRegistry tells the pools of a process what each may use of the nodes that several of them list. It runs in a
// goroutine of its own and waits for no pool; no pool waits for it. A pool's claim costs work by its own nodes, and
// messages only to pools that list one of these too and for which something differs.
type EndpointRegistry struct {
	ctx      context.Context
	mu       sync.Mutex
	commands []func(*registryState)
	ready    chan struct{} // holds a word while there are asks
}

// registryState is what the goroutine keeps.
type registryState struct {
	allocator       *sharedlimit.Allocator
	registrants     map[*sharedlimit.Pool]*registrant
	newlyClaimed    map[*sharedlimit.Pool]struct{} // since pools were last told
	connectionLimit int                            // connections to one node over all pools
	limitChanged    bool                           // anew, since pools were last told
}

// registrant is what the directory's goroutine keeps of a pool.
type registrant struct {
	notify      func(event)
	claimSerial uint64 // of the claim that the ledger has
}

// registration is a pool's tie to the directory, as the pool's loop keeps it. A nil one belongs to a pool that shares nothing.
// What it holds beside the claim is what differs from the rule, which is that a node is all the pool's.
type registration struct {
	registry        *EndpointRegistry
	pool            *sharedlimit.Pool // the directory's
	weight          float64
	ownDrainsOnly   bool                             // drains that other pools were told do not count here
	connectionLimit int                              // connections to a node that is all the pool's; 0: not told yet
	claimed         map[string]bool                  // by address; true: drains by the pool's list. The directory reads it too: it never changes
	claimSerial     uint64                           // of that claim
	unconfirmed     map[string]uint64                // nodes for which the directory has not answered, by the claim that has them first
	allotments      map[string]sharedlimit.Allotment // nodes that other pools list too
}

// NewEndpointRegistry starts a directory, for so many connections to one node over all pools.
func NewEndpointRegistry(ctx context.Context, connections int) *EndpointRegistry {
	d := &EndpointRegistry{ctx: ctx, ready: make(chan struct{}, 1)}
	state := newRegistryState(connections)
	go func() {
		for {
			select {
			case <-d.ready:
				state.process(d.takeCommands())
			case <-ctx.Done():
				return
			}
		}
	}()
	return d
}

func newRegistryState(connections int) *registryState {
	return &registryState{allocator: sharedlimit.NewAllocator(connections), registrants: map[*sharedlimit.Pool]*registrant{}, newlyClaimed: map[*sharedlimit.Pool]struct{}{}, connectionLimit: connections}
}

// process answers what was asked.
func (d *registryState) process(asks []func(*registryState)) {
	for _, ask := range asks {
		ask(d)
	}
	d.notifyPools()
}

// notifyPools sends pools what they have not been told: first to all what cuts their use of a node, then the rest, with the word
// that their claims are in. So a pool that is given something comes after those that it is taken from.
func (d *registryState) notifyPools() {
	cuts, rest := d.allocator.Changes()
	for pool, changes := range cuts {
		t := d.registrants[pool]
		t.notify(allotmentsChanged{changes: changes, claimSerial: t.claimSerial})
	}
	told := d.newlyClaimed
	for pool := range rest {
		told[pool] = struct{}{}
	}
	if d.limitChanged {
		for pool := range d.registrants {
			told[pool] = struct{}{}
		}
	}
	for pool := range told {
		if t := d.registrants[pool]; t != nil { // else it has left
			t.notify(allotmentsChanged{changes: rest[pool], claimSerial: t.claimSerial, connectionLimit: d.connectionLimit, claimAccepted: true})
		}
	}
	clear(d.newlyClaimed)
	d.limitChanged = false
}

// submit hands something to the directory's goroutine. It does not wait.
func (d *EndpointRegistry) submit(f func(*registryState)) {
	d.mu.Lock()
	d.commands = append(d.commands, f)
	d.mu.Unlock()
	select {
	case d.ready <- struct{}{}:
	default:
	}
}

func (d *EndpointRegistry) takeCommands() []func(*registryState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	asks := d.commands
	d.commands = nil
	return asks
}

// SetConnectionLimit sets anew how many connections a node takes over all pools.
func (d *EndpointRegistry) SetConnectionLimit(connections int) {
	d.submit(func(s *registryState) {
		if connections != s.connectionLimit {
			s.allocator.SetConnectionLimit(connections)
			s.connectionLimit, s.limitChanged = connections, true
		}
	})
}

// join returns a new pool's tie; a nil directory has none.
func (d *EndpointRegistry) join(weight float64, own bool, hand func(event)) *registration {
	if d == nil {
		return nil
	}
	s := &registration{registry: d, pool: new(sharedlimit.Pool), weight: weight, ownDrainsOnly: own, unconfirmed: map[string]uint64{}, allotments: map[string]sharedlimit.Allotment{}}
	d.submit(func(state *registryState) { state.registrants[s.pool] = &registrant{notify: hand} })
	return s
}

// claim tells the directory which nodes the pool lists, by address; true: the pool's list says that it drains. The map
// must not be changed any more.
func (s *registration) claim(nodes map[string]bool) {
	for node := range s.claimed {
		if _, still := nodes[node]; !still {
			delete(s.unconfirmed, node)
			delete(s.allotments, node)
		}
	}
	s.claimSerial++
	for node := range nodes {
		if _, had := s.claimed[node]; !had {
			s.unconfirmed[node] = s.claimSerial
		}
	}
	s.claimed = nodes
	pool, weight, serial := s.pool, s.weight, s.claimSerial
	s.registry.submit(func(d *registryState) {
		if t := d.registrants[pool]; t != nil { // else it has left
			d.allocator.Claim(pool, weight, nodes)
			t.claimSerial = serial
			d.newlyClaimed[pool] = struct{}{}
		}
	})
}

// setWeight sets the pool's weight on nodes that other pools list too.
func (s *registration) setWeight(weight float64) {
	if weight != s.weight {
		s.weight = weight
		s.claim(s.claimed)
	}
}

// allotment is what the pool may use of a node; false: the directory has not answered for it, and it gets nothing.
func (s *registration) allotment(address string) (sharedlimit.Allotment, bool) {
	if _, waits := s.unconfirmed[address]; waits {
		return sharedlimit.Allotment{}, false
	}
	if _, ok := s.claimed[address]; !ok {
		return sharedlimit.Allotment{}, false
	}
	if x, ok := s.allotments[address]; ok {
		return x, true
	}
	return sharedlimit.Allotment{Fraction: 1, Connections: s.connectionLimit}, true
}

func (s *registration) remove() {
	if s == nil {
		return
	}
	s.registry.submit(func(d *registryState) {
		d.allocator.Remove(s.pool)
		delete(d.registrants, s.pool)
		delete(d.newlyClaimed, s.pool)
	})
}

// allotmentsChanged is word from the directory.
type allotmentsChanged struct {
	changes         []sharedlimit.Change
	claimSerial     uint64 // the pool's claim that the directory has: of nodes that are first in a later one it knows nothing
	claimAccepted   bool   // nodes up to that claim may be used
	connectionLimit int    // connections to a node that is all the pool's, if in
}

// applyChanges notes what the directory has told, and calls changed for each node of which the share may be another.
func (s *registration) applyChanges(told allotmentsChanged, changed func(node string)) (all bool) {
	for _, x := range told.changes {
		if _, ok := s.claimed[x.Node]; !ok || s.unconfirmed[x.Node] > told.claimSerial {
			continue // about a use that has ended
		}
		if x.Exclusive {
			delete(s.allotments, x.Node)
		} else {
			s.allotments[x.Node] = x.Allotment
		}
		changed(x.Node)
	}
	if !told.claimAccepted {
		return false
	}
	for node, serial := range s.unconfirmed {
		if serial <= told.claimSerial {
			delete(s.unconfirmed, node)
			changed(node)
		}
	}
	all = s.connectionLimit != told.connectionLimit
	s.connectionLimit = told.connectionLimit
	return all
}

// claimEndpoints tells the directory which nodes this pool lists, if these differ from what it was told.
func (l *loop) claimEndpoints() {
	if l.registration == nil {
		return
	}
	same, n := true, 0
	for address, drains := range l.listedAddresses() {
		told, ok := l.registration.claimed[address]
		same = same && ok && told == drains
		n++
	}
	if same && n == len(l.registration.claimed) {
		return
	}
	nodes := make(map[string]bool, n)
	for address, drains := range l.listedAddresses() { // two at one address drain if one does
		nodes[address] = nodes[address] || drains
	}
	l.registration.claim(nodes)
}

func (told allotmentsChanged) apply(l *loop) {
	changed := map[string]struct{}{}
	all := l.registration.applyChanges(told, func(node string) { changed[node] = struct{}{} })
	if all {
		changed = nil
	}
	if all || len(changed) > 0 {
		l.refreshAllotments(changed)
	}
}

// refreshAllotments applies anew what the directory has told of nodes, by address; nil: of all.
func (l *loop) refreshAllotments(nodes map[string]struct{}) {
	l.counters.endpointsChanged = true
	var changed []balancer.Upstream
	for _, p := range l.endpoints {
		if _, ok := nodes[p.address]; !ok && nodes != nil {
			continue
		}
		before := p.upstream
		l.refreshEndpoint(p)
		if p.upstream != before {
			changed = append(changed, p.upstream)
			l.dropUnsent(p)
		}
		for p.allotment.Connections > 0 && p.connections > p.allotment.Connections && l.evictIdle(p) {
		}
	}
	if len(changed) > 0 {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, changed)
	}
	l.reportPendingOutcomes()
}

// maxInFlight is how many attempts may be out at p: as many as connections that are shared out to this pool, less those that are
// held by attempts which the module takes for ended.
func (p *endpoint) maxInFlight() int { return max(1, p.allotment.Connections-p.abandoned) }

// addAbandoned notes that an attempt at p has ended for the module and still holds its connection, or (by -1) that it gives it back.
func (l *loop) addAbandoned(p *endpoint, by int) {
	p.abandoned += by
	if l.registration != nil {
		p.upstream.MaxInFlight = p.maxInFlight()
		l.balancer.MaxInFlightChanged(l.now(), p.id, p.upstream.MaxInFlight)
	}
}

// maxLingering is how many connections may wait for late answers: where connections are shared out, up to a quarter.
func (p *endpoint) maxLingering() int {
	if p.allotment.Connections == 0 {
		return maxLingeringAttempts
	}
	return min(maxLingeringAttempts, p.allotment.Connections/4)
}
