package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clayladder/internal/handover"
)

const (
	// answerMargin is taken off the client's deadline, which counts from its sending: the way here and back, and
	// a turn of the loop.
	answerMargin = 4 * time.Millisecond
	// drainIdle is how long idle connections are kept once a drain has begun: 4 s after it none may be.
	drainIdle = 2500 * time.Millisecond
	// lameDuck is how long connections are still taken after SIGTERM: they go on coming for up to 0.4 s.
	lameDuck = 450 * time.Millisecond
	// firstBytes is how long a new connection has for its request before it may have to give way: also the last
	// one that is taken after SIGTERM.
	firstBytes = 50 * time.Millisecond
	// Within 3 s of connecting a client is owed a word or a close. One that says nothing gets it after silentClient,
	// one that stops in the middle of a request after stalledClient. One that goes on, however slowly, may be a usual
	// client on a bad line, and has until slowClient.
	silentClient  = 2500 * time.Millisecond
	stalledClient = 2300 * time.Millisecond
	slowClient    = 10 * time.Second
	uploadFloor   = 8 << 10         // bytes a second that a body must come with beyond slowClient
	slowReader    = 5 * time.Second // over reading its answer
	idleClient    = 2 * time.Minute
	// farewellFor bounds how long, and farewellMost how much, is read and dropped of a client that has been turned
	// away: closed at once, the connection would be reset and the answer lost with it.
	farewellFor  = 300 * time.Millisecond
	farewellMost = 256 << 10
	// spoolMost is what all clients' bodies may take ahead of their attempts, in bytes, where nothing else is set.
	spoolMost = 16 << 20
)

// answer is what a client gets, once.
type answer struct {
	status     int
	body       []byte
	kind       string
	header     http.Header // an upstream's, where all of it is passed on
	retryAfter time.Duration
	more       *download // what of the body goes on as it comes; nil: it is whole
	whole      bool      // retryAfter goes out in whole seconds, as RFC 9110 (section 10.2.3) has it
}

// stage is what a client's connection is at.
type stage uint8

const (
	silent  stage = iota // no whole request has come yet, or it is being turned away
	idle                 // between requests
	busy                 // a request is in it
	evicted              // closed to make room
)

// pacer sets a connection's limits of time while a request is read from it.
type pacer struct {
	net.Conn
	until time.Time // for the request; zero: no limits are set here
}

// extend gives a body of so many bytes the time that it may take, however slowly it comes.
func (p *pacer) extend(bytes int) {
	if p != nil {
		p.until = p.until.Add(time.Duration(bytes) * time.Second / uploadFloor)
	}
}

func (p *pacer) Read(b []byte) (int, error) {
	if p.until.IsZero() {
		return p.Conn.Read(b)
	}
	limit := time.Now().Add(stalledClient)
	if p.until.Before(limit) {
		limit = p.until
	}
	p.Conn.SetReadDeadline(limit)
	n, err := p.Conn.Read(b)
	if err != nil {
		p.until = time.Unix(0, 1) // bufio asks again after an error behind half a line: that must not begin a new wait
	}
	return n, err
}

// client is a client's connection. Its stage is the frontend's, under its lock.
type client struct {
	*stream
	pace  *pacer
	stage stage
	reads bool          // a request is being read
	since time.Time     // of the stage
	watch chan struct{} // asks the watcher to look for a byte or the end
	seen  chan error    // what it saw
	asked bool          // it looks, and has the reader until it has seen something
}

// watcher sees the client leave while its request is answered. Once that is done it goes on looking, for the next request.
func (c *client) watcher() {
	for range c.watch {
		_, err := c.in.Peek(1)
		c.seen <- err
	}
}

