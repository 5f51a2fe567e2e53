package proxy

import (
	"hash/maphash"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/route"
	"olivearch/internal/upstream"
)

const (
	// maxRequestIDBytes bounds the length of a client's X-Request-Id.
	maxRequestIDBytes = 256
	// unavailableRetryAfter is the Retry-After of an unavailableResponse.
	unavailableRetryAfter = time.Second
)

// Destination is how a route's requests are served, apart from the choice of the pool.
type Destination struct {
	Class        balancer.Class
	Limit        time.Duration // on the wait for a response
	KeyCookie    string        // its value is the request's key, which chooses among the route's pools
	BodyLimits   *body.Limits  // nil: body.DefaultLimits
	Upgrades     []string      // protocols that a connection may switch to (RFC 9110, section 7.8), in lower case
	TunnelLimits *body.TunnelLimits
}

// Routing is a complete set of routes with the pools that they lead to. It is immutable: a reload creates another.
type Routing struct {
	Table        *route.Table
	Destinations []Destination // indexed by route.Rule.To; many routes may share one
	Pools        map[string]*pool.Pool
}

// allows reports whether the route of an upgrade still exists, and still allows the protocol.
func (r *Routing) allows(upgrade tunnelUpgrade) bool {
	rule := r.Table.Rule(upgrade.route)
	return rule != nil && slices.Contains(r.Destinations[rule.To].Upgrades, upgrade.protocol)
}

// RouteTable is a router that chooses the pool of a request by its route. Its methods may be called from any goroutine,
// and its Routing may be replaced while requests arrive.
type RouteTable struct {
	routing   atomic.Pointer[Routing]
	startedAt time.Time
	epoch     time.Duration // Unix time of startedAt
	seed      maphash.Seed  // of the hash that chooses a pool for a request without a key
	tunnels   tunnelSet
}

var _ frontend.Router = (*RouteTable)(nil)

// NewRouteTable returns a router with an initial set of routes.
func NewRouteTable(r *Routing) *RouteTable {
	t := &RouteTable{
		startedAt: time.Now(),
		seed:      maphash.MakeSeed(),
		tunnels:   tunnelSet{open: map[*body.Tunnel]tunnelUpgrade{}},
	}
	t.epoch = time.Duration(t.startedAt.UnixNano())
	t.SetRouting(r)
	return t
}

// SetRouting replaces the routes. Requests that are in a pool stay there. Tunnels whose route is gone, or no longer
// allows them, are closed gracefully.
func (t *RouteTable) SetRouting(r *Routing) {
	t.routing.Store(r)
	t.tunnels.closeDisallowed(r.allows)
}

// Now returns the Unix time at the router's start plus the monotonic time elapsed since then. Pools' clocks work alike,
// but start at other times, so they differ from this one if the system clock was adjusted in between: Admit converts
// times to the clock of the request's pool.
func (t *RouteTable) Now() time.Duration { return t.epoch + time.Since(t.startedAt) }

// MaxDeadline returns the longest limit of all routes.
func (t *RouteTable) MaxDeadline() (longest time.Duration) {
	for _, destination := range t.routing.Load().Destinations {
		longest = max(longest, destination.Limit)
	}
	return longest
}

// Ping returns once the event loop of every pool has handled an event.
func (t *RouteTable) Ping() {
	for _, p := range t.routing.Load().Pools {
		p.Ping()
	}
}

// routedExchange is a request with the data for its route lookup. Admit may have to look the route up again, since the
// routes may change while the body is read.
type routedExchange struct {
	parsedRequest
	table             *RouteTable
	query             route.Query
	fields            http1.Fields // as received, without those that Connection names
	hasIdempotencyKey bool

	// Set by lookUp.
	routeName   string
	destination *Destination
	pool        *pool.Pool
}

// Check parses and validates the head of a request, brings host and target into canonical form, and looks up the route.
func (t *RouteTable) Check(method, target string, fields *http1.Fields) (frontend.Exchange, error) {
	if !isServed(method) {
		return nil, &frontend.Rejection{Status: http.StatusNotImplemented, Reason: "the method is not served"}
	}
	parsedTarget, err := route.ParseTarget(target)
	if err != nil {
		return nil, frontend.BadRequest("%v", err)
	}
	host, err := requestHost(parsedTarget, fields)
	if err != nil {
		return nil, err
	}
	upgrade := requestedUpgrade(method, fields) // before parseFields removes the fields that Connection names
	requestID, err := ensureRequestID(fields)
	if err != nil {
		return nil, err
	}
	exchange := &routedExchange{table: t, parsedRequest: parsedRequest{Request: pool.Request{ClientRequestID: requestID}}}
	if err := exchange.parseFields(fields); err != nil {
		return nil, err
	}
	exchange.hasIdempotencyKey = fields.Has(fieldIdempotencyKey)
	if exchange.hasIdempotencyKey && fields.Get(fieldIdempotencyKey) == "" {
		return nil, frontend.BadRequest("Idempotency-Key is empty")
	}
	exchange.fields = *fields
	exchange.query = route.Query{
		Host: host, Path: parsedTarget.Path, Method: method, Class: fields.Get(fieldClass), Fields: exchange.fields,
	}
	if err := t.lookUp(exchange); err != nil {
		return nil, err
	}
	exchange.Message = upstream.Message{
		RequestLine: method + " " + parsedTarget.String(),
		Header:      *fields,
		Host:        host,
		Bodied:      framesEmptyBody(method),
		Limits:      exchange.destination.BodyLimits,
		Hints:       true,
	}
	exchange.allowUpgrade(upgrade)
	return exchange, nil
}

