package proxy

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"clayladder"
	"clayladder/internal/maintenance"
	"clayladder/internal/nodeshare"
)

const (
	// spareIdle is how long before the upstream would an idle connection is closed: a request written to one that
	// the upstream has just closed ends as a reset.
	spareIdle = 5 * time.Second
	// lingerFor and lingerMost bound the connections of attempts whose client has gone. The upstream works on
	// regardless, and a connection kept for the late answer saves the next handshake; but hung upstreams never
	// answer.
	lingerFor  = 3 * time.Second
	lingerMost = 4
	sweepEvery = time.Second
	// restFor is how long a connection rests between two requests. Answers do not name their request: a second copy
	// that comes late, after the next request is written, would pass for its answer. In a rest it is seen instead.
	restFor  = time.Millisecond
	logQueue = 256
)

// event is something that happened outside, told to the loop.
type event interface{ apply(l *loop) }

// request is a client's request. The frontend fills it in; from then on it is the loop's.
type request struct {
	clayladder.Request
	name     string // the client's id of it
	message  message
	routed   routed        // where it goes by routes
	at       time.Duration // when its last byte had come
	reply    chan answer   // holds the one answer
	post     func(event)   // to the loop of the pool that it goes to
	patience time.Duration // that the client claims; 0: none
	deadline time.Duration
	attempts []*attempt
	out      int // attempts whose outcome the module has not had
	closed   bool
	end      alarm // at the deadline
}

// peer is what the loop knows of an upstream's address and connections.
type peer struct {
	id        clayladder.UpstreamID
	name      string // discovery's id
	address   string
	listed    clayladder.State // by this pool's own list
	state     clayladder.State // with what the other pools of the process were told
	idle      []*conn          // the most recently used last
	out       map[*attempt]struct{}
	lingering int
	ghosts    int             // attempts among those out that the module takes for ended
	conns     int             // to it, open or opening
	share     nodeshare.Share // where other pools of the process may use it too
	entry     clayladder.Upstream
	strays    uint64 // connections on which it sent what nobody had asked for
	spoilt    uint64 // load reports that could not be read
	why       string // the last of them could not
}

// reported notes a load report that could not be read.
func (p *peer) reported(why string) {
	if why != "" {
		p.spoilt, p.why = p.spoilt+1, why
	}
}

// alarm is a timer of the module's, a request's deadline, or an attempt's time-out.
type alarm struct {
	at      time.Duration
	serial  uint64 // alarms of one moment go off in the order they were set
	token   uint64
	request *request
	attempt *attempt
	place   int // in the heap; -1: it is not there
}

// alarms is a heap. Those of requests are taken out as soon as they are closed: left until they go off, they would keep
// the memory of all that came within the longest deadline.
type alarms []*alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].serial < a[j].serial)
}
func (a alarms) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}
func (a *alarms) Push(x any) {
	x.(*alarm).place = len(*a)
	*a = append(*a, x.(*alarm))
}
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1], x.place = nil, -1
	*a = old[:len(old)-1]
	return x
}

// loop owns the Balancer, from one goroutine. Everything here runs on that goroutine but for post, now and what is
// started with go. It never waits for anything but its channels.
type loop struct {
	balancer  *clayladder.Balancer
	ctx       context.Context
	events    chan event
	urgent    chan event // taken before any other: no send after a drain that has been told, and staff have their answer under any load
	logs      chan string
	origin    time.Time
	epoch     time.Duration
	discovery *discovery
	stopWatch context.CancelFunc // nil: the module does not follow discovery
	dial      dialer
	settings  clayladder.Settings
	idleFor   time.Duration
	maxConns  int
	trust     bool          // connections rest only where strays were seen
	hold      time.Duration // how long a list holds with no word from its source; 0: for ever
	heardAt   time.Duration // last good word from it
	trouble   string        // why there is none since, if that is known
	shares    *sharing      // nil: no other pool of the process may use the same upstreams
	told      map[string]nodeshare.Share

	maint    maintenance.Ledger // which upstreams are out by hand
	heard    atomic.Bool        // discovery has told a list
	names    *names
	revision uint64
	serial   uint64
	alarms   alarms
	requests map[clayladder.RequestID]*request
	open     map[string]bool // the clients' ids of these
	peers    map[clayladder.UpstreamID]*peer
	conns    int     // connections to upstreams, open or opening
	due      []owing // outcomes that are known but not told: the module is not called while it calls
	sweepAt  time.Duration

	served, refused, failed uint64 // requests, by their final answer
}

