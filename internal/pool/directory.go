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
	ctx   context.Context
	mu    sync.Mutex
	asks  []func(*directory)
	ready chan struct{} // holds a word while there are asks
}

// directory is what the goroutine keeps.
type directory struct {
	ledger  *sharedlimit.Allocator
	ties    map[*sharedlimit.Pool]*tie
	claimed map[*sharedlimit.Pool]struct{} // since pools were last told
	limit   int                            // connections to one node over all pools
	limited bool                           // anew, since pools were last told
}

// tie is what the directory's goroutine keeps of a pool.
type tie struct {
	hand   func(event)
	serial uint64 // of the claim that the ledger has
}

// sharing is a pool's tie to the directory, as the pool's loop keeps it. A nil one belongs to a pool that shares nothing.
// What it holds beside the claim is what differs from the rule, which is that a node is all the pool's.
type sharing struct {
	directory *EndpointRegistry
	pool      *sharedlimit.Pool // the directory's
	weight    float64
	own       bool                             // drains that other pools were told do not count here
	limit     int                              // connections to a node that is all the pool's; 0: not told yet
	claimed   map[string]bool                  // by address; true: drains by the pool's list. The directory reads it too: it never changes
	serial    uint64                           // of that claim
	waiting   map[string]uint64                // nodes for which the directory has not answered, by the claim that has them first
	shared    map[string]sharedlimit.Allotment // nodes that other pools list too
}

// NewEndpointRegistry starts a directory, for so many connections to one node over all pools.
func NewEndpointRegistry(ctx context.Context, connections int) *EndpointRegistry {
	d := &EndpointRegistry{ctx: ctx, ready: make(chan struct{}, 1)}
	state := newDirectory(connections)
	go func() {
		for {
			select {
			case <-d.ready:
				state.turn(d.take())
			case <-ctx.Done():
				return
			}
		}
	}()
	return d
}

func newDirectory(connections int) *directory {
	return &directory{ledger: sharedlimit.NewAllocator(connections), ties: map[*sharedlimit.Pool]*tie{}, claimed: map[*sharedlimit.Pool]struct{}{}, limit: connections}
}

// turn answers what was asked.
func (d *directory) turn(asks []func(*directory)) {
	for _, ask := range asks {
		ask(d)
	}
	d.tell()
}

// tell sends pools what they have not been told: first to all what cuts their use of a node, then the rest, with the word
// that their claims are in. So a pool that is given something comes after those that it is taken from.
func (d *directory) tell() {
	cuts, rest := d.ledger.Changes()
	for pool, changes := range cuts {
		t := d.ties[pool]
		t.hand(sharesTold{changes: changes, serial: t.serial})
	}
	told := d.claimed
	for pool := range rest {
		told[pool] = struct{}{}
	}
	if d.limited {
		for pool := range d.ties {
			told[pool] = struct{}{}
		}
	}
	for pool := range told {
		if t := d.ties[pool]; t != nil { // else it has left
			t.hand(sharesTold{changes: rest[pool], serial: t.serial, limit: d.limit, in: true})
		}
	}
	clear(d.claimed)
	d.limited = false
}

// ask hands something to the directory's goroutine. It does not wait.
func (d *EndpointRegistry) ask(f func(*directory)) {
	d.mu.Lock()
	d.asks = append(d.asks, f)
	d.mu.Unlock()
	select {
	case d.ready <- struct{}{}:
	default:
	}
}

func (d *EndpointRegistry) take() []func(*directory) {
	d.mu.Lock()
	defer d.mu.Unlock()
	asks := d.asks
	d.asks = nil
	return asks
}

// SetConnectionLimit sets anew how many connections a node takes over all pools.
func (d *EndpointRegistry) SetConnectionLimit(connections int) {
	d.ask(func(s *directory) {
		if connections != s.limit {
			s.ledger.SetConnectionLimit(connections)
			s.limit, s.limited = connections, true
		}
	})
}

// join returns a new pool's tie; a nil directory has none.
func (d *EndpointRegistry) join(weight float64, own bool, hand func(event)) *sharing {
	if d == nil {
		return nil
	}
	s := &sharing{directory: d, pool: new(sharedlimit.Pool), weight: weight, own: own, waiting: map[string]uint64{}, shared: map[string]sharedlimit.Allotment{}}
	d.ask(func(state *directory) { state.ties[s.pool] = &tie{hand: hand} })
	return s
}

// claim tells the directory which nodes the pool lists, by address; true: the pool's list says that it drains. The map
// must not be changed any more.
func (s *sharing) claim(nodes map[string]bool) {
	for node := range s.claimed {
		if _, still := nodes[node]; !still {
			delete(s.waiting, node)
			delete(s.shared, node)
		}
	}
	s.serial++
	for node := range nodes {
		if _, had := s.claimed[node]; !had {
			s.waiting[node] = s.serial
		}
	}
	s.claimed = nodes
	pool, weight, serial := s.pool, s.weight, s.serial
	s.directory.ask(func(d *directory) {
		if t := d.ties[pool]; t != nil { // else it has left
			d.ledger.Claim(pool, weight, nodes)
			t.serial = serial
			d.claimed[pool] = struct{}{}
		}
	})
}

