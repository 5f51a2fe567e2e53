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

const maxQueuedLogLines = 256

// event is something that happened outside, told to the loop.
type event interface{ apply(l *loop) }

// loop owns the Balancer, from one goroutine. Everything here runs on that goroutine but for post, now and what is
// started with go. It never waits for anything but its channels.
type loop struct {
	balancer                  *balancer.Balancer // nil: it is not made
	dormant                   dormantState       // what there is in its place
	seed                      uint64
	creations                 uint64        // how often it was made
	hasList                   bool          // a list has been told
	balancerIdleTimeout       time.Duration // with no request and no connection
	maxLazyEndpoints          int           // with more nodes it is made before it is asked
	nextCheckAt               time.Duration // the goroutine stays for what is due then, soon; 0: for nothing
	emptySince                time.Duration // since when there is neither; 0: there is, or nobody has looked
	wakeTimer                 *time.Timer   // starts the goroutine of a parked pool; nil: none yet
	beforePark                func()        // a test's, called between the last look and the end of the goroutine; else nil
	ctx                       context.Context
	mailbox                   *mailbox
	logWriter                 logWriter
	origin                    time.Time
	epoch                     time.Duration
	discovery                 *discovery.Client  // nil: lists come by Tell
	stopWatch                 context.CancelFunc // nil: the module does not follow discovery
	transport                 upstream.Transport
	fullResponses             bool // clients are told in HTTP's usual terms
	settings                  balancer.Settings
	idleTimeout               time.Duration
	maxConnections            int
	delayOnlyAfterUnsolicited bool          // connections rest only where strays were seen
	maxListAge                time.Duration // how long a list holds with no word from its source; 0: for ever
	listReceivedAt            time.Duration // last good word from it that came by the mailbox
	listConfirmedAt           atomic.Int64  // a time.Duration: when it last said that the list stays as it was
	sourceError               string        // why there is none since, if that is known
	endpointStore             EndpointStore // nil: lists are not kept
	registration              *registration // nil: no other pool of the process may use the same upstreams

	overrides        override.Table // which upstreams are out by hand
	listReceived     atomic.Bool    // discovery has told a list
	names            *discovery.Names
	revision         uint64
	listGeneration   uint64 // lists applied to the peers
	lastRequestID    uint64
	timers           timerQueue
	requests         map[balancer.RequestID]*Request
	clientRequestIDs map[string]bool // the clients' ids of these
	endpoints        map[balancer.UpstreamID]*endpoint
	preallocated     []endpoint // for those of the list with which the module is made
	tunnels          map[*attempt]struct{}
	tunnelLimits     TunnelLimits
	connections      int              // connections to upstreams, open or opening
	pendingOutcomes  []pendingOutcome // outcomes that are known but not told: the module is not called while it calls
	sweepAt          time.Duration

	counters counters
}

var _ balancer.Host = (*loop)(nil)

func newLoop(ctx context.Context, c Spec) *loop {
	l := &loop{
		ctx: ctx, mailbox: newMailbox(), balancerIdleTimeout: defaultBalancerIdleTimeout, maxLazyEndpoints: defaultMaxLazyEndpoints,
		origin: time.Now(), names: discovery.NewNames(), requests: map[balancer.RequestID]*Request{}, clientRequestIDs: map[string]bool{},
		endpoints: map[balancer.UpstreamID]*endpoint{}, tunnels: map[*attempt]struct{}{},
	}
	l.applyLimits(c)
	l.endpointStore = c.EndpointStore
	// The clock is Unix time at the start, going on by the monotonic clock: what discovery dates stands on it as it
	// is, also from before this process, and a clock that is set does not move it.
	l.epoch = time.Duration(clock.Now().UnixNano())
	l.listReceivedAt = l.now()
	l.followDiscovery(c.Discovery)
	return l
}

