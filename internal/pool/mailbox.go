package pool

import (
	"sync"
	"sync/atomic"
)

// mailbox brings events to the loop, which takes them in batches: under load a channel would cost a turn of the scheduler for
// each. Who posts never waits. What can be in it is bounded by the requests, attempts and probes that there are.
type mailbox struct {
	mu        sync.Mutex
	normal    []event
	urgent    []event
	hasUrgent atomic.Bool   // there is something urgent
	consume   func()        // takes what comes, from a goroutine that is started when something has come; nil: somebody always does
	consuming bool          // it has been started and has not left
	ready     chan struct{} // holds a word while there is something in an empty mailbox
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// enqueue adds an event.
func (m *mailbox) enqueue(e event) {
	m.mu.Lock()
	m.normal = append(m.normal, e)
	m.signalAndUnlock()
}

// enqueueUrgent adds an event that goes before all that is not urgent.
func (m *mailbox) enqueueUrgent(e event) {
	m.mu.Lock()
	m.urgent = append(m.urgent, e)
	m.hasUrgent.Store(true)
	m.signalAndUnlock()
}

// signalAndUnlock tells the taker that there is something, or starts it. It gives the lock back, which its caller has taken.
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

// start begins to start the taker, also for what has come before.
func (m *mailbox) start(taker func()) {
	m.mu.Lock()
	m.consume = taker
	m.signalAndUnlock()
}

// wake lets the taker look at its clock.
func (m *mailbox) wake() {
	m.mu.Lock()
	m.signalAndUnlock()
}

// stopConsuming ends the taker's turn. It must touch nothing then: the next may have been started already. false: something has come, and
// the turn goes on.
func (m *mailbox) stopConsuming() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.consuming = len(m.normal) > 0 || len(m.urgent) > 0
	return !m.consuming
}

// takeNormal returns what has come, and leaves spare in its place.
func (m *mailbox) takeNormal(spare []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.normal
	m.normal = spare[:0]
	return batch
}

// takeUrgent returns what is urgent.
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
