package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"hash/maphash"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"clayladder"
	"clayladder/internal/route"
)

// Destination is what a route does with its requests, beside naming pools.
type Destination struct {
	Class     clayladder.Class
	Limit     time.Duration // on the wait for an answer
	KeyCookie string        // whose value decides among several pools
}

// Routing is a whole set of routes with the pools that they lead to. It never changes: a reload makes another.
type Routing struct {
	Table  *route.Table
	Routes map[string]Destination // by the names of the table's rules
	Pools  map[string]*Pool
}

// Desk takes requests for several pools by their routes. Its Routing may be replaced while requests come.
type Desk struct {
	routing atomic.Pointer[Routing]
	origin  time.Time
	epoch   time.Duration
	seed    maphash.Seed
}

// NewDesk returns a Desk for the first set of routes.
func NewDesk(r *Routing) *Desk {
	d := &Desk{origin: time.Now(), seed: maphash.MakeSeed()}
	d.epoch = time.Duration(d.origin.UnixNano())
	d.Route(r)
	return d
}

// Route puts other routes in the place of those that hold. Requests that are in a pool stay there.
func (d *Desk) Route(r *Routing) { d.routing.Store(r) }

// routed is what a request is matched by, kept until a pool has taken it: routes may change while its body comes.
type routed struct {
	query route.Query
	hash  uint64
	keyed bool // it carries an Idempotency-Key
	pool  *Pool
}

// now goes by the clocks that pools keep: Unix time at the start, then the monotonic clock. Pools start at other times;
// what their clocks differ by is how far the machine's clock was set in between, so pools get the time on their own.
func (d *Desk) now() time.Duration { return d.epoch + time.Since(d.origin) }

func (d *Desk) longest() (most time.Duration) {
	for _, to := range d.routing.Load().Routes {
		most = max(most, to.Limit)
	}
	return most
}

func (d *Desk) alive() {
	for _, p := range d.routing.Load().Pools {
		turned := make(turn)
		p.loop.post(turned)
		select {
		case <-turned:
		case <-p.loop.ctx.Done():
		}
	}
}

// check reads a request of any form that HTTP allows, gives its host and target their canonical reading, and finds its
// route.
func (d *Desk) check(method, target string, h textproto.MIMEHeader) (*request, error) {
	if method == "" || method == http.MethodConnect || method == http.MethodTrace || strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) {
		return nil, &refusal{http.StatusNotImplemented, "the method is not served"}
	}
	t, err := route.ParseTarget(target)
	if err != nil {
		return nil, bad("%v", err)
	}
	if len(h["Host"]) == 0 { // RFC 9112, section 3.2: wanted also beside an absolute target
		return nil, bad("Host is wanted")
	}
	host := t.Host // of an absolute target it goes before the field
	if host == "" {
		if host, err = route.Host(h.Get("Host")); err != nil {
			return nil, bad("%v", err)
		}
	}
	q := &request{name: h.Get("X-Request-Id"), reply: make(chan answer, 1)}
	if len(h["X-Request-Id"]) == 0 {
		q.name = newID()
		h.Set("X-Request-Id", q.name)
	} else if q.name == "" || len(q.name) > 256 {
		return nil, bad("X-Request-Id is empty or over 256 bytes")
	}
	if err := q.describe(h); err != nil {
		return nil, err
	}
	if len(h["Idempotency-Key"]) > 0 && h.Get("Idempotency-Key") == "" {
		return nil, bad("Idempotency-Key is empty")
	}
	q.routed = routed{query: route.Query{Host: host, Path: t.Path, Method: method, Class: h.Get("X-Class"), Fields: h}, keyed: len(h["Idempotency-Key"]) > 0}
	if err := d.find(q); err != nil {
		return nil, err
	}
	bodied := method != http.MethodGet && method != http.MethodHead && method != http.MethodOptions && method != http.MethodDelete
	q.message = message{line: method + " " + t.String(), header: http.Header(h), host: host, bodied: bodied}
	return q, nil
}

// newID names a request whose client did not.
func newID() string {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// find gives a request its route, class and pool by the routes that hold now.
func (d *Desk) find(q *request) error {
	r := d.routing.Load()
	rule := r.Table.Lookup(&q.routed.query)
	if rule == nil {
		return &refusal{http.StatusNotFound, "no route leads there"}
	}
	to := r.Routes[rule.Name]
	switch named := q.routed.query.Class; {
	case named != "" && named != to.Class.Name:
		return bad("X-Class names %q, and the route to this host and path is for another class", named)
	case to.Class.Repeat == clayladder.Keyed && !q.routed.keyed:
		return bad("Idempotency-Key is wanted")
	}
	q.about(q.routed.query.Fields, to.KeyCookie)
	q.routed.hash = q.Key
	if !q.HasKey {
		q.routed.hash = maphash.String(d.seed, q.name)
	}
	q.routed.pool = r.Pools[rule.Choose(q.routed.hash)]
	q.assign(to.Class, to.Limit)
	return nil
}

// enter hands a request to its pool. One that was retired since the request was read is not asked: the routes of now are.
func (d *Desk) enter(q *request) (answer, error) {
	for {
		p := q.routed.pool
		ok, crowded := p.enter()
		if ok {
			q.post = p.loop.post
			q.at += p.loop.now() - d.now() // on the pool's clock
			p.loop.post(arrived{q})
			return answer{}, nil
		}
		if crowded {
			return full(time.Second), nil
		}
		if err := d.find(q); err != nil {
			return answer{}, err
		}
		if q.routed.pool == p {
			return full(time.Second), nil // the process is stopping
		}
	}
}

func (d *Desk) leave(q *request) { q.routed.pool.leave() }

// Front serves the clients of one listener.
type Front struct{ f *frontend }

// NewFront returns a Front for so many connections of clients.
func NewFront(d *Desk, l net.Listener, connections int) *Front {
	return &Front{newFrontend(d, l, connections)}
}

// Serve takes connections until Stop.
func (f *Front) Serve() error { return f.f.serve() }

// Stop takes no more connections and returns when what was taken is answered.
func (f *Front) Stop() { f.f.stop() }

// Resize sets how many connections it takes. Those over it go as soon as they are idle and another comes.
func (f *Front) Resize(connections int) { f.f.room.Store(int64(connections)) }

// Connections tells how many there are.
func (f *Front) Connections() (open, limit int) {
	f.f.mu.Lock()
	defer f.f.mu.Unlock()
	return len(f.f.clients), int(f.f.room.Load())
}
