// Package relay stands between processes on this machine: every ordered pair of a caller and a service has a link of its own, and
// a link can be cut, slowed, throttled or made to lose and reset things, in each direction apart.
//
// A caller is known by an address of its own in 127.0.0.0/8: where it is told a service's address, the host is the caller's and
// the port the service's. One socket a service, bound to the loopback interface, serves all callers. A connection that must not
// come up is a matter of the system's: a listener at that very address whose queue is full leaves the caller's SYN unanswered.
package relay

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"golang.org/x/time/rate"
	"olivearch/internal/acceptqueue"
)

const (
	dialWithin = 2 * time.Second
	backlog    = 4096
)

// Address is the address of a caller: 127.1.0.1 for 0, and so on for up to 65,000.
func Address(caller int) netip.Addr {
	v := caller + 1
	return netip.AddrFrom4([4]byte{127, 1, byte(v >> 8), byte(v)})
}

// Caller is the caller that has an address.
func Caller(a netip.Addr) (int, bool) {
	b := a.Unmap().As4()
	return (int(b[2])<<8 | int(b[3])) - 1, b[0] == 127 && b[1] == 1
}

// Relay is a set of services and the links to them.
type Relay struct {
	seed  uint64
	bound *rate.Limiter // of pieces over all links; nil: none

	mu       sync.Mutex
	links    map[pair]*link
	services []*Service
	holes    Holes

	leaks   atomic.Int64
	moved   atomic.Int64
	starved atomic.Int64
}

// pair names a link.
type pair struct {
	caller  int
	service *Service
}

// link is a pair's path.
type link struct {
	there, back *way
	mu          sync.Mutex
	conns       map[*Conn]bool
}

// New returns a relay. The seed draws what faults leave to chance; pieces, if over 0, bounds what it moves in a second over all
// links: what a relay looks like that is itself too slow. holes keeps connections from coming up; nil: this process does.
func New(seed uint64, pieces float64, holes Holes) *Relay {
	if holes == nil {
		holes = NewHoles()
	}
	r := &Relay{seed: seed, links: map[pair]*link{}, holes: holes}
	if pieces > 0 {
		r.bound = rate.NewLimiter(rate.Limit(pieces), 1)
	}
	return r
}

// slowed waits for the relay's own bound.
func (r *Relay) slowed(ended <-chan struct{}) {
	r.moved.Add(1)
	if r.bound == nil {
		return
	}
	d := r.bound.Reserve().Delay()
	select {
	case <-time.After(d):
	case <-ended:
	}
}

// Leaks counts connections that came up although their link was cut, and were reset at once; Moved counts pieces.
func (r *Relay) Leaks() int64 { return r.leaks.Load() }

// Starved counts how often a connection had to wait because this process had no descriptor left.
func (r *Relay) Starved() int64 { return r.starved.Load() }

// Moved counts the pieces that were moved.
func (r *Relay) Moved() int64 { return r.moved.Load() }

func (r *Relay) link(p pair) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[p]
	if l == nil {
		l = &link{conns: map[*Conn]bool{}}
		l.there, l.back = newWay(r.drawing(p, 0)), newWay(r.drawing(p, 1))
		r.links[p] = l
	}
	return l
}

// drawing returns the random numbers of a direction.
func (r *Relay) drawing(p pair, direction uint64) func() float64 {
	h := fnv.New64a()
	fmt.Fprint(h, p.caller, " ", p.service.Name, " ", direction)
	return rand.New(rand.NewPCG(r.seed, h.Sum64())).Float64
}

// Service is something that callers reach through the relay.
type Service struct {
	Name   string
	relay  *Relay
	port   int
	keeper int          // descriptor of the socket that keeps the port
	target atomic.Value // string: host and port where the service listens, or listened last
	mu     sync.Mutex
	l      *net.TCPListener // nil: connections are refused
	ended  chan struct{}    // closed when l has been closed
	byPort sync.Map         // the relay's port towards the service -> *Conn
	opened int              // connections that have come up
	open   int              // of these, still open
	most   int              // at once
}

