package proxy

import (
	"sync"

	"olivearch/internal/body"
)

// upgradedBy is the route and the protocol by which a tunnel was let through.
type upgradedBy struct{ route, protocol string }

// tunnelSet has the tunnels that are open. Its methods may be called from any goroutine.
type tunnelSet struct {
	mu   sync.Mutex
	open map[*body.Tunnel]upgradedBy
}

// add adds a tunnel until it ends.
func (s *tunnelSet) add(tunnel *body.Tunnel, by upgradedBy) {
	s.mu.Lock()
	s.open[tunnel] = by
	s.mu.Unlock()
	tunnel.Ended(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, tunnel)
	})
}

// endUnless ends, within their grace, the tunnels that are no longer allowed.
func (s *tunnelSet) endUnless(allowed func(upgradedBy) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for tunnel, by := range s.open {
		if !allowed(by) {
			tunnel.CloseGracefully()
		}
	}
}
