package proxy

import (
	"sync"

	"olivearch/internal/body"
)

// tunnelUpgrade is the upgrade by which a connection became a tunnel: the route that allowed it, and the protocol.
type tunnelUpgrade struct{ route, protocol string }

// tunnelSet holds the open tunnels. Its methods may be called from any goroutine.
type tunnelSet struct {
	mu   sync.Mutex
	open map[*body.Tunnel]tunnelUpgrade
}

// add adds a tunnel, which is removed when it ends.
func (s *tunnelSet) add(tunnel *body.Tunnel, upgrade tunnelUpgrade) {
	s.mu.Lock()
	s.open[tunnel] = upgrade
	s.mu.Unlock()
	tunnel.Ended(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, tunnel)
	})
}

// closeDisallowed gracefully closes the tunnels whose upgrade is not allowed.
func (s *tunnelSet) closeDisallowed(allowed func(tunnelUpgrade) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for tunnel, upgrade := range s.open {
		if !allowed(upgrade) {
			tunnel.CloseGracefully()
		}
	}
}
