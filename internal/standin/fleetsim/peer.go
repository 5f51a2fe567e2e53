package fleetsim

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"sync"
	"time"

	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/relay"
)

// peer sends numbered messages to its mates, as datagrams and on streams, and counts what comes from them.
type peer struct {
	spec Spec
	tell *event.Writer
	mu   sync.Mutex
	from map[int]*heard
	sent map[int]int64
}

// heard is what came from one mate.
type heard struct {
	event.Peers
	seen    map[uint64]bool
	highest uint64
}

// A message is a number and its CRC-32.
const messageSize = 12

func message(number uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, number)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

func number(b []byte) (uint64, bool) {
	if len(b) != messageSize {
		return 0, false
	}
	return binary.BigEndian.Uint64(b), crc32.ChecksumIEEE(b[:8]) == binary.BigEndian.Uint32(b[8:])
}

// newPeer listens for streams and datagrams at the same port, which it tells.
func newPeer(s Spec, tell *event.Writer) (*peer, error) {
	p := &peer{spec: s, tell: tell, from: map[int]*heard{}, sent: map[int]int64{}}
	l, u, err := listenBoth()
	if err != nil {
		return nil, err
	}
	port := l.Addr().(*net.TCPAddr).Port
	go p.datagrams(u)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.stream(c)
		}
	}()
	tell.Tell(event.Event{Kind: event.Ready, Node: int32(s.Rank), Port: uint16(port)})
	return p, nil
}

// listenBoth listens at one port for streams and datagrams. Another program may have the port for one of the two.
func listenBoth() (l net.Listener, u net.PacketConn, err error) {
	for range 20 {
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, nil, err
		}
		if u, err = net.ListenPacket("udp", l.Addr().String()); err == nil {
			return l, u, nil
		}
		l.Close()
	}
	return nil, nil, err
}

// heardFrom returns the count of the mate at an address. The caller holds the lock.
func (p *peer) heardFrom(a net.Addr) *heard {
	at, err := net.ResolveTCPAddr("tcp", a.String()) // an IP address: nothing is looked up
	if err != nil {
		return nil
	}
	caller, ok := relay.Caller(at.AddrPort().Addr())
	if !ok {
		return nil
	}
	h := p.from[caller-FirstPeer]
	if h == nil {
		h = &heard{seen: map[uint64]bool{}}
		p.from[caller-FirstPeer] = h
	}
	return h
}

func (p *peer) datagrams(u net.PacketConn) {
	b := make([]byte, 2048)
	for {
		n, from, err := u.ReadFrom(b)
		if err != nil {
			return
		}
		p.mu.Lock()
		if h := p.heardFrom(from); h != nil {
			x, whole := number(b[:n])
			switch {
			case !whole:
				h.Spoilt++
			case h.seen[x]:
				h.Twice++
			default:
				if x < h.highest {
					h.Late++
				}
				h.seen[x], h.highest = true, max(h.highest, x)
				h.Came++
			}
		}
		p.mu.Unlock()
	}
}

func (p *peer) stream(c net.Conn) {
	defer c.Close()
	b := make([]byte, messageSize)
	for last := uint64(0); ; {
		if _, err := io.ReadFull(c, b); err != nil {
			return
		}
		x, whole := number(b)
		p.mu.Lock()
		if h := p.heardFrom(c.RemoteAddr()); h != nil {
			if h.Stream++; !whole || x <= last {
				h.Spoilt++
			}
		}
		p.mu.Unlock()
		last = x
	}
}

func (p *peer) obey(c Command) error {
	if c.Verb != Mates {
		return fmt.Errorf("a peer does not know verb %d", c.Verb)
	}
	for i, address := range c.Addresses {
		if i != p.spec.Rank {
			go p.talk(i, address)
		}
	}
	go p.report()
	return nil
}

// talk sends to one mate until the time is over.
func (p *peer) talk(mate int, address string) {
	u, err := net.Dial("udp", address)
	if err != nil {
		p.tell.Tell(event.Event{Kind: event.Error, Text: err.Error()})
		return
	}
	defer u.Close()
	var stream net.Conn
	every, end := time.Duration(2*float64(time.Second)/p.spec.Rate), time.Now().Add(p.spec.Length)
	for x := uint64(1); time.Now().Before(end); x++ {
		u.Write(message(x)) // refused while the mate is down: lost
		p.mu.Lock()
		p.sent[mate]++
		p.mu.Unlock()
		if stream == nil {
			stream, _ = net.DialTimeout("tcp", address, every) // again at the next message
		}
		if stream != nil {
			stream.SetWriteDeadline(time.Now().Add(every))
			if _, err := stream.Write(message(x)); err != nil {
				stream.Close()
				stream = nil
			}
		}
		time.Sleep(every)
	}
}

// reportEvery is how often a peer tells what it counts.
const reportEvery = 100 * time.Millisecond

func (p *peer) report() {
	for range time.Tick(reportEvery) {
		p.mu.Lock()
		for mate, sent := range p.sent {
			p.tell.Tell(event.Event{Kind: event.Tally, Node: int32(p.spec.Rank), Balancer: int32(mate), Peers: event.Peers{Sent: sent}})
		}
		for mate, h := range p.from {
			p.tell.Tell(event.Event{Kind: event.Tally, Node: int32(p.spec.Rank), Balancer: int32(mate), Peers: h.Peers})
		}
		p.mu.Unlock()
	}
}
