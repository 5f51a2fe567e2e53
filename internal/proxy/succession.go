package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/hotrestart"
)

// This file is about upgrades: a new process takes the place of the old one while both run, and for clients, upstreams
// and staff they are one balancer.

const (
	takeWithin = time.Second            // for the old process to answer a new one
	tellWithin = 300 * time.Millisecond // for the other process to apply what staff have said
	readyPause = 5 * time.Millisecond
)

// PreviousProcess is an old process that still serves, and what it handed over.
type PreviousProcess struct {
	Listener net.Listener
	state    hotrestart.Message
	link     *hotrestart.Link
}

// TakeOver asks the process that listens at path for what a new one needs to serve at an address.
func TakeOver(path, listen string) (*PreviousProcess, error) {
	link, err := hotrestart.Dial(path)
	if err != nil {
		return nil, err
	}
	p := &PreviousProcess{link: link}
	if err := p.take(listen); err != nil {
		link.Close()
		return nil, err
	}
	return p, nil
}

func (p *PreviousProcess) take(listen string) error {
	if err := p.link.Send(hotrestart.Message{Kind: hotrestart.KindTakeOver, Listen: listen}, nil); err != nil {
		return err
	}
	p.link.SetReadDeadline(time.Now().Add(takeWithin))
	m, file, err := p.link.Receive()
	if err != nil {
		return err
	}
	if file == nil {
		return errors.New("the old process has handed over no listener")
	}
	defer file.Close()
	if m.Kind != hotrestart.KindState || m.Listen != listen {
		return fmt.Errorf("the old process serves %q", m.Listen)
	}
	p.state = m
	p.link.SetReadDeadline(time.Time{})
	p.Listener, err = net.FileListener(file)
	return err
}

// sibling is the other process of this balancer, while there is one.
type sibling struct {
	link     *hotrestart.Link
	ready    atomic.Bool   // it serves
	ended    chan struct{} // closed once the link has
	mu       sync.Mutex
	serial   uint64
	acks     map[uint64]chan struct{}
	memory   chan struct{} // closed once it has told what it has learnt
	recalled func()
}

func newSibling(link *hotrestart.Link) *sibling {
	s := &sibling{link: link, ended: make(chan struct{}), acks: map[uint64]chan struct{}{}, memory: make(chan struct{})}
	s.recalled = sync.OnceFunc(func() { close(s.memory) })
	return s
}

// tell sends this process's state, and returns once the other has applied it or does not answer in time.
func (s *sibling) tell(m hotrestart.Message) error {
	done := make(chan struct{})
	s.mu.Lock()
	s.serial++
	m.Kind, m.Serial = hotrestart.KindState, s.serial
	s.acks[m.Serial] = done
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.acks, m.Serial)
		s.mu.Unlock()
	}()
	if err := s.link.Send(m, nil); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-s.ended:
		return errors.New("it has ended")
	case <-time.After(tellWithin):
		return errors.New("it does not answer")
	}
}

func (s *sibling) acknowledged(serial uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done, ok := s.acks[serial]; ok {
		close(done)
		delete(s.acks, serial)
	}
}

// follow takes what the other process tells until the link ends.
func (b *Balancer) follow(s *sibling) {
	defer func() {
		close(s.ended)
		b.other.CompareAndSwap(s, nil)
		s.link.Close()
	}()
	for {
		m, file, err := s.link.Receive()
		if err != nil {
			slog.Info("the link to the other process has ended", "why", err)
			return
		}
		switch m.Kind {
		case hotrestart.KindReady:
			s.ready.Store(true)
		case hotrestart.KindAck:
			s.acknowledged(m.Serial)
		case hotrestart.KindState:
			b.adoptState(m)
			s.link.Send(hotrestart.Message{Kind: hotrestart.KindAck, Serial: m.Serial}, nil) // if it fails so does the next Receive
		case hotrestart.KindClientConnection:
			b.welcome(file)
		case hotrestart.KindSnapshotRequest:
			m := b.pool.Snapshot()
			if err := s.link.Send(hotrestart.Message{Kind: hotrestart.KindSnapshot, Snapshot: &m}, nil); err != nil { // a fleet too large for a message
				slog.Warn("telling the other process what has been learnt", "err", err)
			}
		case hotrestart.KindSnapshot:
			if m.Snapshot != nil {
				b.pool.Restore(*m.Snapshot)
			}
			s.recalled()
		}
		if file != nil {
			file.Close()
		}
	}
}

// welcome serves a client's connection that the old process has handed over.
func (b *Balancer) welcome(file *os.File) {
	if file == nil {
		return
	}
	c, err := net.FileConn(file)
	if err != nil {
		slog.Warn("a client's connection was not taken over", "err", err)
		return
	}
	b.front.Take(c)
}

// state is what staff have said so far.
func (b *Balancer) state() hotrestart.Message {
	return hotrestart.Message{Kind: hotrestart.KindState, Listen: b.config.Listen, Standby: b.front.Drained(), Overrides: b.pool.LocalOverrides()}
}

// adoptState takes what staff have said to the other process.
func (b *Balancer) adoptState(m hotrestart.Message) {
	b.pool.MergeOverrides(m.Overrides)
	b.front.Drain(m.Standby)
}

// inform tells the other process, if there is one, what staff have said. A yes waits for it: the two count as one.
func (b *Balancer) inform() {
	if s := b.other.Load(); s != nil {
		if err := s.tell(b.state()); err != nil {
			slog.Warn("telling the other process", "err", err)
		}
	}
}

// await hands over to a new process that asks for it at path, now or later. It returns at once, and the listening ends with the
// context.
func (b *Balancer) await(ctx context.Context, path string) error {
	l, err := hotrestart.Listen(path)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	go func() {
		for {
			link, err := l.Accept()
			if err != nil {
				return
			}
			go b.bequeath(link)
		}
	}()
	return nil
}

// bequeath gives a new process what it asks for.
func (b *Balancer) bequeath(link *hotrestart.Link) {
	link.SetReadDeadline(time.Now().Add(takeWithin))
	m, file, err := link.Receive()
	if file != nil {
		file.Close()
	}
	listener, ok := b.front.Listener().(*net.TCPListener)
	if err != nil || m.Kind != hotrestart.KindTakeOver || m.Listen != b.config.Listen || !ok {
		slog.Warn("a process that asked to take over was sent away", "err", err, "listen", m.Listen)
		link.Close()
		return
	}
	link.SetReadDeadline(time.Time{})
	s := newSibling(link)
	if err := link.Send(b.state(), listener); err != nil {
		slog.Warn("handing over", "err", err)
	}
	// What staff say is told to it from now on, and not before: a state without the listener would pass for the answer. What
	// they have said meanwhile is told once more.
	b.other.Store(s)
	go b.inform()
	b.follow(s)
}

// succeed serves beside the old process from the moment that this one is ready.
func (b *Balancer) succeed(ctx context.Context, p *PreviousProcess) {
	s := newSibling(p.link)
	s.ready.Store(true)
	b.other.Store(s)
	go b.follow(s)
	for !b.listed() {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(readyPause)
	}
	if err := p.link.Send(hotrestart.Message{Kind: hotrestart.KindSnapshotRequest}, nil); err == nil {
		select {
		case <-s.memory:
		case <-s.ended:
		case <-time.After(tellWithin): // it serves without
		}
	}
	b.began.Store(true)
	if err := p.link.Send(hotrestart.Message{Kind: hotrestart.KindReady}, nil); err != nil {
		slog.Warn("telling the old process that this one serves", "err", err)
	}
}