// owing is an outcome to tell as soon as the module has returned.
type owing struct {
	a      *attempt
	status clayladder.Status
}

var _ clayladder.Host = (*loop)(nil)

func newLoop(ctx context.Context, c Spec) *loop {
	l := &loop{ctx: ctx, events: make(chan event, 1024), urgent: make(chan event, 4), logs: make(chan string, logQueue),
		origin: time.Now(), names: newNames(), requests: map[clayladder.RequestID]*request{}, open: map[string]bool{},
		peers: map[clayladder.UpstreamID]*peer{}}
	l.limit(c)
	// The clock is Unix time at the start, going on by the monotonic clock: what discovery dates stands on it as it
	// is, also from before this process, and a clock that is set does not move it.
	l.epoch = time.Duration(l.origin.UnixNano())
	l.heardAt = l.now()
	if c.Discovery != "" {
		l.discovery = newDiscovery(ctx, c.Discovery, l.hand)
	}
	return l
}

// limit takes what may change while the loop runs, but for the module's settings.
func (l *loop) limit(c Spec) {
	l.dial = dialer{timeout: c.Links.ConnectTimeout, whole: c.Whole}
	l.settings, l.maxConns, l.hold, l.trust = c.Settings, c.Connections, c.Hold, c.Trust
	l.idleFor = max(c.Links.KeepAlive-spareIdle, c.Links.KeepAlive/2)
}

func (l *loop) now() time.Duration { return l.epoch + time.Since(l.origin) }

// post tells the loop of an event. It may wait; the loop never waits for who posts.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.ctx.Done(): // it has ended, with nothing owed
	}
}

// hand tells the loop of what goes before all else: an answer of discovery, a list from elsewhere, a call of the staff.
func (l *loop) hand(x event) {
	select {
	case l.urgent <- x:
	case <-l.ctx.Done():
	}
}

// start makes the Balancer and tells it the upstreams that were known before; nil if nothing was.
func (l *loop) start(seed uint64, known *listing) error {
	if known != nil { // before the module begins to follow discovery, or the first call would ask for the whole list
		l.discovery.hold(known.Revision)
	}
	var err error
	if l.balancer, err = clayladder.New(l.settings, seed, l.now(), l); err != nil {
		return err
	}
	if known != nil {
		l.members(clayladder.ListCached, *known)
	}
	if !l.settings.OnRequest { // lists that are pushed come without the module's asking
		l.Watch(true)
	}
	return nil
}

// run handles events until the context ends.
func (l *loop) run() {
	go l.writeLogs()
	clock := time.NewTimer(0)
	for {
		select { // what is urgent goes first
		case x := <-l.urgent:
			x.apply(l)
			continue
		default:
		}
		l.ring()
		if len(l.alarms) > 0 {
			clock.Reset(max(0, l.alarms[0].at-l.now()))
		}
		select {
		case x := <-l.urgent:
			x.apply(l)
		case e := <-l.events:
			if len(l.urgent) > 0 {
				(<-l.urgent).apply(l)
			}
			e.apply(l)
			l.settle()
		case x := <-l.shares.news():
			l.shared(x)
			l.settle()
		case <-clock.C:
		case <-l.ctx.Done():
			return
		}
	}
}

// ring lets the alarms go off that are due.
func (l *loop) ring() {
	for len(l.alarms) > 0 && l.alarms[0].at <= l.now() {
		switch a := heap.Pop(&l.alarms).(*alarm); {
		case a.attempt != nil:
			l.expire(a.attempt)
		case a.request != nil:
			for _, at := range a.request.attempts {
				l.expire(at)
			}
		default:
			l.balancer.Timer(l.now(), a.token)
		}
		l.settle()
	}
	if now := l.now(); now >= l.sweepAt {
		l.sweepAt = now + sweepEvery
		l.sweep(now)
	}
}

func (l *loop) alarm(a *alarm) {
	l.serial++
	a.serial = l.serial
	heap.Push(&l.alarms, a)
}

// unset takes an alarm out, if it is set.
func (l *loop) unset(a *alarm) {
	if a.at > 0 && a.place >= 0 {
		heap.Remove(&l.alarms, a.place)
	}
}

// --- Requests and attempts ---

// arrived is a client's request.
type arrived struct{ *request }