// frontend takes requests from clients, hands them to the loop and writes its answers.
type frontend struct {
	desk     desk
	listener net.Listener
	room     atomic.Int64 // connections at most
	spare    int          // connections with a request or behind one, over which the longest idle one goes; 0: none goes

	mu      sync.Mutex
	clients map[*client]struct{}
	count   [evicted + 1]int // of clients, by their stage
	leaving bool             // told to stop: every answer closes its connection
	standby *time.Timer      // drained: every answer closes its connection, and idle ones go when it goes off; nil: it is not
	closed  bool             // no more connections are taken, and idle ones go
	heir    *handover.Link   // takes the connections without a request in them; nil: nobody does
	ended   chan struct{}    // closed once serve takes no more connections
	spool   spool            // for bodies that are read ahead
	gone    sync.WaitGroup
}

func newFrontend(d desk, l net.Listener, room int) *frontend {
	f := &frontend{desk: d, listener: l, clients: map[*client]struct{}{}, ended: make(chan struct{})}
	f.room.Store(int64(room))
	f.spool.free.Store(spoolMost)
	return f
}

// serve takes connections until stop has been called.
func (f *frontend) serve() error {
	defer close(f.ended)
	for {
		c, err := f.listener.Accept()
		switch {
		case err == nil:
			f.take(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or a connection that broke in the queue: neither ends the service
			slog.Warn("taking a connection", "err", err)
			f.evict()
			time.Sleep(firstBytes / 10)
		}
	}
}

// take begins to serve a connection, once there is room for it.
func (f *frontend) take(raw net.Conn) {
	for !f.evict() {
		time.Sleep(firstBytes / 10)
	}
	pace := &pacer{Conn: raw}
	c := &client{stream: newStream(pace, 4<<10), pace: pace, since: time.Now()}
	c.SetReadDeadline(time.Now().Add(silentClient))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed && f.heir == nil {
		raw.Close()
		return
	}
	if f.heir != nil {
		c.SetReadDeadline(time.Unix(0, 1))
	}
	f.clients[c] = struct{}{}
	f.count[c.stage]++
	f.gone.Go(func() {
		f.converse(c)
		c.Close()
		f.mu.Lock()
		f.remove(c)
		f.mu.Unlock()
	})
}

// move takes c to a stage, and remove takes it out. The caller holds the lock.
func (f *frontend) move(c *client, s stage) {
	f.count[c.stage]--
	f.count[s]++
	c.stage, c.since = s, time.Now()
}

func (f *frontend) remove(c *client) {
	if _, ok := f.clients[c]; ok {
		f.count[c.stage]--
		delete(f.clients, c)
	}
}

// evict tells whether there is room for one more connection. Where there is none it closes the one that has been
// silent for longest, or else idle for longest, never one with a request in it. Descriptors that run out would be
// missed by upstreams and discovery too.
func (f *frontend) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clients) < int(f.room.Load()) {
		return true
	}
	return f.drop(silent)
}

// drop closes the connection that has been longest at the first of the stages from the given one on that has any, but
// none with a request in it. The caller holds the lock.
func (f *frontend) drop(from stage) bool {
	var victim *client
	for c := range f.clients {
		if c.stage < from || c.stage == busy || c.stage == evicted || (c.stage == silent && time.Since(c.since) < firstBytes) {
			continue
		}
		if victim == nil || c.stage < victim.stage || (c.stage == victim.stage && c.since.Before(victim.since)) {
			victim = c
		}
	}
	if victim != nil {
		f.move(victim, evicted)
		victim.Close()
		f.remove(victim)
	}
	return victim != nil
}

// enter moves c to a stage. It fails if c has been closed meanwhile, or is to go.
func (f *frontend) enter(c *client, s stage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.stage == evicted || (s == idle && f.closed && f.heir == nil) {
		return false
	}
	f.move(c, s)
	c.reads = s == silent
	if s == idle {
		c.SetReadDeadline(time.Now().Add(idleClient))
		if f.heir != nil {
			c.SetReadDeadline(time.Unix(0, 1))
		}
	}
	if s == idle && f.spare > 0 && f.count[idle]+f.count[busy] > f.spare {
		f.drop(idle)
	}
	return c.stage != evicted
}

