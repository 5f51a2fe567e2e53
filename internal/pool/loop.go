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
	// maxBatch is the maximum number of events that are handled between two checks of the timers.
	maxBatch = 64
	// sweepInterval is how often the loop closes expired idle connections and publishes gauges.
	sweepInterval = time.Second
)

// event is an occurrence outside the loop. apply changes the loop's state; it runs on the loop's goroutine and must not
// block.
type event interface{ apply(l *loop) }

// loop is a pool's event loop: one goroutine that owns the balancer and everything in this struct, and handles one
// event at a time. It blocks only while it waits for the next event or timer. Operations that may block run in other
// goroutines and send an event when they are done. Other goroutines may only call enqueue, enqueueUrgent, now and the
// log writer, and read the context and the atomics.
//
// The goroutine ends while there is nothing to do (suspend.go). The mailbox starts the next one; there are never two at
// a time.
type loop struct {
	ctx     context.Context // stops the loop when it ends
	mailbox *mailbox
	log     logWriter
	origin  time.Time     // when the loop was created
	epoch   time.Duration // Unix time at origin

	balancer        *balancer.Balancer // nil: the pool is dormant
	settings        balancer.Settings
	timers          timerQueue
	pendingOutcomes []pendingOutcome // reported once the balancer has returned from its call
	suspension      suspension
	counters        counters
	tracing         tracing

	source         listSource
	endpointStore  EndpointStore // nil: lists are not stored
	names          *discovery.Numbering
	endpoints      map[balancer.UpstreamID]*endpoint
	preallocated   []endpoint     // for the endpoints of a balancer that is being created
	listGeneration uint64         // number of lists applied to endpoints so far
	overrides      override.Table // set by operators
	registration   *registration  // nil: no EndpointRegistry; no other pool uses the endpoints

	requests            map[balancer.RequestID]*Request
	lastRequestID       uint64
	clientRequestIDs    requestIDs
	fullResponses       bool // Spec.FullResponses
	wholeResponseInTime bool // Spec.WholeResponseInTime

	connections  connectionPool
	streams      int // number of attempts whose response is streamed
	maxStreams   int // Spec.MaxStreams
	tunnels      map[*attempt]struct{}
	tunnelLimits TunnelLimits
}

func newLoop(ctx context.Context, spec Spec) *loop {
	created := &loop{
		ctx:              ctx,
		mailbox:          newMailbox(),
		origin:           time.Now(),
		suspension:       newSuspension(spec.Seed),
		names:            discovery.NewNumbering(),
		requests:         map[balancer.RequestID]*Request{},
		clientRequestIDs: newRequestIDs(),
		endpoints:        map[balancer.UpstreamID]*endpoint{},
		tunnels:          map[*attempt]struct{}{},
	}
	created.connections.reuse.recognition = upstream.NewRecognition()
	created.applyLimits(spec)
	created.endpointStore = spec.EndpointStore
	// The clock is Unix time at the start, advanced by the monotonic clock. Timestamps from discovery therefore
	// apply directly, even those from before this process, and setting the machine's clock does not change it.
	created.epoch = time.Duration(clock.Now().UnixNano())
	created.source.receivedAt = created.now()
	created.followDiscovery(spec.Discovery)
	return created
}

// applyLimits applies the parts of a Spec that may change while the loop runs.
func (l *loop) applyLimits(spec Spec) {
	l.settings = spec.Settings
	l.source.maxAge = spec.MaxEndpointAge
	l.fullResponses = spec.FullResponses
	l.wholeResponseInTime = spec.WholeResponseInTime
	l.tunnelLimits = spec.Tunnels
	l.maxStreams = spec.MaxStreams
	l.connections.transport = upstream.HTTP1{
		ConnectTimeout: spec.ConnectionSettings.ConnectTimeout,
		FullResponses:  spec.FullResponses,
		Memory:         spec.ResponseMemory,
		Recognition:    l.connections.reuse.recognition,
	}
	l.connections.max = spec.MaxConnections
	l.connections.mayBeFree = true
	l.connections.idleTimeout = max(spec.ConnectionSettings.KeepAlive-idleMargin, spec.ConnectionSettings.KeepAlive/2)
	l.connections.reuse.onlyAfterUnsolicited = spec.ReuseDelayOnlyAfterUnsolicited
}

// now returns the time on the loop's clock. Any goroutine may call it.
func (l *loop) now() time.Duration { return l.epoch + time.Since(l.origin) }