func (e arrived) apply(l *loop) {
	r := e.request
	if l.open[r.name] { // an upstream could not tell the two apart: the newcomer goes, the first is spared
		r.closed = true
		r.reply <- answer{status: http.StatusConflict}
		return
	}
	l.open[r.name] = true
	l.serial++
	r.ID = clayladder.RequestID(l.serial) // the module's own: what clients send need not be unique
	r.deadline = r.at + r.Budget
	now := l.now()
	r.Budget = max(0, r.deadline-now)
	if r.message.rest.live() { // it counts from its last byte, and that is still with the client
		r.deadline = now + uploadMost
	}
	if l.expired(now) { // what the list says is too old to go by
		l.answer(r, answer{status: http.StatusServiceUnavailable, retryAfter: min(time.Second, l.settings.Limits.MaxRetry)})
		return
	}
	l.requests[r.ID] = r
	r.end = alarm{at: r.deadline, request: r}
	l.alarm(&r.end)
	l.balancer.Request(now, r.Request)
}

// left tells that a client has closed its connection.
type left struct{ *request }

func (e left) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.close(r)
		l.balancer.Gone(l.now(), r.ID)
		return
	}
	select { // the answer came as the client left: nobody else reads it
	case a := <-r.reply:
		a.more.abandon()
	default:
	}
}

// finished is the end of an attempt on its connection.
type finished struct {
	*attempt
	result
}

func (e finished) apply(l *loop) {
	a := e.attempt
	delete(a.peer.out, a)
	if a.lingers {
		a.peer.lingering--
	}
	l.keep(a.peer, e.result.conn)
	a.peer.reported(e.spoilt)
	if e.stray {
		a.peer.strays++
	}
	if a.told {
		l.ghost(a.peer, -1)
	}
	l.tell(a, e.result)
	l.forget(a.peer)
}

// tell gives the module an attempt's one outcome, and the client the answer if it is served.
func (l *loop) tell(a *attempt, r result) {
	if a.told {
		return
	}
	a.told = true
	l.unset(&a.limit)
	q, now := a.req, l.now()
	if r.status == clayladder.OK && !q.closed {
		l.answer(q, answer{status: r.code, body: r.body, kind: r.kind, header: r.header, more: r.more})
	}
	if r.status != clayladder.OK && !q.closed && q.message.rest.spent() { // the module can't send it anew
		if r.status == clayladder.Full || r.status == clayladder.ConnectFailed || r.status == clayladder.Moot {
			l.answer(q, answer{status: http.StatusServiceUnavailable})
		} else {
			l.answer(q, answer{status: http.StatusBadGateway})
		}
	}
	q.out--
	closed := q.closed
	l.release(q)
	l.balancer.Outcome(now, clayladder.Outcome{ID: q.ID, Upstream: a.peer.id, Attempt: a.n, Latency: now - a.sentAt,
		Status: r.status, Closed: closed, Load: r.load})
}

// settle tells the outcomes that came up while the module was calling.
func (l *loop) settle() {
	for len(l.due) > 0 {
		o := l.due[0]
		l.due = l.due[1:]
		l.end(o.a, o.status)
	}
	l.due = nil
}

// end stops waiting for an attempt. One that was never written is moot.
func (l *loop) end(a *attempt, status clayladder.Status) {
	if a.told {
		return
	}
	if a.drop() {
		status = clayladder.Moot
	} else if a.stage.Load() == claimed {
		// An attempt of a request that may be sent again gives up its connection, or it would count as a second copy.
		until := time.Unix(0, 1)
		if (a.req.closed || l.now() >= a.req.deadline) && a.peer.lingering < a.peer.lingerMost() && a.peer.state == clayladder.Active {
			until, a.lingers = time.Now().Add(lingerFor), true
			a.peer.lingering++
		}
		a.conn.SetReadDeadline(until)
	}
	if _, out := a.peer.out[a]; out {
		l.ghost(a.peer, 1)
	}
	l.tell(a, result{status: status})
}

// expire ends an attempt whose time is up.
func (l *loop) expire(a *attempt) {
	if !a.told {
		l.end(a, clayladder.Timeout)
	}
}

// answer gives a client the one answer.
func (l *loop) answer(r *request, a answer) {
	if r.closed {
		return
	}
	switch a.status {
	case http.StatusServiceUnavailable:
		l.refused++
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		l.failed++
	default:
		l.served++
	}
	a.whole = l.dial.whole
	r.reply <- a
	l.close(r)
}

