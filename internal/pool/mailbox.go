package pool

import (
	"sync"
	"sync/atomic"
)

// mailbox brings events to the loop, which takes them in batches: under load a channel would cost a turn of the scheduler for
// each. Who posts never waits. What can be in it is bounded by the requests, attempts and probes that there are.
type mailbox struct {
	mu     sync.Mutex
	usual  []event
	urgent []event
	hurry  atomic.Bool   // there is something urgent
	ready  chan struct{} // holds a word while there is something in an empty mailbox
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// post adds an event.
func (m *mailbox) post(e event) {
	m.mu.Lock()
	m.usual = append(m.usual, e)
	m.mu.Unlock()
	m.wake()
}

// hand adds an event that goes before all that is not urgent.
func (m *mailbox) hand(e event) {
	m.mu.Lock()
	m.urgent = append(m.urgent, e)
	m.hurry.Store(true)
	m.mu.Unlock()
	m.wake()
}

func (m *mailbox) wake() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns what has come, and leaves spare in its place.
func (m *mailbox) take(spare []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.usual
	m.usual = spare[:0]
	return batch
}

// rush returns what is urgent.
func (m *mailbox) rush() []event {
	if !m.hurry.Load() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := m.urgent
	m.urgent = nil
	m.hurry.Store(false)
	return batch
}