// stop ends service without losing a request: connections that are still on their way are taken, then the
// listener and idle connections are closed, and what has been taken is answered.
func (f *frontend) stop() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	time.Sleep(lameDuck)
	f.mu.Lock()
	f.closed = true
	f.listener.Close()
	f.close(func(s stage) bool { return s == idle })
	f.mu.Unlock()
	time.Sleep(firstBytes)
	f.mu.Lock()
	f.close(func(s stage) bool { return s == silent })
	f.mu.Unlock()
	f.settle()
}

// handOver ends service where another process has the listener too: that one gets the connections without a request in
// them, now or once they are answered. Bytes that come meanwhile wait in the socket, so nothing crosses with a close.
func (f *frontend) handOver(heir *handover.Link) {
	f.mu.Lock()
	f.heir, f.closed = heir, true
	f.listener.Close()
	for c := range f.clients {
		if c.stage == idle || (c.stage == silent && !c.reads) {
			c.SetReadDeadline(time.Unix(0, 1)) // ends its wait
		}
	}
	f.mu.Unlock()
	<-f.ended
	f.settle()
}

// pass hands a connection over whose wait for a request has ended with an error, if there is somebody to take it and
// nothing of a request has been read from it.
func (f *frontend) pass(c *client, err error) {
	f.mu.Lock()
	heir := f.heir
	f.mu.Unlock()
	if timeout := net.Error(nil); heir == nil || !errors.As(err, &timeout) || !timeout.Timeout() || c.in.Buffered() > 0 {
		return
	}
	if err := heir.Send(handover.Message{Kind: handover.Client}, c.pace.Conn.(syscall.Conn)); err != nil {
		slog.Warn("handing a client over", "err", err)
	}
}

// settle waits until all that was taken is answered.
func (f *frontend) settle() {
	answered := make(chan struct{})
	go func() { f.gone.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(f.desk.longest() + lameDuck):
		slog.Warn("clients that did not read their answers are left")
	}
}

// close closes the connections at a stage. The caller holds the lock.
func (f *frontend) close(at func(stage) bool) {
	for c := range f.clients {
		if at(c.stage) {
			f.move(c, evicted)
			c.Close()
		}
	}
}

// converse serves a connection until one side ends it. Clients send one request at a time.
func (f *frontend) converse(c *client) {
	c.watch, c.seen = make(chan struct{}), make(chan error, 1)
	go c.watcher()
	defer close(c.watch)
	for {
		if err := c.await(); err != nil {
			f.pass(c, err)
			return
		}
		if !f.enter(c, silent) {
			return
		}
		c.pace.until = time.Now().Add(slowClient)
		q, h, err := f.read(c)
		c.pace.until = time.Time{}
		if err != nil {
			f.turnAway(c, err)
			return
		}
		if !f.enter(c, busy) {
			return
		}
		a, err := f.ask(c, q)
		if err != nil {
			f.turnAway(c, err)
			return
		}
		unread := q != nil && q.message.rest.unread()
		last := closes(h) || f.isLeaving() || a.status == http.StatusConflict || unread
		if a.status == 0 || c.write(a, last) != nil {
			return
		}
		if unread { // closed at once, the connection would be reset and the answer lost
			q.message.rest.stop()
			c.farewell(slowClient, maxStream)
		}
		if last || !f.enter(c, idle) {
			return
		}
	}
}

// await returns when the first byte of the next request has come.
func (c *client) await() error {
	if c.asked {
		c.asked = false
		return <-c.seen
	}
	c.bound.N = maxHead
	_, err := c.in.Peek(1)
	return err
}

// drained tells whether the balancer is drained by hand.
func (f *frontend) drained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.standby != nil
}

// isLeaving tells whether clients are to go elsewhere.
func (f *frontend) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving || f.standby != nil
}

// drain begins a drain or ends it. What comes meanwhile is served: the front goes on sending for a while. A connection is
// closed by its next answer, and one without a request for so long that most have had one: closed at once, many would
// cross with a request.
func (f *frontend) drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.standby == nil:
		f.standby = time.AfterFunc(drainIdle, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.standby != nil {
				f.close(func(s stage) bool { return s == idle })
			}
		})
	case !on && f.standby != nil:
		f.standby.Stop()
		f.standby = nil
	}
}

