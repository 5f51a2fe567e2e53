package pool

import (
	"sync"
	"sync/atomic"
)

// mailbox passes events to the loop, which takes them in batches: a channel would cost a goroutine switch per event
// under load. Enqueueing never blocks. The number of queued events is bounded by the number of requests, attempts and
// health checks.
//
// Any goroutine may enqueue; only one consumer goroutine at a time may take events. If consume is set, the mailbox
// starts the consumer when an event arrives and none is running.
type mailbox struct {
	mu        sync.Mutex
	normal    []event
	urgent    []event
	hasUrgent atomic.Bool   // lets takeUrgent avoid the lock
	consume   func()        // body of the consumer goroutine; nil: the mailbox starts none
	consuming bool          // the consumer goroutine is running
	ready     chan struct{} // holds a value while events may be waiting
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// enqueue adds a normal event.
func (m *mailbox) enqueue(e event) {
	m.mu.Lock()
	m.normal = append(m.normal, e)
	m.signalAndUnlock()
}

// enqueueUrgent adds an event that is handled before all normal ones.
func (m *mailbox) enqueueUrgent(e event) {
	m.mu.Lock()
	m.urgent = append(m.urgent, e)
	m.hasUrgent.Store(true)
	m.signalAndUnlock()
}

// signalAndUnlock starts the consumer, or signals the running one, and releases the lock, which the caller holds.
func (m *mailbox) signalAndUnlock() {
	start := m.consume != nil && !m.consuming
	if start {
		m.consuming = true
	}
	m.mu.Unlock()
	if start {
		go m.consume()
		return
	}
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// start sets the consumer and starts it, to handle the events that are already queued.
func (m *mailbox) start(consume func()) {
	m.mu.Lock()
	m.consume = consume
	m.signalAndUnlock()
}

// wake starts the consumer without an event. A parked loop's wake timer calls it.
func (m *mailbox) wake() {
	m.mu.Lock()
	m.signalAndUnlock()
}

// stopConsuming marks the consumer as stopped unless an event is queued; false: the consumer has to continue. After
// true the caller must not touch what it shares with the consumer, because the next consumer may already be running.
func (m *mailbox) stopConsuming() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.consuming = len(m.normal) > 0 || len(m.urgent) > 0
	return !m.consuming
}

// takeNormal removes and returns the normal events. The mailbox queues further events in spare's memory.
func (m *mailbox) takeNormal(spare []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.normal
	m.normal = spare[:0]
	return batch
}

// takeUrgent removes and returns the urgent events.
func (m *mailbox) takeUrgent() []event {
	if !m.hasUrgent.Load() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.urgent
	m.urgent = nil
	m.hasUrgent.Store(false)
	return batch
}
