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
	taker  func()        // takes what comes, from a goroutine that is started when something has come; nil: somebody always does
	taking bool          // it has been started and has not left
	ready  chan struct{} // holds a word while there is something in an empty mailbox
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// post adds an event.
func (m *mailbox) post(e event) {
	m.mu.Lock()
	m.usual = append(m.usual, e)
	m.wake()
}

// hand adds an event that goes before all that is not urgent.
func (m *mailbox) hand(e event) {
	m.mu.Lock()
	m.urgent = append(m.urgent, e)
	m.hurry.Store(true)
	m.wake()
}

// wake tells the taker that there is something, or starts it. It gives the lock back, which its caller has taken.
func (m *mailbox) wake() {
	start := m.taker != nil && !m.taking
	if start {
		m.taking = true
	}
	m.mu.Unlock()
	if start {
		go m.taker()
		return
	}
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// open begins to start the taker, also for what has come before.
func (m *mailbox) open(taker func()) {
	m.mu.Lock()
	m.taker = taker
	m.wake()
}

// rouse lets the taker look at its clock.
func (m *mailbox) rouse() {
	m.mu.Lock()
	m.wake()
}

// leave ends the taker's turn. It must touch nothing then: the next may have been started already. false: something has come, and
// the turn goes on.
func (m *mailbox) leave() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taking = len(m.usual) > 0 || len(m.urgent) > 0
	return !m.taking
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
