package pool

import (
	"context"
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/clock"
	"olivearch/internal/discovery"
	"olivearch/internal/override"
	"olivearch/internal/upstream"
)

const logQueue = 256

// event is something that happened outside, told to the loop.
type event interface{ apply(l *loop) }

// loop owns the Balancer, from one goroutine. Everything here runs on that goroutine but for post, now and what is
// started with go. It never waits for anything but its channels.
type loop struct {
	balancer  *balancer.Balancer // nil: it is not made
	unmade    unmade             // what there is in its place
	seed      uint64
	makes     uint64        // how often it was made
	listed    bool          // a list has been told
	madeFor   time.Duration // with no request and no connection
	firstMost int           // with more nodes it is made before it is asked
	lookAt    time.Duration // the goroutine stays for what is due then, soon; 0: for nothing
	emptyAt   time.Duration // since when there is neither; 0: there is, or nobody has looked
	waker     *time.Timer   // starts the goroutine of a parked pool; nil: none yet
	parking   func()        // a test's, called between the last look and the end of the goroutine; else nil
	ctx       context.Context
	mail      *mailbox
	logs      logLines
	origin    time.Time
	epoch     time.Duration
	discovery *discovery.Client  // nil: lists come by Tell
	stopWatch context.CancelFunc // nil: the module does not follow discovery
	transport upstream.Transport
	whole     bool // clients are told in HTTP's usual terms
	settings  balancer.Settings
	idleFor   time.Duration
	maxConns  int
	trust     bool          // connections rest only where strays were seen
	hold      time.Duration // how long a list holds with no word from its source; 0: for ever
	heardAt   time.Duration // last good word from it that came by the mailbox
	confirmed atomic.Int64  // a time.Duration: when it last said that the list stays as it was
	trouble   string        // why there is none since, if that is known
	keeper    EndpointStore // nil: lists are not kept
	shares    *sharing      // nil: no other pool of the process may use the same upstreams

	maint    override.Table // which upstreams are out by hand
	heard    atomic.Bool    // discovery has told a list
	names    *discovery.Names
	revision uint64
	listings uint64 // lists applied to the peers
	serial   uint64
	alarms   alarms
	requests map[balancer.RequestID]*Request
	open     map[string]bool // the clients' ids of these
	peers    map[balancer.UpstreamID]*peer
	room     []peer // for those of the list with which the module is made
	tunnels  map[*attempt]struct{}
	caps     TunnelLimits
	conns    int     // connections to upstreams, open or opening
	due      []owing // outcomes that are known but not told: the module is not called while it calls
	sweepAt  time.Duration

	counts counts
}

var _ balancer.Host = (*loop)(nil)

func newLoop(ctx context.Context, c Spec) *loop {
	l := &loop{
		ctx: ctx, mail: newMailbox(), madeFor: madeFor, firstMost: firstMost,
		origin: time.Now(), names: discovery.NewNames(), requests: map[balancer.RequestID]*Request{}, open: map[string]bool{},
		peers: map[balancer.UpstreamID]*peer{}, tunnels: map[*attempt]struct{}{},
	}
	l.limit(c)
	l.keeper = c.EndpointStore
	// The clock is Unix time at the start, going on by the monotonic clock: what discovery dates stands on it as it
	// is, also from before this process, and a clock that is set does not move it.
	l.epoch = time.Duration(clock.Now().UnixNano())
	l.heardAt = l.now()
	l.follow(c.Discovery)
	return l
}

// limit takes what may change while the loop runs, but for the module's settings.
func (l *loop) limit(c Spec) {
	l.transport, l.whole = upstream.HTTP1{Timeout: c.Links.ConnectTimeout, Whole: c.FullResponses}, c.FullResponses
	l.settings, l.maxConns, l.hold, l.trust = c.Settings, c.Connections, c.MaxEndpointAge, c.KeepUntilUnsolicited
	l.caps = c.Tunnels
	l.idleFor = max(c.Links.KeepAlive-spareIdle, c.Links.KeepAlive/2)
}

func (l *loop) now() time.Duration { return l.epoch + time.Since(l.origin) }

// post tells the loop of an event.
func (l *loop) post(e event) { l.mail.post(e) }

// hand tells the loop of what goes before all else: an answer of discovery, a list from elsewhere, a call of the staff. So nothing
// is sent after a drain that has been told, and staff have their answer under any load.
func (l *loop) hand(x event) { l.mail.hand(x) }

// start makes the Balancer and tells it the upstreams that were known before; nil if nothing was.
func (l *loop) start(seed uint64, known *discovery.Listing) error {
	// Before the module begins to follow discovery: a first call for the whole list costs it hundreds of lines a balancer, and where
	// all start together the watches behind those are refused. Revision 0 is one like others.
	if known != nil && l.discovery != nil && (known.Revision > 0 || len(known.Members) > 0) {
		l.discovery.Hold(known.Revision)
	}
	l.seed = seed
	if l.mayRest() { // it is made for its first request
		if err := l.settings.Validate(); err != nil {
			return err
		}
	} else if err := l.make(); err != nil {
		return err
	}
	if known != nil {
		l.members(balancer.ListCached, *known)
	}
	if !l.settings.PollDiscovery { // lists that are pushed come without the module's asking
		l.WatchEndpoints(true)
	}
	return nil
}

// batchMost bounds how many events are taken before alarms are looked at.
const batchMost = 64

// run handles events until the context ends, or the pool is parked.
func (l *loop) run() {
	l.unpark()
	clock := time.NewTimer(0)
	defer clock.Stop()
	armed := l.now() // when the clock goes off
	var batch, spare []event
	for {
		l.rush()
		l.ring()
		if len(batch) == 0 {
			clear(spare) // what has been handled must not be held
			batch = l.mail.take(spare)
			spare = batch
		}
		if len(batch) > 0 {
			n := min(len(batch), batchMost)
			for _, e := range batch[:n] {
				l.rush()
				e.apply(l)
				l.settle()
			}
			batch = batch[n:]
			if l.ctx.Err() != nil {
				return
			}
			continue
		}
		if l.ctx.Err() != nil || l.park() {
			return
		}
		at, some := l.alarms.next()
		if l.lookAt > 0 && (!some || l.lookAt < at) {
			at, some = l.lookAt, true
		}
		if some && (at < armed || armed <= l.now()) {
			armed = at
			clock.Reset(max(0, at-l.now()))
		}
		select {
		case <-l.mail.ready:
		case <-clock.C:
			armed = 0
		case <-l.ctx.Done():
			return
		}
	}
}

// rush handles what is urgent.
func (l *loop) rush() {
	for _, x := range l.mail.rush() {
		x.apply(l)
	}
}

// ring lets the alarms go off that are due.
func (l *loop) ring() {
	for a := l.alarms.due(l.now()); a != nil; a = l.alarms.due(l.now()) {
		switch {
		case a.attempt != nil:
			l.expire(a.attempt)
		case a.request != nil:
			for _, at := range a.request.attempts {
				l.expire(at)
			}
		default:
			l.balancer.TimerFired(l.now(), a.token)
		}
		l.settle()
	}
	if now := l.now(); now >= l.sweepAt {
		l.sweepAt = now + sweepEvery
		l.sweep(now)
		l.publish()
	}
}
