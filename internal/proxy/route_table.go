package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"hash/maphash"
	"net/http"
	"slices"
	"strings"
	"sync"
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

// Destination is what a route does with its requests, beside naming pools.
type Destination struct {
	Class     balancer.Class
	Limit     time.Duration // on the wait for an answer
	KeyCookie string        // whose value decides among several pools
	Bodies    *body.Limits  // nil: the usual ones
	Upgrades  []string      // protocols that a connection may change to (RFC 9110, section 7.8), in small letters
	Tunnels   *body.TunnelLimits
}

// Routing is a whole set of routes with the pools that they lead to. It never changes: a reload makes another.
type Routing struct {
	Table *route.Table
	To    []Destination // by the numbers of the table's rules: many routes have one in common
	Pools map[string]*pool.Pool
}

// lets tells whether a route of this name lets a connection change to a protocol.
func (r *Routing) lets(by upgradedBy) bool {
	rule := r.Table.Rule(by.route)
	return rule != nil && slices.Contains(r.To[rule.To].Upgrades, by.protocol)
}

// RouteTable takes requests for several pools by their routes. Its Routing may be replaced while requests come.
type RouteTable struct {
	routing atomic.Pointer[Routing]
	origin  time.Time
	epoch   time.Duration
	seed    maphash.Seed

	mu      sync.Mutex
	tunnels map[*body.Tunnel]upgradedBy
}

// upgradedBy is what a tunnel was let through by.
type upgradedBy struct{ route, protocol string }

// NewRouteTable returns a Desk for the first set of routes.
func NewRouteTable(r *Routing) *RouteTable {
	d := &RouteTable{origin: time.Now(), seed: maphash.MakeSeed(), tunnels: map[*body.Tunnel]upgradedBy{}}
	d.epoch = time.Duration(d.origin.UnixNano())
	d.Route(r)
	return d
}

// Route puts other routes in the place of those that hold. Requests that are in a pool stay there; tunnels whose route has gone, or
// lets them through no more, end within their grace.
func (d *RouteTable) Route(r *Routing) {
	d.routing.Store(r)
	d.mu.Lock()
	defer d.mu.Unlock()
	for t, by := range d.tunnels {
		if !r.lets(by) {
			t.EndSoon()
		}
	}
}

// Tunnel notes that the connection of a request has changed its protocol.
func (q *routedExchange) Tunnel(t *body.Tunnel) {
	d, by := q.desk, upgradedBy{q.route, q.Message.Upgrade}
	d.mu.Lock()
	d.tunnels[t] = by
	d.mu.Unlock()
	t.Ended(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.tunnels, t)
	})
	if !d.routing.Load().lets(by) { // a reload came meanwhile
		t.EndSoon()
	}
}

// routedExchange is a request with what it is matched by, kept until a pool has taken it: routes may change while its body comes.
type routedExchange struct {
	parsedRequest
	route  string // that it goes by
	to     *Destination
	desk   *RouteTable
	query  route.Query
	fields http1.Fields // as they came
	hash   uint64
	keyed  bool // it carries an Idempotency-Key
	pool   *pool.Pool
}

var _ frontend.Router = (*RouteTable)(nil)

// Now goes by the clocks that pools keep: Unix time at the start, then the monotonic clock. Pools start at other times;
// what their clocks differ by is how far the machine's clock was set in between, so pools get the time on their own.
func (d *RouteTable) Now() time.Duration { return d.epoch + time.Since(d.origin) }

// MaxDeadline is the longest limit of a route.
func (d *RouteTable) MaxDeadline() (most time.Duration) {
	for _, to := range d.routing.Load().To {
		most = max(most, to.Limit)
	}
	return most
}

// Ping returns once every pool has had a turn.
func (d *RouteTable) Ping() {
	for _, p := range d.routing.Load().Pools {
		p.Ping()
	}
}

