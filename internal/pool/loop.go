package pool

import (
	"context"
	"time"

	"olivearch/balancer"
	"olivearch/internal/clock"
	"olivearch/internal/discovery"
	"olivearch/internal/override"
	"olivearch/internal/upstream"
)

const (
	// maxBatch bounds the events that are handled before timers are looked at.
	maxBatch = 64
	// sweepInterval is how often connections that have been idle for too long are looked for, and levels are published.
	sweepInterval = time.Second
)

// event is something that has happened outside the loop. apply changes the loop's state; it runs on the loop's
// goroutine and must not block.
type event interface{ apply(l *loop) }

// loop is a pool's event loop: one goroutine that owns the balancer and everything in this struct, and handles one
// event at a time. The goroutine never blocks but for the next event or timer. What may block runs in goroutines of its
// own, which send an event when they are done. Other goroutines may only call enqueue, enqueueUrgent, now and the
// writer of log lines, and read the context and the atomics.
//
// The goroutine ends while there is nothing to do (suspend.go); the mailbox starts the next one, never two at a time.
type loop struct {
	ctx     context.Context // ends the loop
	mailbox *mailbox
	log     logWriter
	origin  time.Time     // when the loop was made
	epoch   time.Duration // Unix time at origin

	balancer        *balancer.Balancer // nil: the pool is dormant
	settings        balancer.Settings
	timers          timerQueue
	pendingOutcomes []pendingOutcome // known, and not reported yet: the balancer is not called while it calls
	suspension      suspension
	counters        counters

	source         listSource
	endpointStore  EndpointStore // nil: lists are not stored
	names          *discovery.Numbering
	endpoints      map[balancer.UpstreamID]*endpoint
	preallocated   []endpoint     // memory for the endpoints of the list with which a balancer is created
	listGeneration uint64         // counts the lists that were applied to endpoints
	overrides      override.Table // what operators have set by hand
	registration   *registration  // nil: no other pool of the process may use the same endpoints

	requests         map[balancer.RequestID]*Request
	lastRequestID    uint64
	clientRequestIDs map[string]bool // the clients' own ids of requests
	fullResponses    bool            // Spec.FullResponses

	connections  connectionPool
	tunnels      map[*attempt]struct{}
	tunnelLimits TunnelLimits
}

func newLoop(ctx context.Context, spec Spec) *loop {
	made := &loop{
		ctx:              ctx,
		mailbox:          newMailbox(),
		origin:           time.Now(),
		suspension:       newSuspension(spec.Seed),
		names:            discovery.NewNumbering(),
		requests:         map[balancer.RequestID]*Request{},
		clientRequestIDs: map[string]bool{},
		endpoints:        map[balancer.UpstreamID]*endpoint{},
		tunnels:          map[*attempt]struct{}{},
	}
	made.applyLimits(spec)
	made.endpointStore = spec.EndpointStore
	// The clock is Unix time at the start, going on by the monotonic clock: times that discovery sends are on it as they
	// are, also those from before this process, and setting the machine's clock does not move it.
	made.epoch = time.Duration(clock.Now().UnixNano())
	made.source.receivedAt = made.now()
	made.followDiscovery(spec.Discovery)
	return made
}

// applyLimits takes what of a Spec may change while the loop runs.
func (l *loop) applyLimits(spec Spec) {
	l.settings = spec.Settings
	l.source.maxAge = spec.MaxEndpointAge
	l.fullResponses = spec.FullResponses
	l.tunnelLimits = spec.Tunnels
	l.connections.transport = upstream.HTTP1{ConnectTimeout: spec.Links.ConnectTimeout, FullResponses: spec.FullResponses}
	l.connections.max = spec.MaxConnections
	l.connections.idleTimeout = max(spec.Links.KeepAlive-idleMargin, spec.Links.KeepAlive/2)
	l.connections.delayOnlyAfterUnsolicited = spec.ReuseDelayOnlyAfterUnsolicited
}

// now is the time on the loop's clock. Any goroutine may call it.
func (l *loop) now() time.Duration { return l.epoch + time.Since(l.origin) }

// enqueue hands the loop an event. Any goroutine may call it.
func (l *loop) enqueue(e event) { l.mailbox.enqueue(e) }

// enqueueUrgent hands the loop an event that goes before all others: a list, an allotment or an operator's call. So
// nothing is sent to an endpoint after the pool has got its drain, and operators have their answer under any load. Any
// goroutine may call it.
func (l *loop) enqueueUrgent(e event) { l.mailbox.enqueueUrgent(e) }

