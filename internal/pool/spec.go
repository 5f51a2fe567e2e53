package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/wire"
)

// Spec configures a pool. Name, Seed, InitialEndpoints and EndpointStore count at the pool's start only.
type Spec struct {
	Name     string
	Settings balancer.Settings
	Links    wire.ConnectionSettings
	Seed     uint64 // of the balancer's random choices

	// InitialEndpoints is the list that discovery gave last, which may be stale; nil: none.
	InitialEndpoints *discovery.Listing
	// EndpointStore gets each list that is applied; nil: nobody does.
	EndpointStore EndpointStore
	// Discovery is the address of a discovery service; empty: lists come by Pool.UpdateEndpoints.
	Discovery string
	// MaxEndpointAge is how long a list is used without a good answer from its source; 0: for ever.
	MaxEndpointAge time.Duration

	// MaxConnections bounds the connections to all endpoints together.
	MaxConnections int
	// MaxRequests bounds the requests in the pool, forwarded or waiting.
	MaxRequests int
	// SharedWeight is the pool's weight on endpoints that other pools list too.
	SharedWeight float64
	// IgnoreDrainsOfOthers leaves out of account which endpoints drain by other pools' lists.
	IgnoreDrainsOfOthers bool
	// ReuseDelayOnlyAfterUnsolicited lets a connection carry the next request at once, unless its endpoint has sent
	// unsolicited bytes. Else each connection stays unused for connectionReuseDelay between two requests.
	ReuseDelayOnlyAfterUnsolicited bool
	Tunnels                        TunnelLimits
	// FullResponses passes on all that endpoints answer, not status 200 and the body only.
	FullResponses bool
}

// EndpointStore stores lists, or changes to one, as their source has sent them. Save must not block. Close is called
// once, when the pool ends, and may block.
type EndpointStore interface {
	Save(discovery.Listing)
	Close()
}

// TunnelLimits bound the connections that have changed their protocol.
type TunnelLimits struct {
	Total       int // of the pool
	PerEndpoint int // of one endpoint
}