// Serve adds a service, which is down until it has a target.
func (r *Relay) Serve(name string) (*Service, error) {
	s := &Service{Name: name, relay: r}
	s.target.Store("")
	// The port is kept by a socket that is bound and does not listen: connections to it are refused while the service is down.
	fd, err := bound(netip.AddrPortFrom(netip.IPv4Unspecified(), 0))
	if err != nil {
		return nil, fmt.Errorf("relay: %s: %w", name, err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("relay: %s: %w", name, err)
	}
	s.port, s.keeper = sa.(*unix.SockaddrInet4).Port, fd
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = append(r.services, s)
	return s, nil
}

// At is where a caller reaches the service.
func (s *Service) At(caller int) string {
	return netip.AddrPortFrom(Address(caller), uint16(s.port)).String()
}

// lastAccepts is how long a service that goes down still accepts connections, so that those that have come up are not
// reset.
const lastAccepts = 5 * time.Millisecond

// Point says where the service listens now; empty: nobody does, and connections are refused. Connections that came up
// before reach the process that listened then.
func (s *Service) Point(target string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target == "" {
		return s.refuse()
	}
	s.target.Store(target)
	if s.l != nil {
		return nil
	}
	l, err := listener(netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(s.port)))
	if err != nil {
		return fmt.Errorf("relay: %s: %w", s.Name, err)
	}
	s.l = l.(*net.TCPListener)
	s.ended = make(chan struct{})
	go s.accept(s.l, s.ended)
	return nil
}

// refuse accepts the connections that have come up and closes the listener. The caller holds the lock.
func (s *Service) refuse() error {
	if s.l == nil {
		return nil
	}
	if err := s.l.SetDeadline(time.Now().Add(lastAccepts)); err != nil {
		return fmt.Errorf("relay: %s: %w", s.Name, err)
	}
	<-s.ended
	s.l = nil
	return nil
}

// accept takes connections until the listener's deadline has passed, and closes it.
func (s *Service) accept(l *net.TCPListener, ended chan<- struct{}) {
	defer close(ended)
	defer l.Close()
	defer acceptqueue.Drain(l, func(c net.Conn) { go s.connect(c) })
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			go s.connect(c)
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			s.relay.starved.Add(1)
			time.Sleep(time.Millisecond) // others close
		default:
			return
		}
	}
}

// connect makes a caller's connection one with the service.
func (s *Service) connect(c net.Conn) {
	at := c.LocalAddr().(*net.TCPAddr).AddrPort().Addr()
	caller, known := Caller(at)
	if !known {
		reset(c)
		return
	}
	l := s.relay.link(pair{caller, s})
	if l.cut() { // its SYN came before the hole was there
		s.relay.leaks.Add(1)
		reset(c)
		return
	}
	d := net.Dialer{Timeout: dialWithin, LocalAddr: &net.TCPAddr{IP: at.AsSlice()}}
	to, err := d.DialContext(context.Background(), "tcp", s.target.Load().(string))
	if err != nil {
		reset(c)
		return
	}
	x := &Conn{Caller: caller, caller: c, service: to, ended: make(chan struct{})}
	s.byPort.Store(to.LocalAddr().(*net.TCPAddr).AddrPort(), x)
	l.mu.Lock()
	l.conns[x] = true
	l.mu.Unlock()
	s.count(1)
	defer s.count(-1)
	var both sync.WaitGroup
	both.Go(s.pump(x, l.there, c, to, &x.there, true))
	both.Go(s.pump(x, l.back, to, c, &x.back, false))
	both.Wait()
	x.finish()
	l.mu.Lock()
	delete(l.conns, x)
	l.mu.Unlock()
}

// count counts a connection that has come up, or one that has ended.
func (s *Service) count(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += by
	s.opened += max(0, by)
	s.most = max(s.most, s.open)
}

// Connections tells how many connections to the service have come up, and how many were open at once at most.
func (s *Service) Connections() (opened, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened, s.most
}