// Check reads a request of any form that HTTP allows, gives its host and target their canonical reading, and finds its
// route.
func (d *RouteTable) Check(method, target string, h *http1.Fields) (frontend.Exchange, error) {
	if method == "" || method == http.MethodConnect || method == http.MethodTrace || strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) {
		return nil, &frontend.Rejection{Status: http.StatusNotImplemented, Why: "the method is not served"}
	}
	t, err := route.ParseTarget(target)
	if err != nil {
		return nil, frontend.BadRequest("%v", err)
	}
	if !h.Has("Host") { // RFC 9112, section 3.2: wanted also beside an absolute target
		return nil, frontend.BadRequest("Host is wanted")
	}
	host := t.Host // of an absolute target it goes before the field
	if host == "" {
		if host, err = route.Host(h.Get("Host")); err != nil {
			return nil, frontend.BadRequest("%v", err)
		}
	}
	upgrade := ""
	if method == http.MethodGet && h.Lists("Connection", "upgrade") { // before what Connection names is dropped
		upgrade = strings.ToLower(h.Get("Upgrade"))
	}
	q := &routedExchange{desk: d, parsedRequest: parsedRequest{Request: pool.Request{Name: h.Get("X-Request-Id")}}}
	if !h.Has("X-Request-Id") {
		q.Name = newID()
		h.Add("X-Request-Id", q.Name)
	} else if q.Name == "" || len(q.Name) > 256 {
		return nil, frontend.BadRequest("X-Request-Id is empty or over 256 bytes")
	}
	if err := q.describe(h); err != nil {
		return nil, err
	}
	if h.Has("Idempotency-Key") && h.Get("Idempotency-Key") == "" {
		return nil, frontend.BadRequest("Idempotency-Key is empty")
	}
	q.fields = *h
	q.query = route.Query{Host: host, Path: t.Path, Method: method, Class: h.Get("X-Class"), Fields: q.fields}
	q.keyed = h.Has("Idempotency-Key")
	if err := d.find(q); err != nil {
		return nil, err
	}
	bodied := method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions && method != http.MethodDelete
	to := q.to
	q.Message = upstream.Message{Line: method + " " + t.String(), Header: *h, Host: host, Bodied: bodied, Limits: to.Bodies, Hints: true}
	if slices.Contains(to.Upgrades, upgrade) && upgrade != "" { // else it is an ordinary request: who asks must expect that
		q.Message.Upgrade, q.Message.Tunnel = upgrade, to.Tunnels
	}
	return q, nil
}

// newID names a request whose client did not.
func newID() string {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// find gives a request its route, class and pool by the routes that hold now.
func (d *RouteTable) find(q *routedExchange) error {
	r := d.routing.Load()
	rule := r.Table.Lookup(&q.query)
	if rule == nil {
		return &frontend.Rejection{Status: http.StatusNotFound, Why: "no route leads there"}
	}
	q.route = rule.Name
	to := &r.To[rule.To]
	q.to = to
	switch named := q.query.Class; {
	case named != "" && named != to.Class.Name:
		return frontend.BadRequest("X-Class names %q, and the route to this host and path is for another class", named)
	case to.Class.Idempotency == balancer.IdempotentWithKey && !q.keyed:
		return frontend.BadRequest("Idempotency-Key is wanted")
	}
	q.about(q.fields, to.KeyCookie)
	q.hash = q.Key
	if !q.HasKey {
		q.hash = maphash.String(d.seed, q.Name)
	}
	q.pool = r.Pools[rule.Choose(q.hash)]
	q.assign(to.Class, to.Limit)
	return nil
}

// Admit hands the request to its pool. One that was retired since the request was read is not asked: the routes of now are.
func (q *routedExchange) Admit() (pool.Response, error) {
	for {
		p := q.pool
		ok, crowded := p.Acquire()
		if ok {
			q.At += p.Now() - q.desk.Now() // on the pool's clock
			p.Submit(&q.Request)
			return pool.Response{}, nil
		}
		if crowded {
			return full(time.Second), nil
		}
		if err := q.desk.find(q); err != nil {
			return pool.Response{}, err
		}
		if q.pool == p {
			return full(time.Second), nil // the process is stopping
		}
	}
}

// Done counts the request out of its pool.
func (q *routedExchange) Done() { q.pool.Release() }

// full is what a request is told that a pool does not take.
func full(after time.Duration) pool.Response {
	return pool.Response{Status: http.StatusServiceUnavailable, RetryAfter: after, RetryAfterInSeconds: true}
}
