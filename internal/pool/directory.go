package pool

import (
	"context"
	"maps"

	"clayladder"
	"clayladder/internal/nodeshare"
)

// Directory tells the pools of a process what each may use of the nodes that several of them list. It runs in a
// goroutine of its own and waits for no pool.
type Directory struct {
	ctx  context.Context
	asks chan func(*directory)
}

// directory is what the goroutine keeps.
type directory struct {
	ledger *nodeshare.Ledger
	pools  map[string]*sharing
}

// sharing is a pool's tie to the directory. A nil one belongs to a pool that shares nothing.
type sharing struct {
	directory *Directory
	pool      string
	hand      func(event) // to the loop
	weight    float64     // the loop's, as are those below
	own       bool        // drains that other pools were told do not count here
	claimed   map[string]bool
}

// NewDirectory starts a directory, for so many connections to one node over all pools.
func NewDirectory(ctx context.Context, connections int) *Directory {
	d := &Directory{ctx: ctx, asks: make(chan func(*directory))}
	go func() {
		state := &directory{nodeshare.New(connections), map[string]*sharing{}}
		for {
			select {
			case ask := <-d.asks:
				ask(state)
				state.tell()
			case <-ctx.Done():
				return
			}
		}
	}()
	return d
}

// tell sends all pools their shares.
func (d *directory) tell() {
	for name, s := range d.pools {
		s.hand(sharesTold(d.ledger.Shares(name)))
	}
}

func (d *Directory) ask(f func(*directory)) {
	select {
	case d.asks <- f:
	case <-d.ctx.Done():
	}
}

// Limit sets anew how many connections a node takes over all pools.
func (d *Directory) Limit(connections int) {
	d.ask(func(s *directory) { s.ledger.Limit(connections) })
}

// join returns a new pool's tie; a nil directory has none.
func (d *Directory) join(pool string, weight float64, own bool, hand func(event)) *sharing {
	if d == nil {
		return nil
	}
	s := &sharing{directory: d, pool: pool, weight: weight, own: own, hand: hand}
	d.ask(func(state *directory) { state.pools[pool] = s })
	return s
}

func (s *sharing) claim(nodes map[string]bool) {
	if s.claimed != nil && maps.Equal(nodes, s.claimed) {
		return
	}
	s.claimed = nodes
	weight := s.weight
	s.directory.ask(func(d *directory) { d.ledger.Claim(s.pool, weight, nodes) })
}

func (s *sharing) leave() {
	if s == nil {
		return
	}
	s.directory.ask(func(d *directory) {
		d.ledger.Leave(s.pool)
		delete(d.pools, s.pool)
	})
}

// claim tells the directory which nodes this pool lists.
func (l *loop) claim() {
	if l.shares == nil {
		return
	}
	nodes := map[string]bool{}
	for _, p := range l.peers {
		if p.listed != clayladder.Gone {
			nodes[p.address] = p.listed == clayladder.Draining
		}
	}
	l.shares.claim(nodes)
}

// sharesTold are new shares, by the nodes' addresses.
type sharesTold map[string]nodeshare.Share

func (told sharesTold) apply(l *loop) {
	l.told = told
	var changed []clayladder.Upstream
	for _, p := range l.peers {
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
		l.balancer.Members(l.now(), clayladder.ListDelta, changed)
	}
	l.settle()
}

// most is how many attempts may be out at p: as many as connections that are shared out to this pool, less those that are
// held by attempts which the module takes for ended.
func (p *peer) most() int { return max(1, p.share.Connections-p.ghosts) }

// ghost notes that an attempt at p has ended for the module and still holds its connection, or (by -1) that it gives it back.
func (l *loop) ghost(p *peer, by int) {
	p.ghosts += by
	if l.shares != nil && l.told != nil {
		p.entry.Most = p.most()
		l.balancer.Room(l.now(), p.id, p.entry.Most)
	}
}

// lingerMost is how many connections may wait for late answers: where connections are shared out, up to a quarter.
func (p *peer) lingerMost() int {
	if p.share.Connections == 0 {
		return lingerMost
	}
	return min(lingerMost, p.share.Connections/4)
}