// close notes that nothing more is owed for r.
func (l *loop) close(r *request) {
	r.closed = true
	l.release(r)
}

// release forgets a request that is closed and has nothing out.
func (l *loop) release(r *request) {
	if r.closed && r.out == 0 {
		delete(l.requests, r.ID)
		delete(l.open, r.name)
		l.unset(&r.end)
	}
}

// --- Host: what the module asks for ---

// Send makes an attempt.
func (l *loop) Send(id clayladder.RequestID, up clayladder.UpstreamID, timeout time.Duration) {
	r, p := l.requests[id], l.peers[up]
	if r == nil || p == nil { // the module sends what it was told of, where it was told
		l.Log(fmt.Sprintf("send of unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	a := &attempt{req: r, n: len(r.attempts), peer: p, sentAt: now, address: p.address, dial: l.dial,
		bodiless: strings.HasPrefix(r.message.line, http.MethodHead+" ")}
	r.attempts, r.out = append(r.attempts, a), r.out+1
	wait := r.deadline - now
	if timeout > 0 && timeout < wait {
		wait = timeout
		a.limit = alarm{at: now + timeout, attempt: a}
		l.alarm(&a.limit)
	}
	a.wait = wait
	if r.message.rest.live() {
		a.wait = min(wait, r.Budget) // from its last byte
	}
	if r.closed || wait <= 0 || p.state != clayladder.Active {
		a.drop()
		l.due = append(l.due, owing{a, clayladder.Moot})
		return
	}
	var room bool
	if a.conn, room = l.connection(p, now); !room { // no fault of the upstream's
		a.drop()
		l.due = append(l.due, owing{a, clayladder.Moot})
		return
	}
	p.out[a] = struct{}{}
	if a.conn != nil {
		a.rest = l.rest(p) - (now - a.conn.idleAt)
	}
	if a.conn != nil && a.conn.worked {
		a.conn.work <- a // has room: the connection was idle
		return
	}
	go l.work(a)
}

// work makes an attempt and then those that come to its connection.
func (l *loop) work(a *attempt) {
	for {
		if a.rest > 0 {
			time.Sleep(a.rest)
		}
		a.head = a.req.message.bytes(a.wait)
		res := a.dial.run(a)
		c := res.conn
		if c != nil {
			c.worked = true
		}
		l.post(finished{a, res})
		if c == nil {
			return
		}
		var open bool
		select {
		case a, open = <-c.work:
			if !open {
				return
			}
		case <-l.ctx.Done(): // the loop has ended: nobody else has the connection
			c.stream.Close()
			return
		}
	}
}

// rest is how long a connection to p rests between two requests.
func (l *loop) rest(p *peer) time.Duration {
	if l.trust && p.strays == 0 {
		return 0
	}
	return restFor
}

// connection takes an idle connection to p, the most recently used that has rested, or else counts one that is to be
// opened (nil). Where no more may be open over all, the one that idles longest makes room; where no more may be open to
// p, one that has still to rest is taken.
func (l *loop) connection(p *peer, now time.Duration) (c *conn, room bool) {
	rest := l.rest(p)
	for i := len(p.idle) - 1; i >= 0; i-- {
		if now-p.idle[i].idleAt >= rest {
			c = p.idle[i]
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, true
		}
	}
	if most := p.share.Connections; most > 0 && p.conns >= most {
		if len(p.idle) == 0 {
			return nil, false
		}
		c = p.idle[0] // its rest is waited for: closed in favour of a new one, both would be open for a moment
		p.idle = slices.Delete(p.idle, 0, 1)
		return c, true
	}
	if l.conns >= l.maxConns {
		var longest *peer
		for _, q := range l.peers {
			if len(q.idle) > 0 && (longest == nil || q.idle[0].idleAt < longest.idle[0].idleAt) {
				longest = q
			}
		}
		if longest == nil || !l.spare(longest) {
			return nil, false
		}
	}
	l.conns, p.conns = l.conns+1, p.conns+1
	return nil, true
}

// spare closes the connection to p that idles longest, if there is one.
func (l *loop) spare(p *peer) bool {
	if len(p.idle) == 0 {
		return false
	}
	l.shut(p, p.idle[0])
	p.idle = slices.Delete(p.idle, 0, 1)
	return true
}

// Refuse answers a client that another try is harmless.
func (l *loop) Refuse(id clayladder.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		if !l.settings.Limits.RetryAfter {
			retryAfter = 0
		}
		l.answer(r, answer{status: http.StatusServiceUnavailable, retryAfter: min(retryAfter, l.settings.Limits.MaxRetry)})
	}
}

// Fail answers a client with no promise.
func (l *loop) Fail(id clayladder.RequestID) {
	if r := l.requests[id]; r != nil {
		status := http.StatusBadGateway
		if l.now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		l.answer(r, answer{status: status})
	}
}

// Cancel stops waiting for an attempt.
func (l *loop) Cancel(id clayladder.RequestID, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		l.due = append(l.due, owing{r.attempts[n], clayladder.Cancelled})
	}
}

