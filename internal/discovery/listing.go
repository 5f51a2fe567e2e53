package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"olivearch/balancer"
)

// The phases of a Member.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	// PhaseRemoved is the phase of a Member that was removed from the list. Only listings of changes have these.
	PhaseRemoved = "removed"
)

var stateOfPhase = map[string]balancer.State{
	PhaseUp:       balancer.Active,
	PhaseDraining: balancer.Draining,
	PhaseRemoved:  balancer.Removed,
}

// Listing is an answer of a discovery service: the complete endpoint list, or only the changed entries.
type Listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is an entry of a Listing.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"` // IP address and port
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`        // weight, relative to the other members
	UpSinceMS int64   `json:"up_since_ms"` // Unix time in milliseconds; 0: long ago
}

// Check returns an error if the entry is unusable: it has no id, an unknown phase or, unless removed, no valid address.
func (m *Member) Check() error {
	state, known := stateOfPhase[m.Phase]
	switch {
	case m.ID == "":
		return errors.New("an entry has no id")
	case !known:
		return fmt.Errorf("%s: phase %q is unknown", m.ID, m.Phase)
	case state == balancer.Removed:
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

// Upstream returns the entry as an upstream of the decision module. id is the number that a Numbering gave its id.
func (m *Member) Upstream(id balancer.UpstreamID) balancer.Upstream {
	return balancer.Upstream{
		ID:     id,
		Zone:   m.Locality,
		Cell:   m.Cell,
		Weight: m.Size,
		State:  stateOfPhase[m.Phase],
		// The pool's clock starts at the current Unix time, so start times need no conversion, and 0 stays 0.
		StartedAt: time.Duration(m.UpSinceMS) * time.Millisecond,
	}
}
