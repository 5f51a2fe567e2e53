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
	// maxRequestID bounds a client's X-Request-Id, in bytes.
	maxRequestID = 256
	// fullPoolRetryAfter is when the client of a pool that is full may try again.
	fullPoolRetryAfter = time.Second
)

// Destination is what a route does with its requests, beside naming pools.
type Destination struct {
	Class        balancer.Class
	Limit        time.Duration // on the wait for an answer
	KeyCookie    string        // whose value chooses among the route's pools
	BodyLimits   *body.Limits  // nil: the usual ones
	Upgrades     []string      // protocols that a connection may change to (RFC 9110, section 7.8), in small letters
	TunnelLimits *body.TunnelLimits
}

// Routing is a whole set of routes with the pools that they lead to. It never changes: a reload makes another.
type Routing struct {
	Table        *route.Table
	Destinations []Destination // by the numbers of the table's rules: many routes have one in common
	Pools        map[string]*pool.Pool
}

// allows tells whether a route of this name still lets a connection change to the protocol.
func (r *Routing) allows(by upgradedBy) bool {
	rule := r.Table.Rule(by.route)
	return rule != nil && slices.Contains(r.Destinations[rule.To].Upgrades, by.protocol)
}

// RouteTable is a router that finds the pool of a request by its route. Its methods may be called from any goroutine;
// its Routing may be replaced while requests come.
type RouteTable struct {
	routing   atomic.Pointer[Routing]
	startedAt time.Time
	epoch     time.Duration // Unix time of startedAt
	seed      maphash.Seed  // for requests without a key
	tunnels   tunnelSet
}

var _ frontend.Router = (*RouteTable)(nil)

// NewRouteTable returns a router with a first set of routes.
func NewRouteTable(r *Routing) *RouteTable {
	t := &RouteTable{
		startedAt: time.Now(),
		seed:      maphash.MakeSeed(),
		tunnels:   tunnelSet{open: map[*body.Tunnel]upgradedBy{}},
	}
	t.epoch = time.Duration(t.startedAt.UnixNano())
	t.SetRouting(r)
	return t
}

// SetRouting replaces the routes. Requests that are in a pool stay there; tunnels whose route has gone, or does not
// allow them any more, end within their grace.
func (t *RouteTable) SetRouting(r *Routing) {
	t.routing.Store(r)
	t.tunnels.endUnless(r.allows)
}

// Now is Unix time at the start plus what the monotonic clock has counted since, as on the pools' clocks. Pools start
// at other times, so their clocks differ by how far the machine's clock was set in between: a pool gets times on its
// own.
func (t *RouteTable) Now() time.Duration { return t.epoch + time.Since(t.startedAt) }

// MaxDeadline is the longest limit of a route.
func (t *RouteTable) MaxDeadline() (longest time.Duration) {
	for _, destination := range t.routing.Load().Destinations {
		longest = max(longest, destination.Limit)
	}
	return longest
}

// Ping returns once every pool has had a turn.
func (t *RouteTable) Ping() {
	for _, p := range t.routing.Load().Pools {
		p.Ping()
	}
}

// routedExchange is a request with what it is matched by, until a pool has taken it: routes may change while its body
// comes.
type routedExchange struct {
	parsedRequest
	table             *RouteTable
	query             route.Query
	fields            http1.Fields // as they came, less those that end at the client's connection
	hasIdempotencyKey bool

	// Set by lookUp, maybe again by Admit.
	routeName   string
	destination *Destination
	pool        *pool.Pool
}

// Check reads the head of a request of any form that HTTP allows, brings host and target to their canonical forms, and
// finds the route.
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
	upgrade := requestedUpgrade(method, fields) // before parseFields drops what Connection names
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
		Bodied:      mayHaveBody(method),
		Limits:      exchange.destination.BodyLimits,
		Hints:       true,
	}
	exchange.allowUpgrade(upgrade)
	return exchange, nil
}

// isServed tells whether a method is one of capital letters that is neither CONNECT nor TRACE.
func isServed(method string) bool {
	notCapital := func(r rune) bool { return r < 'A' || r > 'Z' }
	switch method {
	case "", http.MethodConnect, http.MethodTrace:
		return false
	}
	return !strings.ContainsFunc(method, notCapital)
}

// mayHaveBody tells whether requests of a method go on with a length, also where that is 0.
func mayHaveBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return false
	}
	return true
}

// requestHost returns the canonical host. That of an absolute target goes before the Host field, which must be there
// all the same (RFC 9112, section 3.2).
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

// requestedUpgrade returns the protocol that a client asks to change to, in small letters, or "".
func requestedUpgrade(method string, fields *http1.Fields) string {
	if method != http.MethodGet || !fields.HasListElement(fieldConnection, "upgrade") {
		return ""
	}
	return strings.ToLower(fields.Get(fieldUpgrade))
}

// ensureRequestID returns the client's id of a request, or adds one.
func ensureRequestID(fields *http1.Fields) (string, error) {
	if !fields.Has(fieldRequestID) {
		id := newRequestID()
		fields.Add(fieldRequestID, id)
		return id, nil
	}
	id := fields.Get(fieldRequestID)
	if id == "" || len(id) > maxRequestID {
		return "", frontend.BadRequest("X-Request-Id is empty or over 256 bytes")
	}
	return id, nil
}

// lookUp gives a request its route, class and pool by the current routes.
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

// allowUpgrade lets the connection change its protocol if the route names it. Else the request is an ordinary one,
// which a client that asks for a change must expect.
func (e *routedExchange) allowUpgrade(protocol string) {
	if protocol == "" || !slices.Contains(e.destination.Upgrades, protocol) {
		return
	}
	e.Message.Upgrade = protocol
	e.Message.Tunnel = e.destination.TunnelLimits
}

// Admit hands the request to its pool. If that was retired since the head was read, the request is looked up again.
func (e *routedExchange) Admit() (pool.Response, error) {
	for {
		current := e.pool
		acquired, full := current.Acquire()
		if acquired {
			e.ReceivedAt += current.Now() - e.table.Now() // on the pool's clock
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

// Done counts the request out of its pool.
func (e *routedExchange) Done() { e.pool.Release() }

// Tunnel is called once the connection of the request has changed its protocol.
func (e *routedExchange) Tunnel(tunnel *body.Tunnel) {
	by := upgradedBy{e.routeName, e.Message.Upgrade}
	e.table.tunnels.add(tunnel, by)
	if !e.table.routing.Load().allows(by) { // the routes were replaced meanwhile
		tunnel.CloseGracefully()
	}
}

// unavailableResponse is the answer to a request that its pool does not take.
func unavailableResponse() pool.Response {
	return pool.Response{
		Status:              http.StatusServiceUnavailable,
		RetryAfter:          fullPoolRetryAfter,
		RetryAfterInSeconds: true,
	}
}