// SetTimer asks for a Timer event.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.alarm(&alarm{at: l.now() + max(after, 0), token: token})
}

// Log writes a line to the log, or drops it rather than wait.
func (l *loop) Log(text string) {
	select {
	case l.logs <- text:
	default:
	}
}

func (l *loop) writeLogs() {
	for {
		select {
		case text := <-l.logs:
			slog.Info(text)
		case <-l.ctx.Done():
			return
		}
	}
}

// Watch begins to follow discovery, or ends it.
func (l *loop) Watch(on bool) {
	if l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
	if on && l.discovery != nil { // else lists are told from outside
		ctx, cancel := context.WithCancel(l.discovery.ctx)
		l.stopWatch = cancel
		go l.discovery.watch(ctx)
	}
}

// Fetch asks discovery for the whole list.
func (l *loop) Fetch() {
	if l.discovery != nil {
		go l.discovery.fetch()
	}
}

// Probe asks an upstream for its load.
func (l *loop) Probe(up clayladder.UpstreamID) {
	p := l.peers[up]
	if p == nil || p.state != clayladder.Active {
		return
	}
	b := &probe{peer: p, sentAt: l.now(), address: p.address, load: l.settings.Reports != clayladder.ReportNone}
	var room bool
	if b.conn, room = l.connection(p, b.sentAt); !room {
		return
	}
	go func() {
		res := l.dial.probe(b)
		l.post(probed{b, res})
	}()
}

// probed is the end of a probe.
type probed struct {
	*probe
	result
}

func (e probed) apply(l *loop) {
	l.keep(e.peer, e.result.conn)
	e.peer.reported(e.spoilt)
	if e.stray {
		e.peer.strays++
	}
	now := l.now()
	l.balancer.Probed(now, clayladder.ProbeResult{Upstream: e.peer.id, Latency: now - e.sentAt, Status: e.status, Load: e.result.load})
}

// --- Connections ---

// keep takes back a connection after use; nil means that it has been closed.
func (l *loop) keep(p *peer, c *conn) {
	switch {
	case c == nil:
		l.conns, p.conns = l.conns-1, p.conns-1
	case p.share.Connections > 0 && p.conns > p.share.Connections: // its part has become smaller
		l.shut(p, c)
	case p.state != clayladder.Active || c.RemoteAddr().String() != p.address:
		l.shut(p, c)
	case c.SetDeadline(time.Time{}) != nil: // a time-out may have been set as the answer came
		l.shut(p, c)
	default:
		c.idleAt = l.now()
		p.idle = append(p.idle, c)
	}
}

// shut closes idle connections to p, away from the loop.
func (l *loop) shut(p *peer, cs ...*conn) {
	l.conns, p.conns = l.conns-len(cs), p.conns-len(cs)
	if len(cs) > 0 {
		go func() {
			for _, c := range cs {
				c.Close()
			}
		}()
	}
}

// sweep closes connections that have idled for long. The least recently used stand first.
func (l *loop) sweep(now time.Duration) {
	for _, p := range l.peers {
		n := 0
		for n < len(p.idle) && now-p.idle[n].idleAt >= l.idleFor {
			n++
		}
		if n > 0 {
			l.shut(p, p.idle[:n]...)
			p.idle = append([]*conn(nil), p.idle[n:]...)
		}
	}
}

// Disconnect closes the idle connections to an upstream.
func (l *loop) Disconnect(up clayladder.UpstreamID) {
	if p := l.peers[up]; p != nil {
		l.shut(p, p.idle...)
		p.idle = nil
	}
}

