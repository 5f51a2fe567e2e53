package pool

import (
	"fmt"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/sharedlimit"
)

// peer is what the loop knows of an upstream's address and connections.
type peer struct {
	id        balancer.UpstreamID
	name      string // discovery's id
	address   string
	member    discovery.Member // as it was listed last
	listed    balancer.State   // by this pool's own list
	state     balancer.State   // with what the other pools of the process were told, and what is out by hand
	idle      []*link          // the most recently used last
	out       map[*attempt]struct{}
	list      uint64 // the last that named it
	lingering int
	tunnels   int
	ghosts    int                   // attempts among those out that the module takes for ended
	conns     int                   // to it, open or opening
	share     sharedlimit.Allotment // where other pools of the process may use it too
	entry     balancer.Upstream
	weight    float64 // by its list; staff's word may leave it a part of that
	strays    uint64  // connections on which it sent what nobody had asked for
	spoilt    uint64  // load reports that could not be read
	why       string  // the last of them could not
}

// reported notes a load report that could not be read.
func (p *peer) reported(why string) {
	if why != "" {
		p.spoilt, p.why = p.spoilt+1, why
	}
}

// listed is an answer of discovery, or a list that was told from elsewhere.
type listed discovery.Heard

func (x listed) apply(l *loop) {
	switch {
	case x.From != l.discovery: // asked before discovery moved
		return
	case x.Err != nil:
		l.trouble = x.Err.Error()
		l.Log(l.trouble)
		if l.settings.PollDiscovery { // else the agent is asked until it answers
			l.balancer.EndpointsUpdated(l.now(), balancer.ListFailed, nil)
		}
	case x.Revision < l.revision: // overtaken by a newer one: it must not undo that
		l.Log(fmt.Sprintf("discovery: revision %d after %d passed over", x.Revision, l.revision))
	default:
		l.heardAt, l.trouble = l.now(), ""
		l.heard.Store(true)
		mode := balancer.ListDelta
		if x.Complete {
			mode = balancer.ListFull
		}
		l.members(mode, x.Listing)
		if l.keeper != nil {
			l.keeper.Save(x.Listing)
		}
	}
	l.settle()
}

// follow begins to ask discovery at an address; empty: nowhere. What was asked before is ended.
func (l *loop) follow(address string) {
	if l.discovery != nil {
		l.discovery.End()
		l.discovery = nil
	}
	l.revision = 0 // of another source: it means nothing to the next
	if address != "" {
		l.discovery = discovery.New(l.ctx, address, func(x discovery.Heard) { l.hand(listed(x)) })
	}
}

// followed is the address of discovery; empty: none is followed.
func (l *loop) followed() string {
	if l.discovery == nil {
		return ""
	}
	return l.discovery.Address
}

// expired tells whether the list has been without a word from its source for longer than it holds.
func (l *loop) expired(now time.Duration) bool { return l.hold > 0 && l.listAge(now) > l.hold }

// listAge is the time since the last good word from the list's source.
func (l *loop) listAge(now time.Duration) time.Duration {
	return now - max(l.heardAt, time.Duration(l.confirmed.Load()))
}

// members applies a list: first to the peers, so that nothing goes to one that drains, then to the module, which
// may send at once.
func (l *loop) members(mode balancer.ListMode, x discovery.Listing) {
	if l.listed = true; !l.made() {
		l.relist(mode, x)
		return
	}
	l.revision = x.Revision
	list := make([]balancer.Upstream, 0, len(x.Members))
	l.listings++
	for i := range x.Members {
		m := &x.Members[i]
		u := m.Upstream(l.names.ID(m.ID))
		if p := l.peer(u, m); p != nil {
			p.list, u = l.listings, p.entry
		}
		list = append(list, u)
	}
	for id, p := range l.peers {
		if mode != balancer.ListDelta && p.list != l.listings {
			p.state, p.listed = balancer.Removed, balancer.Removed
			l.CloseIdle(id)
			l.endTunnels(p)
		}
		l.withdraw(p)
	}
	l.claim()
	l.balancer.EndpointsUpdated(l.now(), mode, list)
	l.settle()
	for _, p := range l.peers {
		l.forget(p)
	}
}

// withdraw drops what waits for a connection to an upstream that has left.
func (l *loop) withdraw(p *peer) {
	if p.state == balancer.Active {
		return
	}
	for a := range p.out {
		if a.Drop() {
			l.due = append(l.due, owing{a, balancer.NotSent})
		}
	}
}

// endTunnels lets the tunnels to p end within their grace; nil: all.
func (l *loop) endTunnels(p *peer) {
	for a := range l.tunnels {
		if p == nil || a.peer == p {
			a.tunnel.EndSoon()
		}
	}
}

// forget drops an upstream that is gone and has nothing out.
func (l *loop) forget(p *peer) {
	if p.state == balancer.Removed && len(p.out) == 0 && l.peers[p.id] == p {
		l.counts.recount = true
		delete(l.peers, p.id)
		l.names.Forget(p.name)
	}
}

// peer applies a list's entry; nil if it is of no concern.
func (l *loop) peer(u balancer.Upstream, m *discovery.Member) *peer {
	p, address := l.peers[u.ID], m.HostPort
	if p == nil {
		if u.State == balancer.Removed {
			l.names.Forget(m.ID)
			return nil
		}
		if len(l.room) > 0 {
			p, l.room = &l.room[0], l.room[1:]
		} else {
			p = new(peer)
		}
		p.id, p.name = u.ID, m.ID
		l.peers[u.ID] = p
	}
	if u.State != balancer.Removed {
		if address != p.address && p.address != "" {
			l.CloseIdle(u.ID)
		}
		p.address = address
	}
	p.listed, p.member = u.State, *m
	p.entry, p.weight = u, u.Weight
	l.place(p)
	return p
}

// place works out an upstream's state from its list, what the directory told, and what is out by hand. Until the directory has
// answered for a node it gets nothing: other pools must have been told first that they share it.
func (l *loop) place(p *peer) {
	l.counts.recount = true
	p.state, p.entry.MaxInFlight = p.listed, 0
	if l.shares != nil {
		share, known := l.shares.share(p.address)
		p.share = share
		p.entry.WarmUpShare, p.entry.MaxInFlight = share.Fraction, p.most()
		if p.listed == balancer.Active && (!known || (share.Draining && !l.shares.own)) {
			p.state = balancer.Draining
		}
	}
	if back := l.maint.ReturnedAt(p.name, p.entry.Zone); back > 0 { // it was restarted while out, and lists tell of that late
		p.entry.StartedAt = max(p.entry.StartedAt, back)
	}
	p.entry.Weight = p.weight * l.maint.WeightFactor(p.name)
	if most := l.maint.ConcurrencyCap(p.name); most > 0 && (p.entry.MaxInFlight == 0 || most < p.entry.MaxInFlight) {
		p.entry.MaxInFlight = most
	}
	if l.maint.OutOfService(p.name, p.entry.Zone) && p.state == balancer.Active {
		p.state = balancer.Draining
	}
	p.entry.State = p.state
	if p.state != balancer.Active {
		l.CloseIdle(p.id)
		l.endTunnels(p)
	}
}