// ask gets the answer to a request, or to a question after this balancer's health if q is nil. A status of 0
// means that the client has gone.
func (f *frontend) ask(c *client, q *request) (answer, error) {
	if q == nil {
		if f.isLeaving() {
			return answer{status: http.StatusServiceUnavailable, body: []byte("draining\n"), kind: "text/plain"}, nil
		}
		f.desk.alive()
		return answer{status: http.StatusOK, body: []byte("ok\n"), kind: "text/plain"}, nil
	}
	rest := q.message.rest
	if rest != nil {
		defer rest.release()
	}
	if refused, err := f.desk.enter(q); err != nil || refused.status != 0 {
		return refused, err
	}
	defer f.desk.leave(q)
	if rest.live() {
		select {
		case a := <-q.reply: // before the body was in
			return a, nil
		case err := <-rest.done:
			rest.over = true
			if failed := (clientFailed{}); errors.As(err, &failed) {
				q.post(left{q})
				return answer{}, failed.error
			}
			if rest.whole = err == nil; err != nil {
				return <-q.reply, nil
			}
		}
	}
	c.SetReadDeadline(time.Time{})
	c.bound.N = maxHead
	c.watch <- struct{}{}
	c.asked = true
	select {
	case a := <-q.reply:
		select {
		case err := <-c.seen:
			a.more.abandon()
			if c.asked = false; err == nil {
				return answer{}, errAhead
			}
			return answer{}, nil
		default:
			return a, nil
		}
	case err := <-c.seen:
		c.asked = false
		q.post(left{q})
		if err == nil {
			return answer{}, errAhead
		}
		return answer{}, nil
	}
}

// turn is closed when the loop comes to it: it is alive.
type turn chan struct{}

func (t turn) apply(*loop) { close(t) }

// refusal is why a request never reaches the module, and what its client is told.
type refusal struct {
	status int
	why    string
}

func (r *refusal) Error() string { return r.why }

func bad(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var errAhead = bad("bytes behind a request that is not answered yet")

// turnAway answers a client whose request can't be served, and closes the connection: where its next request begins
// is not certain. One whose connection broke gets no answer.
func (f *frontend) turnAway(c *client, err error) {
	if !f.enter(c, silent) {
		return
	}
	r := &refusal{http.StatusBadRequest, err.Error()}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		r = &refusal{http.StatusRequestTimeout, "the request did not come whole in time"}
	} else if errors.Is(err, errLong) {
		r.status = http.StatusRequestHeaderFieldsTooLarge
	} else if errors.Is(err, errLarge) {
		r.status = http.StatusRequestEntityTooLarge
	} else if !errors.As(err, &r) && !errors.Is(err, errHead) && !errors.Is(err, errFrame) {
		return
	}
	if c.write(answer{status: r.status, body: []byte(r.why + "\n"), kind: "text/plain"}, true) != nil {
		return
	}
	c.farewell(farewellFor, farewellMost)
}

// farewell reads and drops what a client still sends, for a time and up to a number of bytes.
func (c *client) farewell(within time.Duration, most int64) {
	if half, ok := c.pace.Conn.(*net.TCPConn); ok {
		half.CloseWrite()
		half.SetReadDeadline(time.Now().Add(within))
		io.CopyN(io.Discard, half, most)
	}
}