// pump returns what moves one direction until it ends, and what was held back has gone on.
func (s *Service) pump(c *Conn, w *way, from, to net.Conn, passed *passage, forward bool) func() {
	p := &pump{c: c, relay: s.relay, way: w, from: from, to: to, passed: passed, forward: forward, room: make(chan struct{}, 1)}
	return func() {
		p.run()
		p.drains.Wait()
	}
}

// Find returns the connection that came to the service from a port of the relay's, in a caller's name; nil: none did.
func (s *Service) Find(caller int, port uint16) *Conn {
	x, ok := s.byPort.Load(netip.AddrPortFrom(Address(caller), port))
	if !ok {
		return nil
	}
	return x.(*Conn)
}

func (l *link) cut() bool {
	f, _ := l.there.now()
	g, _ := l.back.now()
	return f.Cut || g.Cut
}

// Change is what is to hold on a link from now on.
type Change struct {
	Caller  int
	Service *Service
	There   Faults // from the caller to the service
	Back    Faults
}

// Set puts other faults on links. It returns once no connection can come up on those that are cut.
func (r *Relay) Set(changes ...Change) {
	var dig, fill []netip.AddrPort
	for _, c := range changes {
		l := r.link(pair{c.Caller, c.Service})
		before := l.cut()
		l.there.set(c.There)
		l.back.set(c.Back)
		switch at := netip.AddrPortFrom(Address(c.Caller), uint16(c.Service.port)); {
		case l.cut() && !before:
			dig = append(dig, at)
		case before && !l.cut():
			fill = append(fill, at)
		}
	}
	if len(dig) > 0 {
		r.holes.Dig(dig)
	}
	if len(fill) > 0 {
		r.holes.Fill(fill)
	}
}

// Open counts a caller's open connections to a service.
func (r *Relay) Open(caller int, s *Service) int {
	l := r.link(pair{caller, s})
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Reset resets a caller's open connections to a service, now.
func (r *Relay) Reset(caller int, s *Service) int {
	l := r.link(pair{caller, s})
	l.mu.Lock()
	var all []*Conn
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		c.cutOff()
	}
	return len(all)
}

// Close ends everything.
func (r *Relay) Close() {
	r.mu.Lock()
	services, links := r.services, r.links
	r.mu.Unlock()
	for _, s := range services {
		s.Point("")
		unix.Close(s.keeper)
	}
	r.holes.Close()
	for _, l := range links {
		l.mu.Lock()
		for c := range l.conns {
			go c.abort()
		}
		l.mu.Unlock()
	}
}

// bound makes a socket of the loopback interface at an address; the wildcard address then means all of 127.0.0.0/8.
func bound(at netip.AddrPort) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return -1, err
	}
	sa := &unix.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	// Those who listen at a port that is kept have one of the two set: Go's listeners the first.
	err = errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1),
		unix.BindToDevice(fd, "lo"))
	if err == nil {
		err = unix.Bind(fd, sa)
	}
	if err != nil {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// listener listens at an address of the loopback interface.
func listener(at netip.AddrPort) (net.Listener, error) {
	fd, err := bound(at)
	if err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, backlog); err != nil {
		unix.Close(fd)
		return nil, err
	}
	file := os.NewFile(uintptr(fd), at.String())
	defer file.Close() // the listener has a descriptor of its own
	return net.FileListener(file)
}

// Reserve keeps a port of a caller's own address for a process that will listen there, until the returned function is called.
func Reserve(caller int) (netip.AddrPort, func(), error) {
	fd, err := bound(netip.AddrPortFrom(Address(caller), 0))
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("relay: a port of %v: %w", Address(caller), err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		unix.Close(fd)
		return netip.AddrPort{}, nil, fmt.Errorf("relay: a port of %v: %w", Address(caller), err)
	}
	port := sa.(*unix.SockaddrInet4).Port
	return netip.AddrPortFrom(Address(caller), uint16(port)), func() { unix.Close(fd) }, nil
}