// isServed reports whether a method is served: any that consists of capital letters, except CONNECT and TRACE.
func isServed(method string) bool {
	notCapital := func(r rune) bool { return r < 'A' || r > 'Z' }
	switch method {
	case "", http.MethodConnect, http.MethodTrace:
		return false
	}
	return !strings.ContainsFunc(method, notCapital)
}

// framesEmptyBody reports whether requests of a method are forwarded with a Content-Length even if they have no body
// (RFC 9110, section 8.6).
func framesEmptyBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return false
	}
	return true
}

// requestHost returns the canonical host. The host of an absolute target takes precedence over the Host field, which is
// required nevertheless (RFC 9112, section 3.2).
func requestHost(target route.Target, fields *http1.Fields) (string, error) {
	if !fields.Has(fieldHost) {
		return "", frontend.BadRequest("Host is wanted")
	}
	if target.Host != "" {
		return target.Host, nil
	}
	host, err := route.Host(fields.Get(fieldHost))
	if err != nil {
		return "", frontend.BadRequest("%v", err)
	}
	return host, nil
}

// requestedUpgrade returns the protocol that a client asks to switch to (RFC 9110, section 7.8), in lower case; empty:
// none.
func requestedUpgrade(method string, fields *http1.Fields) string {
	if method != http.MethodGet || !fields.HasListElement(fieldConnection, "upgrade") {
		return ""
	}
	return strings.ToLower(fields.Get(fieldUpgrade))
}

// ensureRequestID returns a request's X-Request-Id. If the client has sent none, it adds a new one.
func ensureRequestID(fields *http1.Fields) (string, error) {
	if !fields.Has(fieldRequestID) {
		id := newRequestID()
		fields.Add(fieldRequestID, id)
		return id, nil
	}
	id := fields.Get(fieldRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		return "", frontend.BadRequest("X-Request-Id is empty or over 256 bytes")
	}
	return id, nil
}

// lookUp sets the route, class, key and pool of a request by the current routes.
func (t *RouteTable) lookUp(exchange *routedExchange) error {
	routing := t.routing.Load()
	rule := routing.Table.Lookup(&exchange.query)
	if rule == nil {
		return &frontend.Rejection{Status: http.StatusNotFound, Reason: "no route leads there"}
	}
	destination := &routing.Destinations[rule.To]
	exchange.routeName, exchange.destination = rule.Name, destination
	class := destination.Class
	if named := exchange.query.Class; named != "" && named != class.Name {
		return frontend.BadRequest("X-Class names %q, and the route to this host and path is for another class", named)
	}
	if class.Idempotency == balancer.IdempotentWithKey && !exchange.hasIdempotencyKey {
		return frontend.BadRequest("Idempotency-Key is wanted")
	}
	exchange.setKeyFromCookie(exchange.fields, destination.KeyCookie)
	poolHash := exchange.Key
	if !exchange.HasKey {
		poolHash = maphash.String(t.seed, exchange.ClientRequestID)
	}
	exchange.pool = routing.Pools[rule.Choose(poolHash)]
	exchange.setClass(class, destination.Limit)
	return nil
}

// allowUpgrade lets the connection switch to a protocol if the route allows it. Otherwise the request is forwarded
// without the upgrade, which a client must expect (RFC 9110, section 7.8).
func (e *routedExchange) allowUpgrade(protocol string) {
	if protocol == "" || !slices.Contains(e.destination.Upgrades, protocol) {
		return
	}
	e.Message.Upgrade = protocol
	e.Message.Tunnel = e.destination.TunnelLimits
}

// Admit submits the request to its pool. If that pool was retired after the head was read, Admit looks up the route
// again.
func (e *routedExchange) Admit() (pool.Response, error) {
	for {
		current := e.pool
		acquired, full := current.Acquire()
		if acquired {
			e.ReceivedAt += current.Now() - e.table.Now() // converted to the pool's clock
			current.Submit(&e.Request)
			return pool.Response{}, nil
		}
		if full {
			return unavailableResponse(), nil
		}
		if err := e.table.lookUp(e); err != nil {
			return pool.Response{}, err
		}
		if e.pool == current { // the process is stopping
			return unavailableResponse(), nil
		}
	}
}

// Done removes the request from its pool's count.
func (e *routedExchange) Done() { e.pool.Release() }

// Tunnel registers the tunnel that the request's connection has become after an upgrade.
func (e *routedExchange) Tunnel(tunnel *body.Tunnel) {
	upgrade := tunnelUpgrade{e.routeName, e.Message.Upgrade}
	e.table.tunnels.add(tunnel, upgrade)
	if !e.table.routing.Load().allows(upgrade) { // the routes were replaced meanwhile
		tunnel.CloseGracefully()
	}
}

// unavailableResponse returns the response to a request that its pool does not accept.
func unavailableResponse() pool.Response {
	return pool.Response{
		Status:              http.StatusServiceUnavailable,
		RetryAfter:          unavailableRetryAfter,
		RetryAfterInSeconds: true,
	}
}