// write writes an answer. If it fails the client has gone, and can tell that the answer is not whole.
func (c *client) write(a answer, last bool) error {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	field := func(name, value string) {
		b.WriteString(name)
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	field("HTTP/1.1 ", strconv.Itoa(a.status)+" "+http.StatusText(a.status))
	writeFields(b, a.header)
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified: // end with their head (RFC 9112, section 6.3)
	case a.more != nil && a.more.framed():
		field("Transfer-Encoding: ", "chunked")
	case a.more != nil:
		field("Content-Length: ", strconv.FormatUint(a.more.f.length, 10))
	case len(a.header["Content-Length"]) > 0 && len(a.body) == 0: // an answer to HEAD tells the length that GET would have
		field("Content-Length: ", a.header.Get("Content-Length"))
	default:
		field("Content-Length: ", strconv.Itoa(len(a.body)))
	}
	if a.kind != "" {
		field("Content-Type: ", a.kind)
	}
	if a.retryAfter > 0 && a.whole {
		field("Retry-After: ", strconv.FormatInt(int64((a.retryAfter+time.Second-1)/time.Second), 10))
	} else if a.retryAfter > 0 {
		field("Retry-After: ", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if last {
		field("Connection: ", "close")
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	c.SetWriteDeadline(time.Now().Add(slowReader))
	if _, err := c.Write(b.Bytes()); err != nil || a.more == nil {
		a.more.abandon()
		return err
	}
	return a.more.copy(c)
}

// readBody reads a body, or the part of it that is read ahead.
func (f *frontend) readBody(c *client, q *request, framed framing) (err error) {
	body := c.reader(framed)
	c.pace.extend(maxBody)
	if q.message.body, err = body.upTo(maxBody); err != nil || body.ended() {
		return err
	}
	rest := &upload{room: &f.spool, conn: c.pace, length: framed.length, known: !framed.chunked, done: make(chan error, 1)}
	rest.users.Store(1)
	c.pace.extend(readAhead)
	if err := rest.fill(body); err != nil {
		rest.release()
		return err
	}
	if !rest.live() && !rest.known {
		rest.length, rest.known = uint64(len(q.message.body))+rest.ahead(), true
	}
	q.message.rest = rest
	return nil
}

// once names the fields of which a second one would leave open which of them counts.
var once = []string{"Host", "Content-Length", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key",
	"X-Retry", "X-Cost-Hint", "X-Extras", "Cookie"}

// read reads a client's request; nil is a question after this balancer's health. What is malformed never reaches the
// module.
func (f *frontend) read(c *client) (*request, textproto.MIMEHeader, error) {
	line, h, err := c.head()
	if err != nil {
		return nil, nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" {
		return nil, nil, &refusal{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted"}
	}
	for name, values := range h {
		if len(values) > 1 && slices.Contains(once, name) {
			return nil, nil, bad("%s stands there more than once", name)
		}
	}
	if method == http.MethodGet && target == "/healthz" && h.Get("X-Request-Id") == "" {
		return nil, h, nil
	}
	q, err := f.desk.check(method, target, h)
	if err != nil {
		return nil, nil, err
	}
	framed, some, err := framingOf(h)
	switch {
	case errors.Is(err, errLarge):
		return nil, nil, &refusal{http.StatusRequestEntityTooLarge, "a body of that length is not taken"}
	case err != nil && len(h["Content-Length"]) == 0: // RFC 9112, section 6.1
		return nil, nil, &refusal{http.StatusNotImplemented, "of transfer codings, chunked is known"}
	case err != nil && len(h["Transfer-Encoding"]) > 0:
		// An upstream may go by the other one: the rest of the body would be a request of its own.
		return nil, nil, bad("Content-Length beside Transfer-Encoding")
	case err != nil:
		return nil, nil, bad("Content-Length is no number")
	case !some && q.message.bodied:
		return nil, nil, &refusal{http.StatusLengthRequired, "a Content-Length or chunks are wanted"}
	case (framed.chunked || framed.length > 0) && !q.message.bodied:
		return nil, nil, bad("%s with a body", method)
	}
	if some {
		if strings.EqualFold(h.Get("Expect"), "100-continue") && c.in.Buffered() == 0 {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // if it fails so does the reading
		}
		if err := f.readBody(c, q, framed); err != nil {
			return nil, nil, err
		}
	}
	if c.in.Buffered() > 0 && !q.message.rest.live() {
		return nil, nil, errAhead
	}
	q.at = f.desk.now() // it counts from its last byte
	return q, h, nil
}
