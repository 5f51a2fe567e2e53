package proxy

import (
	"errors"
	"sync"
	"time"

	"olivearch/internal/hotrestart"
)

// peerState is how far a hot restart has come, in terms of the peer process.
type peerState int

const (
	peerStarting peerState = iota // has the listener, and does not serve yet
	peerServing                   // serves clients, as this process does
	peerFailed                    // its link ended before it served
	peerFinished                  // its link ended after it had served
)

// peerEvent is what changes a peerState.
type peerEvent int

const (
	peerBecameReady peerEvent = iota // it has announced that it serves
	peerLinkEnded
)

// after returns the state that follows an event. Events that mean nothing in a state leave it as it is.
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

// hasServed tells whether client connections are handed over to the peer, and not closed, when this process stops. A
// link that has ended meanwhile does not change that: the server finds out as it sends.
func (s peerState) hasServed() bool { return s == peerServing || s == peerFinished }

// Why a notification was not confirmed.
var (
	errPeerEnded     = errors.New("it has ended")
	errPeerNotInTime = errors.New("it does not answer")
)

// peerProcess is the other process of this balancer during a hot restart. Its methods may be called from any goroutine;
// only Balancer.followPeer receives from the link, and calls becameReady, acknowledged, snapshotArrived and linkEnded.
type peerProcess struct {
	link            *hotrestart.Link
	ended           chan struct{} // closed once the link has ended
	snapshot        chan struct{} // closed once the peer's snapshot has been restored
	snapshotArrived func()        // closes snapshot, once

	mu          sync.Mutex // guards the fields below
	state       peerState
	lastSerial  uint64                   // of the states sent
	pendingAcks map[uint64]chan struct{} // by serial; each is closed by its ack
}

func newPeerProcess(link *hotrestart.Link, state peerState) *peerProcess {
	snapshot := make(chan struct{})
	return &peerProcess{
		link:            link,
		ended:           make(chan struct{}),
		snapshot:        snapshot,
		snapshotArrived: sync.OnceFunc(func() { close(snapshot) }),
		state:           state,
		pendingAcks:     map[uint64]chan struct{}{},
	}
}

// notify sends a state of this process, and returns nil once the peer has applied it. It waits for peerAnswerTimeout at
// most.
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
	case <-p.ended:
		return errPeerEnded
	case <-time.After(peerAnswerTimeout):
		return errPeerNotInTime
	}
}

// expectAck returns the next serial and a channel that its ack closes.
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

// acknowledged ends the wait for the ack of a serial. One that nobody waits for any longer is ignored.
func (p *peerProcess) acknowledged(serial uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if applied, ok := p.pendingAcks[serial]; ok {
		close(applied)
		delete(p.pendingAcks, serial)
	}
}

// requestSnapshot asks for what the peer has learnt of the upstreams, and returns once that is restored. Without an
// answer within peerAnswerTimeout this process serves without it.
func (p *peerProcess) requestSnapshot() {
	if err := p.link.Send(hotrestart.Message{Kind: hotrestart.KindSnapshotRequest}, nil); err != nil {
		return
	}
	select {
	case <-p.snapshot:
	case <-p.ended:
	case <-time.After(peerAnswerTimeout):
	}
}

func (p *peerProcess) becameReady() { p.handle(peerBecameReady) }

func (p *peerProcess) linkEnded() {
	p.handle(peerLinkEnded)
	close(p.ended)
}

func (p *peerProcess) handle(event peerEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = p.state.after(event)
}

// hasServed is as that of its state.
func (p *peerProcess) hasServed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.hasServed()
}