// enqueue queues an event for the loop. Any goroutine may call it.
func (l *loop) enqueue(e event) { l.mailbox.enqueue(e) }

// enqueueUrgent queues an event that is handled before all others: a list, an allotment or an operator's command.
// Therefore nothing is sent to an endpoint once the pool has been told that it drains, and operators get a response
// under any load. Any goroutine may call it.
func (l *loop) enqueueUrgent(e event) { l.mailbox.enqueueUrgent(e) }

// start creates the balancer, unless the first request is to create it, and applies the list that was stored before the
// start; nil: none.
func (l *loop) start(known *discovery.Listing) error {
	// The revision must be set before the balancer starts to watch. Without it the first call asks for the complete
	// list, which costs discovery hundreds of lines per balancer; if all balancers start together, discovery then
	// refuses the watches queued behind these calls. Revision 0 is a valid revision.
	hasRevision := known != nil && (known.Revision > 0 || len(known.Members) > 0)
	if hasRevision && l.source.client != nil {
		l.source.client.AssumeRevision(known.Revision)
	}
	if err := l.createOrValidate(); err != nil {
		return err
	}
	if known != nil {
		l.applyListing(balancer.ListCached, *known)
		l.source.isStored = true
	}
	if !l.settings.PollDiscovery { // the balancer does not ask for a pushed list
		l.WatchEndpoints(true)
	}
	return nil
}

// createOrValidate creates the balancer, or validates the settings if the first request is to create the balancer.
func (l *loop) createOrValidate() error {
	if l.canSuspend() {
		return l.settings.Validate()
	}
	return l.createBalancer()
}

// run is the loop's goroutine. It handles events and timers until the context ends or the loop is parked.
func (l *loop) run() {
	l.stopWakeTimer()
	idleWait := wakeup{timer: time.NewTimer(0), at: l.now()}
	defer idleWait.timer.Stop()
	var batch eventBatch
	for {
		l.applyUrgent()
		l.expireTimers(&batch)
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

// wakeup is the timer that ends the wait for events.
type wakeup struct {
	timer *time.Timer
	at    time.Duration // on the loop's clock
}

// schedule sets the wakeup to the next timer or to nextCheckAt, whichever is earlier. A wakeup that is pending and due
// no later is kept.
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

// eventBatch holds events taken from the mailbox.
type eventBatch struct {
	pending []event
	memory  []event // of the last batch; the mailbox reuses it
}

// refill takes a batch from the mailbox if no event is pending. It reports whether events are pending.
func (b *eventBatch) refill(m *mailbox) bool {
	if len(b.pending) == 0 {
		clear(b.memory) // so that handled events can be freed
		b.pending = m.takeNormal(b.memory)
		b.memory = b.pending
	}
	return len(b.pending) > 0
}

// next removes and returns up to limit pending events.
func (b *eventBatch) next(limit int) []event {
	count := min(len(b.pending), limit)
	events := b.pending[:count]
	b.pending = b.pending[count:]
	return events
}

// applyEvents handles events, and the urgent events before each of them.
func (l *loop) applyEvents(events []event) {
	for _, e := range events {
		l.applyUrgent()
		e.apply(l)
		l.reportPendingOutcomes()
	}
}

func (l *loop) applyUrgent() {
	for _, e := range l.mailbox.takeUrgent() {
		e.apply(l)
	}
}

// fireTimers handles expired timers, and closes expired idle connections once per sweepInterval.
func (l *loop) fireTimers() {
	for t := l.timers.popExpired(l.now()); t != nil; t = l.timers.popExpired(l.now()) {
		l.fire(t)
		l.reportPendingOutcomes()
	}
	now := l.now()
	if now >= l.connections.nextSweepAt {
		l.connections.nextSweepAt = now + sweepInterval
		l.closeExpiredConnections(now)
		l.publishGauges()
	}
}

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

// close releases what the loop holds outside its goroutine, except attempts in flight.
func (l *loop) close() {
	l.source.endClient()
	for _, endpoint := range l.endpoints {
		l.CloseIdle(endpoint.id)
	}
	l.registration.remove()
	if l.endpointStore != nil {
		go l.endpointStore.Close() // may block on the disk
	}
}

// awaitReply waits for the loop's reply to an event. It fails with errLoopStopped if the loop has ended.
func awaitReply[T any](l *loop, reply <-chan T) (answer T, err error) {
	select {
	case answer = <-reply:
		return answer, nil
	case <-l.ctx.Done():
		return answer, errLoopStopped
	}
}