// applyLimits takes what may change while the loop runs, but for the module's settings.
func (l *loop) applyLimits(c Spec) {
	l.transport, l.fullResponses = upstream.HTTP1{Timeout: c.Links.ConnectTimeout, Whole: c.FullResponses}, c.FullResponses
	l.settings, l.maxConnections, l.maxListAge, l.delayOnlyAfterUnsolicited = c.Settings, c.Connections, c.MaxEndpointAge, c.KeepUntilUnsolicited
	l.tunnelLimits = c.Tunnels
	l.idleTimeout = max(c.Links.KeepAlive-idleMargin, c.Links.KeepAlive/2)
}

func (l *loop) now() time.Duration { return l.epoch + time.Since(l.origin) }

// enqueue tells the loop of an event.
func (l *loop) enqueue(e event) { l.mailbox.enqueue(e) }

// enqueueUrgent tells the loop of what goes before all else: an answer of discovery, a list from elsewhere, a call of the staff. So nothing
// is sent after a drain that has been told, and staff have their answer under any load.
func (l *loop) enqueueUrgent(x event) { l.mailbox.enqueueUrgent(x) }

// start makes the Balancer and tells it the upstreams that were known before; nil if nothing was.
func (l *loop) start(seed uint64, known *discovery.Listing) error {
	// Before the module begins to follow discovery: a first call for the whole list costs it hundreds of lines a balancer, and where
	// all start together the watches behind those are refused. Revision 0 is one like others.
	if known != nil && l.discovery != nil && (known.Revision > 0 || len(known.Members) > 0) {
		l.discovery.Hold(known.Revision)
	}
	l.seed = seed
	if l.canSuspend() { // it is made for its first request
		if err := l.settings.Validate(); err != nil {
			return err
		}
	} else if err := l.createBalancer(); err != nil {
		return err
	}
	if known != nil {
		l.applyListing(balancer.ListCached, *known)
	}
	if !l.settings.PollDiscovery { // lists that are pushed come without the module's asking
		l.WatchEndpoints(true)
	}
	return nil
}

// maxBatch bounds how many events are taken before alarms are looked at.
const maxBatch = 64

// run handles events until the context ends, or the pool is parked.
func (l *loop) run() {
	l.unpark()
	clock := time.NewTimer(0)
	defer clock.Stop()
	armed := l.now() // when the clock goes off
	var batch, spare []event
	for {
		l.applyUrgent()
		l.fireTimers()
		if len(batch) == 0 {
			clear(spare) // what has been handled must not be held
			batch = l.mailbox.takeNormal(spare)
			spare = batch
		}
		if len(batch) > 0 {
			n := min(len(batch), maxBatch)
			for _, e := range batch[:n] {
				l.applyUrgent()
				e.apply(l)
				l.reportPendingOutcomes()
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
		at, some := l.timers.nextAt()
		if l.nextCheckAt > 0 && (!some || l.nextCheckAt < at) {
			at, some = l.nextCheckAt, true
		}
		if some && (at < armed || armed <= l.now()) {
			armed = at
			clock.Reset(max(0, at-l.now()))
		}
		select {
		case <-l.mailbox.ready:
		case <-clock.C:
			armed = 0
		case <-l.ctx.Done():
			return
		}
	}
}

// applyUrgent handles what is urgent.
func (l *loop) applyUrgent() {
	for _, x := range l.mailbox.takeUrgent() {
		x.apply(l)
	}
}

// fireTimers lets the alarms go off that are due.
func (l *loop) fireTimers() {
	for a := l.timers.popExpired(l.now()); a != nil; a = l.timers.popExpired(l.now()) {
		switch {
		case a.attempt != nil:
			l.timeOut(a.attempt)
		case a.request != nil:
			for _, at := range a.request.attempts {
				l.timeOut(at)
			}
		default:
			l.balancer.TimerFired(l.now(), a.token)
		}
		l.reportPendingOutcomes()
	}
	if now := l.now(); now >= l.sweepAt {
		l.sweepAt = now + sweepInterval
		l.closeExpiredIdle(now)
		l.publish()
	}
}
