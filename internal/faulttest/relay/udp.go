package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// datagramMost is the largest payload of UDP over IPv4.
const datagramMost = 65507

// Datagrams is a service that callers send datagrams to. What it sends back to where one came from goes the link's other way.
type Datagrams struct {
	service *Service
	target  netip.AddrPort
	conn    *net.UDPConn
	mu      sync.Mutex
	paths   map[path]*net.UDPConn
}

// path is a caller's socket.
type path struct {
	caller int
	from   netip.AddrPort
}

// Carry relays datagrams for the service, at the same port, to a target. It ends with Close.
func (s *Service) Carry(target netip.AddrPort) (*Datagrams, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, fmt.Errorf("relay: %s: %w", s.Name, err)
	}
	file := os.NewFile(uintptr(fd), s.Name)
	defer file.Close()
	if err := errors.Join(unix.BindToDevice(fd, "lo"), unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_PKTINFO, 1),
		unix.Bind(fd, &unix.SockaddrInet4{Port: s.port})); err != nil {
		return nil, fmt.Errorf("relay: %s: %w", s.Name, err)
	}
	c, err := net.FilePacketConn(file)
	if err != nil {
		return nil, fmt.Errorf("relay: %s: %w", s.Name, err)
	}
	d := &Datagrams{service: s, target: target, conn: c.(*net.UDPConn), paths: map[path]*net.UDPConn{}}
	go d.receive()
	return d, nil
}

// Close ends the relaying.
func (d *Datagrams) Close() {
	d.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.paths {
		c.Close()
	}
}

func (d *Datagrams) receive() {
	data, control := make([]byte, datagramMost), make([]byte, 128)
	for {
		n, cn, _, from, err := d.conn.ReadMsgUDPAddrPort(data, control)
		if err != nil {
			return
		}
		at, ok := destination(control[:cn])
		caller, known := Caller(at)
		if !ok || !known {
			continue
		}
		to, err := d.path(path{caller, from})
		if err != nil {
			continue // as a datagram that is lost
		}
		l := d.service.relay.link(pair{caller, d.service})
		d.service.relay.datagram(l.there, data[:n], func(x []byte) { to.Write(x) })
	}
}

// path returns the socket that speaks to the service in a caller's name, and brings back what the service answers.
func (d *Datagrams) path(p path) (*net.UDPConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.paths[p]; c != nil {
		return c, nil
	}
	c, err := net.DialUDP("udp4", &net.UDPAddr{IP: Address(p.caller).AsSlice()}, net.UDPAddrFromAddrPort(d.target))
	if err != nil {
		return nil, err
	}
	d.paths[p] = c
	l := d.service.relay.link(pair{p.caller, d.service})
	source := unix.PktInfo4(&unix.Inet4Pktinfo{Spec_dst: Address(p.caller).As4()})
	go func() {
		data := make([]byte, datagramMost)
		for {
			n, err := c.Read(data)
			if errors.Is(err, net.ErrClosed) {
				return
			} else if err != nil {
				continue // refused: the service is down, and datagrams are lost
			}
			d.service.relay.datagram(l.back, data[:n], func(x []byte) { d.conn.WriteMsgUDPAddrPort(x, source, p.from) })
		}
	}()
	return c, nil
}

// datagram sends one on, as the faults of its direction allow.
func (r *Relay) datagram(w *way, data []byte, send func([]byte)) {
	r.slowed(nil)
	f, _ := w.now()
	if f.Cut || w.chance(f.Loss) {
		return
	}
	times := 1
	if w.chance(f.Twice) {
		times = 2
	}
	for range times {
		wait := w.late(f) + time.Until(w.book(len(data), time.Now()))
		if w.chance(f.Reorder) {
			wait += reorderBy
		}
		if wait <= 0 {
			send(data)
			continue
		}
		x := append([]byte(nil), data...)
		time.AfterFunc(wait, func() { send(x) })
	}
}

// destination is the address that a datagram was sent to (IP_PKTINFO, ip(7)).
func destination(control []byte) (netip.Addr, bool) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return netip.Addr{}, false
	}
	for _, m := range messages {
		if m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_PKTINFO && len(m.Data) >= unix.SizeofInet4Pktinfo {
			return netip.AddrFrom4([4]byte(m.Data[8:12])), true
		}
	}
	return netip.Addr{}, false
}
