package pool

import (
	"sync"
	"sync/atomic"
)

// mailbox brings events to the loop, which takes them in batches: under load a channel would cost a switch of
// goroutines for each event. Enqueueing never waits. The number of queued events is bounded by the requests, attempts
// and health checks that there are.
//
// Any goroutine may enqueue; one consumer goroutine at a time takes. A mailbox with a consume function starts that
// goroutine when an event comes and none runs.
type mailbox struct {
	mu        sync.Mutex
	normal    []event
	urgent    []event
	hasUrgent atomic.Bool   // spares takeUrgent the lock
	consume   func()        // runs in a goroutine that the mailbox starts; nil: somebody always consumes
	consuming bool          // that goroutine has been started and has not stopped
	ready     chan struct{} // has one entry once something was enqueued
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// enqueue adds an event.
func (m *mailbox) enqueue(e event) {
	m.mu.Lock()
	m.normal = append(m.normal, e)
	m.signalAndUnlock()
}

// enqueueUrgent adds an event that is handled before all that are not urgent.
func (m *mailbox) enqueueUrgent(e event) {
	m.mu.Lock()
	m.urgent = append(m.urgent, e)
	m.hasUrgent.Store(true)
	m.signalAndUnlock()
}

// signalAndUnlock starts the consumer or signals the one that runs, and releases the lock, which the caller holds.
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

// start makes the mailbox start its consumer from now on, also for the events that it holds already.
func (m *mailbox) start(consume func()) {
	m.mu.Lock()
	m.consume = consume
	m.signalAndUnlock()
}

// wake runs the consumer although no event has come: a timer of its own is due.
func (m *mailbox) wake() {
	m.mu.Lock()
	m.signalAndUnlock()
}

// stopConsuming ends the consumer's turn; false: an event has come, and the consumer has to go on. After true the
// caller must touch nothing that it shares with the consumer, since the next one may run already.
func (m *mailbox) stopConsuming() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.consuming = len(m.normal) > 0 || len(m.urgent) > 0
	return !m.consuming
}

// takeNormal returns the events that are not urgent. The mailbox goes on with spare's memory.
func (m *mailbox) takeNormal(spare []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.normal
	m.normal = spare[:0]
	return batch
}

// takeUrgent returns the urgent events.
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