// start creates the balancer, unless it is created for its first request, and applies the list that was known before
// the start; nil: none was.
func (l *loop) start(known *discovery.Listing) error {
	// Before the balancer begins to watch: a first call for the complete list costs discovery hundreds of lines a
	// balancer, and where all balancers start together the watches behind those calls are refused. Revision 0 is one like
	// others.
	hasRevision := known != nil && (known.Revision > 0 || len(known.Members) > 0)
	if hasRevision && l.source.client != nil {
		l.source.client.SetRevision(known.Revision)
	}
	if err := l.createOrValidate(); err != nil {
		return err
	}
	if known != nil {
		l.applyListing(balancer.ListCached, *known)
	}
	if !l.settings.PollDiscovery { // a list that is pushed comes without the balancer's asking
		l.WatchEndpoints(true)
	}
	return nil
}

// createOrValidate creates the balancer, or checks the settings of one that is created for its first request.
func (l *loop) createOrValidate() error {
	if l.canSuspend() {
		return l.settings.Validate()
	}
	return l.createBalancer()
}

// run handles events and timers until the context ends or the loop is parked. It is the loop's goroutine.
func (l *loop) run() {
	l.stopWakeTimer()
	idleWait := wakeup{timer: time.NewTimer(0), at: l.now()}
	defer idleWait.timer.Stop()
	var batch eventBatch
	for {
		l.applyUrgent()
		l.fireTimers()
		if batch.refill(l.mailbox) {
			l.applyEvents(batch.next(maxBatch))
			if l.ctx.Err() != nil {
				return
			}
			continue
		}
		if l.ctx.Err() != nil || l.park() {
			return
		}
		l.schedule(&idleWait)
		select {
		case <-l.mailbox.ready:
		case <-idleWait.timer.C:
			idleWait.at = 0
		case <-l.ctx.Done():
			return
		}
	}
}

// wakeup is the timer that ends the goroutine's wait for events.
type wakeup struct {
	timer *time.Timer
	at    time.Duration // on the loop's clock
}

// schedule sets the wakeup to the next timer, or to the check for which the goroutine stays. One that is due earlier
// stays as it is.
func (l *loop) schedule(w *wakeup) {
	at, scheduled := l.timers.nextAt()
	check := l.suspension.nextCheckAt
	if check > 0 && (!scheduled || check < at) {
		at = check
		scheduled = true
	}
	if scheduled && (at < w.at || w.at <= l.now()) {
		w.at = at
		w.timer.Reset(max(0, at-l.now()))
	}
}

// eventBatch holds events that were taken from the mailbox.
type eventBatch struct {
	pending []event
	memory  []event // of the last batch, for the mailbox to use again
}

// refill takes a batch from the mailbox if none is pending. It reports whether events are pending.
func (b *eventBatch) refill(m *mailbox) bool {
	if len(b.pending) == 0 {
		clear(b.memory) // events that were handled must not be kept alive
		b.pending = m.takeNormal(b.memory)
		b.memory = b.pending
	}
	return len(b.pending) > 0
}

// next removes and returns up to most pending events.
func (b *eventBatch) next(most int) []event {
	count := min(len(b.pending), most)
	events := b.pending[:count]
	b.pending = b.pending[count:]
	return events
}

// applyEvents handles events, and before each of them those that are urgent.
func (l *loop) applyEvents(events []event) {
	for _, e := range events {
		l.applyUrgent()
		e.apply(l)
		l.reportPendingOutcomes()
	}
}

// applyUrgent handles the urgent events.
func (l *loop) applyUrgent() {
	for _, e := range l.mailbox.takeUrgent() {
		e.apply(l)
	}
}

// fireTimers handles the timers that have expired, and sweeps idle connections when that is due.
func (l *loop) fireTimers() {
	for t := l.timers.popExpired(l.now()); t != nil; t = l.timers.popExpired(l.now()) {
		l.fire(t)
		l.reportPendingOutcomes()
	}
	now := l.now()
	if now >= l.connections.nextSweepAt {
		l.connections.nextSweepAt = now + sweepInterval
		l.closeExpiredConnections(now)
		l.publishLevels()
	}
}

// fire handles a timer that has expired.
func (l *loop) fire(t *timer) {
	switch {
	case t.attempt != nil:
		l.stopWaiting(t.attempt, balancer.Timeout)
	case t.request != nil:
		for _, attempt := range t.request.attempts {
			l.stopWaiting(attempt, balancer.Timeout)
		}
	default:
		l.balancer.TimerFired(l.now(), t.token)
	}
}

// close ends what the loop has outside its goroutine, but for attempts in flight.
func (l *loop) close() {
	l.source.endClient()
	for _, endpoint := range l.endpoints {
		l.CloseIdle(endpoint.id)
	}
	l.registration.remove()
	if l.endpointStore != nil {
		go l.endpointStore.Close() // a disk may be slow
	}
}

// awaitReply waits for the loop's reply to an event that was handed to it. It fails if the loop has ended.
func awaitReply[T any](l *loop, reply <-chan T) (answer T, err error) {
	select {
	case answer = <-reply:
		return answer, nil
	case <-l.ctx.Done():
		return answer, errLoopStopped
	}
}
