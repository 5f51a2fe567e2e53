package relay

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Holes are addresses at which connections do not come up, nor are they refused. Each takes a descriptor, so that many of them want
// processes of their own.
type Holes interface {
	Dig([]netip.AddrPort)  // returns once none comes up
	Fill([]netip.AddrPort) // returns once they do again
	Close()
}

// digging is how many holes are dug at once.
const digging = 16

// local are holes of this process.
type local struct {
	mu   sync.Mutex
	open map[netip.AddrPort]int // descriptor of the listener whose queue is full
}

// NewHoles returns holes of this process.
func NewHoles() Holes { return &local{open: map[netip.AddrPort]int{}} }

func (h *local) Dig(all []netip.AddrPort) {
	work := make(chan netip.AddrPort)
	var diggers sync.WaitGroup
	for range min(digging, len(all)) {
		diggers.Go(func() {
			for at := range work {
				h.dig(at)
			}
		})
	}
	for _, at := range all {
		work <- at
	}
	close(work)
	diggers.Wait()
}

// dig listens at the very address, with a queue of one: while a connection stands in it the system drops the SYNs of others. It stays
// there though its caller closes. Where no descriptor is left connections come up, and the relay counts a leak for each.
func (h *local) dig(at netip.AddrPort) {
	h.mu.Lock()
	_, open := h.open[at]
	h.mu.Unlock()
	if open {
		return
	}
	fd, err := bound(at)
	if err != nil {
		return
	}
	if err := unix.Listen(fd, 0); err != nil {
		unix.Close(fd)
		return
	}
	if c, err := net.DialTimeout("tcp", at.String(), time.Second); err == nil {
		c.Close()
	}
	h.mu.Lock()
	h.open[at] = fd
	h.mu.Unlock()
}

func (h *local) Fill(all []netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range all {
		if fd, open := h.open[at]; open {
			unix.Close(fd)
			delete(h.open, at)
		}
	}
}

func (h *local) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for at, fd := range h.open {
		unix.Close(fd)
		delete(h.open, at)
	}
}
