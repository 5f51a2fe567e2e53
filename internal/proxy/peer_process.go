package proxy

import (
	"errors"
	"sync"
	"time"

	"olivearch/internal/hotrestart"
)

// peerState is the state of the peer process in a hot restart.
type peerState int

const (
	peerStarting peerState = iota // has the listener, but does not serve yet
	peerServing                   // serves clients beside this process
	peerFailed                    // its link ended before it had served
	peerFinished                  // its link ended after it had served
)

// peerEvent is an event that may change a peerState.
type peerEvent int

const (
	peerBecameReady peerEvent = iota // it has announced that it is ready to serve
	peerLinkEnded
)

// after returns the state that follows an event. An event that does not apply to a state leaves it unchanged.
func (s peerState) after(event peerEvent) peerState {
	switch {
	case s == peerStarting && event == peerBecameReady:
		return peerServing
	case s == peerStarting && event == peerLinkEnded:
		return peerFailed
	case s == peerServing && event == peerLinkEnded:
		return peerFinished
	}
	return s
}

// hasServed reports whether the peer serves or has served. If so, this process hands its client connections over to the
// peer when it stops, instead of closing them. It does so even if the link has ended: the server finds out by the
// failure to send.
func (s peerState) hasServed() bool { return s == peerServing || s == peerFinished }

// Errors of notify.
var (
	errPeerLinkEnded = errors.New("the link to the peer process ended")
	errPeerTimeout   = errors.New("the peer process did not acknowledge the state in time")
)

// peerProcess is the other process of this balancer during a hot restart. Its methods may be called from any goroutine.
// Only Balancer.followPeer receives from the link, and calls handleReady, handleAck, handleLinkEnd and
// markSnapshotRestored.
type peerProcess struct {
	link                 *hotrestart.Link
	linkEnded            chan struct{} // closed once the link has ended
	snapshotRestored     chan struct{} // closed once the peer's snapshot has been restored
	markSnapshotRestored func()        // closes snapshotRestored; further calls have no effect

	mu          sync.Mutex // guards the fields below
	state       peerState
	lastSerial  uint64                   // serial of the last state sent
	pendingAcks map[uint64]chan struct{} // by the serial of the state; closed by its ack
}

func newPeerProcess(link *hotrestart.Link, state peerState) *peerProcess {
	snapshot := make(chan struct{})
	return &peerProcess{
		link:                 link,
		linkEnded:            make(chan struct{}),
		snapshotRestored:     snapshot,
		markSnapshotRestored: sync.OnceFunc(func() { close(snapshot) }),
		state:                state,
		pendingAcks:          map[uint64]chan struct{}{},
	}
}

// notify sends a state of this process, and returns nil once the peer has acknowledged it. It waits for the ack for at
// most peerAnswerTimeout.
func (p *peerProcess) notify(state hotrestart.Message) error {
	state.Kind = hotrestart.KindState
	serial, applied := p.expectAck()
	defer p.forgetAck(serial)
	state.Serial = serial
	if err := p.link.Send(state, nil); err != nil {
		return err
	}
	select {
	case <-applied:
		return nil
	case <-p.linkEnded:
		return errPeerLinkEnded
	case <-time.After(peerAnswerTimeout):
		return errPeerTimeout
	}
}

// expectAck returns the next serial and a channel that is closed by its ack.
func (p *peerProcess) expectAck() (serial uint64, applied <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSerial++
	ack := make(chan struct{})
	p.pendingAcks[p.lastSerial] = ack
	return p.lastSerial, ack
}

func (p *peerProcess) forgetAck(serial uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingAcks, serial)
}

// handleAck ends the wait for the ack of a serial. The ack of a serial that is not awaited is ignored.
func (p *peerProcess) handleAck(serial uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if applied, ok := p.pendingAcks[serial]; ok {
		close(applied)
		delete(p.pendingAcks, serial)
	}
}

// requestSnapshot requests the snapshot of the peer's pool, and returns once it is restored. If that takes longer than
// peerAnswerTimeout, this process serves without the snapshot.
func (p *peerProcess) requestSnapshot() {
	if err := p.link.Send(hotrestart.Message{Kind: hotrestart.KindSnapshotRequest}, nil); err != nil {
		return
	}
	select {
	case <-p.snapshotRestored:
	case <-p.linkEnded:
	case <-time.After(peerAnswerTimeout):
	}
}

func (p *peerProcess) handleReady() { p.handleEvent(peerBecameReady) }

func (p *peerProcess) handleLinkEnd() {
	p.handleEvent(peerLinkEnded)
	close(p.linkEnded)
}

func (p *peerProcess) handleEvent(event peerEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = p.state.after(event)
}

func (p *peerProcess) hasServed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.hasServed()
}