// forget drops an upstream that is gone and has nothing out.
func (l *loop) forget(p *peer) {
	if p.state == clayladder.Gone && len(p.out) == 0 && l.peers[p.id] == p {
		delete(l.peers, p.id)
		l.names.forget(p.name)
	}
}

// --- Discovery ---

// reloaded is a new configuration. Its settings and what it says of discovery hold from now on, all of it or nothing; the
// rest is read at a start only. Requests under way keep the class that they came with.
type reloaded struct {
	Config
	desk *platform
}

func (e reloaded) apply(l *loop) {
	if !reflect.DeepEqual(e.Settings, l.settings) {
		if err := l.balancer.Configure(l.now(), e.Settings); err != nil {
			l.Log(fmt.Sprintf("configuration: the old settings stay: %v", err))
			return
		}
		l.limit(e.spec())
		e.desk.adopt(e.Settings.Classes) // after the module: what a client may ask for it knows
		l.Log(fmt.Sprintf("configuration: new settings hold, with %d classes", len(e.Settings.Classes)))
	}
	if e.Discovery == l.discovery.address {
		l.Log("configuration read again: discovery is where it was")
		return
	}
	l.Log(fmt.Sprintf("configuration read again: discovery is at %s, no longer at %s", e.Discovery, l.discovery.address))
	l.discovery.end()
	l.discovery, l.revision = newDiscovery(l.ctx, e.Discovery, l.hand), 0
	if l.stopWatch != nil {
		l.Watch(true)
	}
}

// apply takes an answer of discovery.
func (x listed) apply(l *loop) {
	switch {
	case x.from != l.discovery: // asked before discovery moved
		return
	case x.err != nil:
		l.trouble = x.err.Error()
		l.Log(l.trouble)
		l.balancer.Members(l.now(), clayladder.ListFailed, nil)
	case x.Revision < l.revision: // overtaken by a newer one: it must not undo that
		l.Log(fmt.Sprintf("discovery: revision %d after %d passed over", x.Revision, l.revision))
	case x.Complete:
		l.heardAt, l.trouble = l.now(), ""
		l.heard.Store(true)
		l.members(clayladder.ListFull, x.listing)
	default:
		l.heardAt, l.trouble = l.now(), ""
		l.heard.Store(true)
		l.members(clayladder.ListDelta, x.listing)
	}
	l.settle()
}

// expired tells whether the list has been without a word from its source for longer than it holds.
func (l *loop) expired(now time.Duration) bool { return l.hold > 0 && now-l.heardAt > l.hold }

// members applies a list: first to the peers, so that nothing goes to one that drains, then to the module, which
// may send at once.
func (l *loop) members(mode clayladder.ListMode, x listing) {
	l.revision = x.Revision
	list := make([]clayladder.Upstream, 0, len(x.Members))
	named := make(map[clayladder.UpstreamID]bool, len(x.Members))
	for i := range x.Members {
		m := &x.Members[i]
		u := m.upstream(l.names.id(m.ID))
		named[u.ID] = true
		if p := l.peer(u, m); p != nil {
			u = p.entry
		}
		list = append(list, u)
	}
	for id, p := range l.peers {
		if mode != clayladder.ListDelta && !named[id] {
			p.state, p.listed = clayladder.Gone, clayladder.Gone
			l.Disconnect(id)
		}
		l.withdraw(p)
	}
	l.claim()
	l.balancer.Members(l.now(), mode, list)
	l.settle()
	for _, p := range l.peers {
		l.forget(p)
	}
}

// withdraw drops what waits for a connection to an upstream that has left.
func (l *loop) withdraw(p *peer) {
	if p.state == clayladder.Active {
		return
	}
	for a := range p.out {
		if a.drop() {
			l.due = append(l.due, owing{a, clayladder.Moot})
		}
	}
}

// peer applies a list's entry; nil if it is of no concern.
func (l *loop) peer(u clayladder.Upstream, m *member) *peer {
	p, address := l.peers[u.ID], m.HostPort
	if p == nil {
		if u.State == clayladder.Gone {
			l.names.forget(m.ID)
			return nil
		}
		p = &peer{id: u.ID, name: m.ID, out: map[*attempt]struct{}{}}
		l.peers[u.ID] = p
	}
	if u.State != clayladder.Gone {
		if address != p.address && p.address != "" {
			l.Disconnect(u.ID)
		}
		p.address = address
	}
	p.listed = u.State
	p.entry = u
	l.place(p)
	return p
}
