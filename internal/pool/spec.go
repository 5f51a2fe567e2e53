package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/discovery"
	"olivearch/internal/wire"
)

// Spec configures a pool. Name, Seed, InitialEndpoints and EndpointStore apply only when the pool is created.
type Spec struct {
	Name               string
	Settings           balancer.Settings
	ConnectionSettings wire.ConnectionSettings
	Seed               uint64 // of the balancer's random number generator

	// InitialEndpoints is the last list that was received before this start, which may be stale; nil: none.
	InitialEndpoints *discovery.Listing
	// EndpointStore stores each list that is applied; nil: lists are not stored.
	EndpointStore EndpointStore
	// Discovery is the address of a discovery service; empty: lists are set by Pool.UpdateEndpoints.
	Discovery string
	// MaxEndpointAge is how long a list is used after its source last sent or confirmed it; 0: without limit.
	MaxEndpointAge time.Duration

	// MaxConnections bounds the number of connections to all endpoints together.
	MaxConnections int
	// MaxStreams bounds the number of connections that streamed responses hold, so that some stay free for others; 0: no
	// bound. The request of a longer response beyond it fails.
	MaxStreams int
	// MaxRequests bounds the number of requests in the pool, in flight or queued.
	MaxRequests int
	// SharedWeight is the pool's weight when endpoints that other pools list too are divided.
	SharedWeight float64
	// IgnoreDrainsOfOthers makes the pool ignore that endpoints are draining in other pools' lists.
	IgnoreDrainsOfOthers bool
	// ReuseDelayOnlyAfterUnsolicited allows reusing connections without delay, unless an endpoint of the pool has
	// recently sent unsolicited bytes. Otherwise a connection stays unused for a while between two requests.
	ReuseDelayOnlyAfterUnsolicited bool
	Tunnels                        TunnelLimits
	// WholeResponseInTime makes a request's deadline that of its response's last byte. Otherwise it is that of the first
	// one, and the limits of Message apply to the rest.
	WholeResponseInTime bool
	// ResponseMemory is the account of the bodies of responses that are held; nil: they count nowhere.
	ResponseMemory body.Reserve
	// FullResponses passes on all of an endpoint's response, instead of status 200 and the body only.
	FullResponses bool
}

// EndpointStore stores endpoint lists, complete or as changes, as the source sent them. Save must not block. Close is
// called once, when the pool ends, and may block.
type EndpointStore interface {
	Save(discovery.Listing)
	Close()
}

// TunnelLimits bounds the number of tunnels: connections that have changed their protocol.
type TunnelLimits struct {
	Total       int // of the pool
	PerEndpoint int // of one endpoint
}