// reweigh sets the pool's weight on nodes that other pools list too.
func (s *sharing) reweigh(weight float64) {
	if weight != s.weight {
		s.weight = weight
		s.claim(s.claimed)
	}
}

// share is what the pool may use of a node; false: the directory has not answered for it, and it gets nothing.
func (s *sharing) share(address string) (sharedlimit.Allotment, bool) {
	if _, waits := s.waiting[address]; waits {
		return sharedlimit.Allotment{}, false
	}
	if _, ok := s.claimed[address]; !ok {
		return sharedlimit.Allotment{}, false
	}
	if x, ok := s.shared[address]; ok {
		return x, true
	}
	return sharedlimit.Allotment{Fraction: 1, Connections: s.limit}, true
}

func (s *sharing) leave() {
	if s == nil {
		return
	}
	s.directory.ask(func(d *directory) {
		d.ledger.Remove(s.pool)
		delete(d.ties, s.pool)
		delete(d.claimed, s.pool)
	})
}

// sharesTold is word from the directory.
type sharesTold struct {
	changes []sharedlimit.Change
	serial  uint64 // the pool's claim that the directory has: of nodes that are first in a later one it knows nothing
	in      bool   // nodes up to that claim may be used
	limit   int    // connections to a node that is all the pool's, if in
}

// take notes what the directory has told, and calls changed for each node of which the share may be another.
func (s *sharing) take(told sharesTold, changed func(node string)) (all bool) {
	for _, x := range told.changes {
		if _, ok := s.claimed[x.Node]; !ok || s.waiting[x.Node] > told.serial {
			continue // about a use that has ended
		}
		if x.Exclusive {
			delete(s.shared, x.Node)
		} else {
			s.shared[x.Node] = x.Allotment
		}
		changed(x.Node)
	}
	if !told.in {
		return false
	}
	for node, serial := range s.waiting {
		if serial <= told.serial {
			delete(s.waiting, node)
			changed(node)
		}
	}
	all = s.limit != told.limit
	s.limit = told.limit
	return all
}

// claim tells the directory which nodes this pool lists, if these differ from what it was told.
func (l *loop) claim() {
	if l.shares == nil {
		return
	}
	same, n := true, 0
	for address, drains := range l.nodes() {
		told, ok := l.shares.claimed[address]
		same = same && ok && told == drains
		n++
	}
	if same && n == len(l.shares.claimed) {
		return
	}
	nodes := make(map[string]bool, n)
	for address, drains := range l.nodes() { // two at one address drain if one does
		nodes[address] = nodes[address] || drains
	}
	l.shares.claim(nodes)
}

func (told sharesTold) apply(l *loop) {
	changed := map[string]struct{}{}
	all := l.shares.take(told, func(node string) { changed[node] = struct{}{} })
	if all {
		changed = nil
	}
	if all || len(changed) > 0 {
		l.reshare(changed)
	}
}

// reshare applies anew what the directory has told of nodes, by address; nil: of all.
func (l *loop) reshare(nodes map[string]struct{}) {
	l.counts.recount = true
	var changed []balancer.Upstream
	for _, p := range l.peers {
		if _, ok := nodes[p.address]; !ok && nodes != nil {
			continue
		}
		before := p.entry
		l.place(p)
		if p.entry != before {
			changed = append(changed, p.entry)
			l.withdraw(p)
		}
		for p.share.Connections > 0 && p.conns > p.share.Connections && l.spare(p) {
		}
	}
	if len(changed) > 0 {
		l.balancer.EndpointsUpdated(l.now(), balancer.ListDelta, changed)
	}
	l.settle()
}

// most is how many attempts may be out at p: as many as connections that are shared out to this pool, less those that are
// held by attempts which the module takes for ended.
func (p *peer) most() int { return max(1, p.share.Connections-p.ghosts) }

// ghost notes that an attempt at p has ended for the module and still holds its connection, or (by -1) that it gives it back.
func (l *loop) ghost(p *peer, by int) {
	p.ghosts += by
	if l.shares != nil {
		p.entry.MaxInFlight = p.most()
		l.balancer.MaxInFlightChanged(l.now(), p.id, p.entry.MaxInFlight)
	}
}

// lingerMost is how many connections may wait for late answers: where connections are shared out, up to a quarter.
func (p *peer) lingerMost() int {
	if p.share.Connections == 0 {
		return lingerMost
	}
	return min(lingerMost, p.share.Connections/4)
}
