package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/discovery"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// settingsText has a class of each kind. Discovery is asked again at once after a failure.
const settingsText = `{"az":"z1","balancers":1,"granularity_us":1000,"membership_mode":"on_request","weights":"nominal",
"worth_by":"work","limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":500000,"keepalive_us":60000000},
"obligations":{"ask_within_us":320000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3.0},
"profiles":[{"name":"read","target_us":2000000,"give_up_us":4000000,"repeat":"read_like","worth":1},
{"name":"pay","target_us":2000000,"give_up_us":4000000,"repeat":"idempotency_key","group":"all","memory_span_us":9000000,"worth":1},
{"name":"checkin","target_us":2000000,"give_up_us":4000000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}`

// registry is a discovery service. Each answer of a call is what the test puts into answers; calls are told.
type registry struct {
	addr    string
	calls   chan string // the query of each call
	answers chan discovery.Listing
}

func newRegistry(t *testing.T) *registry {
	g := &registry{calls: make(chan string, 1000), answers: make(chan discovery.Listing)}
	stop := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.calls <- r.URL.RawQuery
		select {
		case l := <-g.answers:
			if l.Revision == 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			json.NewEncoder(w).Encode(l)
		case <-r.Context().Done():
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); s.Close() })
	g.addr = s.Listener.Addr().String()
	return g
}

func up(id string, s *scripted.Node) discovery.Member {
	return discovery.Member{ID: id, HostPort: s.Addr, Locality: "z1", Phase: "up", Size: 1}
}

func draining(m discovery.Member) discovery.Member { m.Phase = "draining"; return m }

// testBalancer is a running testBalancer.
type testBalancer struct {
	*Balancer
	url      string
	registry *registry
	cancel   context.CancelFunc
	ended    chan error
	config   Config
	reloads  chan Config
	client   *http.Client
}

func newBalancer(t *testing.T, members ...discovery.Member) *testBalancer {
	t.Helper()
	g := newRegistry(t)
	f := configFile{
		Name: "n0", Listen: "127.0.0.1:0", Discovery: g.addr, Seed: "8c1f30d27a5be964",
		Known: discovery.Listing{Revision: 10, Complete: true, Members: members}, Settings: json.RawMessage(settingsText),
	}
	f.Limits.MemoryMB, f.Limits.Sockets = 192, 1024
	c, err := f.config()
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &testBalancer{
		url: "http://" + l.Addr().String(), registry: g, cancel: cancel, ended: make(chan error, 1), config: c, reloads: make(chan Config),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	b.Balancer, err = Start(c, l, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { b.ended <- b.Run(ctx, b.reloads) }()
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		if err := <-b.ended; err != nil {
			t.Error(err)
		}
		b.ended <- nil
	})
	return b
}

var lastID int

// ask returns a well-formed request of a class.
func (b *testBalancer) ask(class, body string, headers ...string) *http.Request {
	lastID++
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, b.url+"/"+class+"/x?q=%2F1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", lastID))
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Deadline-Ms", "4000")
	if class == "pay" {
		r.Header.Set("Idempotency-Key", strconv.Itoa(lastID))
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// do sends a request and returns the answer whole.
func (b *testBalancer) do(t *testing.T, r *http.Request) (int, string) {
	t.Helper()
	resp, err := b.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestServesUnchanged(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := newBalancer(t, up("s-00000001", s))
	for _, class := range []string{"pay", "checkin"} {
		time.Sleep(2 * time.Millisecond) // or the second one would not use the connection again
		q := b.ask(class, "body", "Connection", "X-Hop", "X-Hop", "1", "X-Extras", "a=1")
		status, body := b.do(t, q)
		want(t, "status", status, 200)
		want(t, "answer", body, "done")
		r := <-s.Arrivals
		text, _ := io.ReadAll(r.Body)
		want(t, "body", string(text), "body")
		want(t, "method", r.Method, q.Method)
		want(t, "target", r.RequestURI, "/"+class+"/x?q=%2F1")
		for _, h := range []string{"X-Request-Id", "Idempotency-Key", "X-Extras"} {
			want(t, h, r.Header.Get(h), q.Header.Get(h))
		}
		want(t, "X-Hop", r.Header.Get("X-Hop"), "")
		if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err != nil || ms <= 0 || ms >= 4000 {
			t.Errorf("X-Deadline-Ms: got %q, want under the client's", r.Header.Get("X-Deadline-Ms"))
		}
	}
	want(t, "connections", s.Opened(), 1)
}

// A refused connection proves that the request never ran: it goes elsewhere.
func TestRefusedConnectionGoesElsewhere(t *testing.T) {
	dead, alive := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Addr = l.Addr().String()
	l.Close()
	b := newBalancer(t, up("s-00000001", dead), up("s-00000002", alive))
	for range 4 {
		status, _ := b.do(t, b.ask("checkin", ""))
		want(t, "status", status, 200)
	}
}

func TestMalformedRequestsStayOutside(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := newBalancer(t, up("s-00000001", s))
	get := b.ask("checkin", "")
	get.Method = http.MethodGet
	noID := b.ask("checkin", "")
	noID.Header.Del("X-Request-Id")
	noKey := b.ask("pay", "")
	noKey.Header.Del("Idempotency-Key")
	for _, c := range []struct {
		name   string
		r      *http.Request
		status int
	}{
		{"unknown class", b.ask("checkin", "", "X-Class", "nope"), 400},
		{"path of another class", b.ask("checkin", "", "X-Class", "read"), 400},
		{"no id", noID, 400},
		{"method of another kind", get, 400},
		{"key on an unsafe class", b.ask("checkin", "", "Idempotency-Key", "1"), 400},
		{"keyed without a key", noKey, 400},
	} {
		status, _ := b.do(t, c.r)
		want(t, c.name, status, c.status)
	}
	large := rawClient(t, b.url, checkin(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", body.Usual.Request+1))+"x")
	want(t, "body too large", strings.HasPrefix(large, "HTTP/1.1 413"), true)
	want(t, "requests at the upstream", len(s.Arrivals), 0)
}

// rawClient sends text on a connection of its own, and returns all that comes back until it is closed.
func rawClient(t *testing.T, url, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	go io.WriteString(c, text) // it may be closed before all is written
	got, err := io.ReadAll(c)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("neither an answer nor a close")
	}
	return string(got)
}

// checkin is a request as text, with fields put in.
func checkin(fields string) string {
	return "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Class: checkin\r\n" + fields + "\r\n"
}

// What can't be read, or is not certain, never reaches an upstream: it gets its word and a close.
func TestBadClients(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := newBalancer(t, up("s-00000001", s))
	const id = "X-Request-Id: 1\r\n"
	for _, c := range []struct{ name, text, status string }{
		{"noise", "\x00\x01\x02\r\n\r\n", "400"},
		{"both framings", checkin(id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"a coding that is not known", checkin(id + "Transfer-Encoding: gzip, chunked\r\n"), "501"},
		{"a chunk of no size", checkin(id+"Transfer-Encoding: chunked\r\n") + "x\r\n", "400"},
		{"a chunk of over 2^63", checkin(id+"Transfer-Encoding: chunked\r\n") + "ffffffffffffffffff\r\n", "400"},
		{"chunks without end", checkin(id+"Transfer-Encoding: chunked\r\n") + strings.Repeat("1\r\nx\r\n", 20<<10), "40"},
		{"chunks in HTTP/1.0", strings.Replace(checkin(id+"Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1), "505"},
		{"a blank before the colon", checkin(id + "Transfer-Encoding : chunked\r\n"), "400"},
		{"a field without a colon", checkin(id + "what\r\n"), "400"},
		{"no length", checkin(id), "411"},
		{"a negative length", checkin(id + "Content-Length: -5\r\n"), "400"},
		{"a signed length", checkin(id+"Content-Length: +2\r\n") + "ab", "400"},
		{"a huge length", checkin(id + "Content-Length: 99999999999999999999\r\n"), "413"},
		{"two lengths", checkin(id + "Content-Length: 2\r\nContent-Length: 2\r\n"), "400"},
		{"more than its length", checkin(id+"Content-Length: 2\r\n") + "abc", "400"},
		{"two requests at once", strings.Repeat(checkin(id+"Content-Length: 0\r\n"), 2), "400"},
		{"a class that does not exist", strings.Replace(checkin(id+"Content-Length: 0\r\n"), "X-Class: checkin", "X-Class: x", 1), "400"},
		{"two classes", checkin(id + "X-Class: checkin\r\nContent-Length: 0\r\n"), "400"},
		{"no id", checkin("Content-Length: 0\r\n"), "400"},
		{"two ids", checkin(id + id + "Content-Length: 0\r\n"), "400"},
		{"a deadline that is no number", checkin(id + "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n"), "400"},
		{"a deadline that is empty", checkin(id + "X-Deadline-Ms:\r\nContent-Length: 0\r\n"), "400"},
		{"a deadline of zero", checkin(id + "X-Deadline-Ms: 0\r\nContent-Length: 0\r\n"), "400"},
		{"a negative deadline", checkin(id + "X-Deadline-Ms: -5\r\nContent-Length: 0\r\n"), "400"},
		{"two deadlines", checkin(id + "X-Deadline-Ms: 50\r\nX-Deadline-Ms: 60\r\nContent-Length: 0\r\n"), "400"},
		{"a head without end", checkin(id + strings.Repeat("X-Pad: pppp\r\n", http1.MaxHead)), "431"},
		{"half a head", "POST /checkin HT", "408"},
		{"half a body", checkin(id+"Content-Length: 5\r\n") + "ab", "408"},
		{"nothing", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			got := rawClient(t, b.url, c.text)
			if want := "HTTP/1.1 " + c.status; (c.status == "") != (got == "") || (c.status != "" && !strings.HasPrefix(got, want)) {
				t.Errorf("got %q, want %q", got, want)
			}
			if d := time.Since(start); d > 3*time.Second {
				t.Errorf("answered after %v", d)
			}
		})
	}
	t.Cleanup(func() { want(t, "requests at the upstream", len(s.Arrivals), 0) })
}

// A client that is slow but goes on is a usual one on a bad line: it is served, later than a silent one is closed.
func TestSlowClientIsServed(t *testing.T) {
	t.Parallel()
	s := scripted.Start(t, scripted.Done)
	b := newBalancer(t, up("s-00000001", s))
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	text := checkin("X-Request-Id: slow\r\nContent-Length: 4\r\n") + "body"
	piece := len(text)/6 + 1
	start := time.Now()
	for ; len(text) > 0; text = text[min(piece, len(text)):] {
		if _, err := io.WriteString(c, text[:min(piece, len(text))]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(frontend.StalledClient / 2) // a slow line is what is tried
	}
	if time.Since(start) < frontend.SilentClient {
		t.Fatal("not slow enough to tell")
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "status", resp.StatusCode, 200)
}

// A deadline beyond the class's is cut to that.
func TestLongDeadlineIsServed(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := newBalancer(t, up("s-00000001", s))
	status, _ := b.do(t, b.ask("checkin", "", "X-Deadline-Ms", "99999999999"))
	want(t, "status", status, 200)
}

// The id of a request that is open: the newcomer is turned away, the first is served.
func TestIDThatIsOpen(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := newBalancer(t, up("s-00000001", s))
	q := b.ask("checkin", "")
	second := q.Clone(t.Context())
	first := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(q)
		if err != nil {
			first <- 0
			return
		}
		resp.Body.Close()
		first <- resp.StatusCode
	}()
	<-s.Arrivals
	status, _ := b.do(t, second)
	want(t, "newcomer", status, 409)
	close(release)
	want(t, "first", <-first, 200)
	status, _ = b.do(t, second.Clone(t.Context()))
	want(t, "once it is no longer open", status, 200)
}

// Hundreds of silent connections: those that say nothing make room, a request in hand is answered, and new clients are
// served.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return scripted.Done(c, r)
	})
	b := newBalancer(t, up("s-00000001", s))
	late := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.ask("checkin", "", "X-Late", "1"))
		if err != nil {
			late <- 0
			return
		}
		resp.Body.Close()
		late <- resp.StatusCode
	}()
	<-s.Arrivals
	var all []net.Conn
	for range b.config.clientConns() + 50 {
		c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c)
	}
	if _, err := all[0].Read(make([]byte, 1)); err == nil {
		t.Error("bytes on the longest silent connection")
	}
	status, _ := b.do(t, b.ask("checkin", ""))
	want(t, "a new client", status, 200)
	close(release)
	want(t, "the request in hand", <-late, 200)
}

// A hung upstream: the client gets its one answer by its deadline, and the request is not sent again.
func TestFailsByTheDeadline(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := newBalancer(t, up("s-00000001", s), up("s-00000002", s))
	defer close(release)
	start := time.Now()
	status, _ := b.do(t, b.ask("checkin", "", "X-Deadline-Ms", "200"))
	want(t, "status", status, http.StatusGatewayTimeout)
	if d := time.Since(start); d < 150*time.Millisecond || d > 2*time.Second {
		t.Errorf("answered after %v, want about the deadline", d)
	}
	want(t, "requests at the upstream", len(s.Arrivals), 1)
}

// A client that leaves stops no work. Its connection waits for the late answer and serves again: closing it would
// cost the upstream a handshake. All other connections are closed after their answers here.
func TestConnectionOutlivesItsClient(t *testing.T) {
	release := make(chan struct{})
	from := make(chan net.Conn, 1)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		from <- c
		if r.Header.Get("X-Late") != "" {
			<-release
			return scripted.Done(c, r)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	b := newBalancer(t, up("s-00000001", s))
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	go func() {
		_, err := b.client.Do(b.ask("checkin", "", "X-Late", "1").WithContext(ctx))
		gone <- err
	}()
	late := <-from
	<-s.Arrivals
	leave()
	if err := <-gone; err == nil {
		t.Fatal("the client has not left")
	}
	status, _ := b.do(t, b.ask("checkin", "")) // on a connection of its own
	want(t, "status", status, 200)
	<-from
	<-s.Arrivals
	close(release)
	for limit := time.Now().Add(3 * time.Second); ; {
		if status, _ := b.do(t, b.ask("checkin", "")); status == 200 {
			<-s.Arrivals
			if <-from == late {
				break
			}
		}
		if time.Now().After(limit) {
			t.Fatal("the connection was not used again")
		}
	}
}

// An agent on the balancer's own machine answers a watch at once, news or not. That must not keep the core busy.
func TestPausesBetweenWatchCalls(t *testing.T) {
	b := newBalancer(t)
	<-b.registry.calls
	start := time.Now()
	for range 4 {
		b.registry.answers <- discovery.Listing{Revision: 10}
		<-b.registry.calls
	}
	if d := time.Since(start); d < 2*discovery.WatchPause {
		t.Errorf("4 calls in %v", d)
	}
}

// A connection on which nothing was ever sent must not keep a stopping balancer from ending, nor take the
// requests in hand with it.
func TestStopClosesUnusedConnections(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := newBalancer(t, up("s-00000001", s))
	unused, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	status := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.ask("checkin", ""))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-s.Arrivals
	b.cancel()
	if _, err := unused.Read(make([]byte, 1)); err == nil {
		t.Error("bytes on an unused connection")
	}
	close(release)
	want(t, "status of the request in hand", <-status, 200)
}

// After a drain has been told nothing more goes there; an older answer does not bring it back.
func TestDrainIsKept(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	m1, m2 := up("s-00000001", one), up("s-00000002", two)
	b := newBalancer(t, m1, m2)
	want(t, "first call", <-b.registry.calls, "since=10&timeout_ms=2000")
	b.registry.answers <- discovery.Listing{Revision: 12, Members: []discovery.Member{draining(m1)}}
	want(t, "next call", <-b.registry.calls, "since=12&timeout_ms=2000")
	b.registry.answers <- discovery.Listing{Revision: 11, Complete: true, Members: []discovery.Member{m1, m2}}
	want(t, "call after an older answer", <-b.registry.calls, "since=12&timeout_ms=2000")
	for range 10 {
		status, _ := b.do(t, b.ask("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the draining upstream", len(one.Arrivals), 0)
	want(t, "requests at the other", len(two.Arrivals), 10)
}

// A failed call is told to the module, which asks again in its own time.
func TestAsksAgainAfterAFailure(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := newBalancer(t)
	<-b.registry.calls
	b.registry.answers <- discovery.Listing{} // 503
	<-b.registry.calls
	b.registry.answers <- discovery.Listing{Revision: 20, Complete: true, Members: []discovery.Member{up("s-00000001", s)}}
	<-b.registry.calls // the list has been posted
	status, _ := b.do(t, b.ask("checkin", ""))
	want(t, "status", status, 200)
}

// A new configuration names another discovery, whose revisions are lower: its whole list is taken, a late answer of the
// old one is not.
func TestReloadMovesDiscovery(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	b := newBalancer(t, up("s-00000001", one))
	want(t, "first call", <-b.registry.calls, "since=10&timeout_ms=2000")
	next := newRegistry(t)
	c := b.config
	c.Discovery = next.addr
	b.reloads <- c
	want(t, "call at the new discovery", <-next.calls, "")
	select { // the call at the old one has been ended; its answer, should it still be written, is too late
	case b.registry.answers <- discovery.Listing{Revision: 30, Complete: true, Members: []discovery.Member{up("s-00000001", one)}}:
	default:
	}
	next.answers <- discovery.Listing{Revision: 3, Complete: true, Members: []discovery.Member{up("s-00000002", two)}}
	want(t, "its next call", <-next.calls, "since=3&timeout_ms=2000")
	for range 5 {
		status, _ := b.do(t, b.ask("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at what the new list lacks", len(one.Arrivals), 0)
	want(t, "requests at the other", len(two.Arrivals), 5)
}

// What was taken is answered after SIGTERM, and connections that are still on their way are served.
func TestStopLosesNothing(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return scripted.Done(c, r)
	})
	b := newBalancer(t, up("s-00000001", s))
	type got struct {
		status int
		err    error
	}
	late := make(chan got, 1)
	go func() {
		resp, err := b.client.Do(b.ask("checkin", "", "X-Late", "1"))
		if err != nil {
			late <- got{err: err}
			return
		}
		resp.Body.Close()
		late <- got{resp.StatusCode, nil}
	}()
	<-s.Arrivals
	b.cancel()
	for { // a new connection, after the stop has begun
		r := b.ask("checkin", "")
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		want(t, "status while stopping", resp.StatusCode, 200)
		if resp.Close {
			break
		}
	}
	close(release)
	if g := <-late; g.err != nil || g.status != 200 {
		t.Errorf("the request in hand ended with %v, %v", g.status, g.err)
	}
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
	if _, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://")); err == nil {
		t.Error("still listening")
	}
}

// Clients that ask once and keep their connection for good take up what clients may hold: the one that has idled longest
// makes room with each answer, and one with a request in it never does.
func TestConnectionsKeptForGoodMakeRoom(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") == "held" {
			<-release
		}
		return scripted.OK(c, "done")
	})
	b := newBalancer(t, up("s-1", s))
	dial := func(id string) (net.Conn, *bufio.Reader) {
		t.Helper()
		c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(c, "GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: %s\r\n\r\n", id)
		return c, bufio.NewReader(c)
	}
	_, held := dial("held")
	<-s.Arrivals
	most := b.config.requestConns()
	var kept []*bufio.Reader
	for i := range most + 20 {
		_, in := dial(fmt.Sprint("once", i))
		if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v, %v", i, resp, err)
		} else {
			io.Copy(io.Discard, resp.Body)
		}
		<-s.Arrivals
		kept = append(kept, in)
	}
	closed := make(chan int, len(kept)) // the held one counts too, and so do the 20 that came last
	for i, in := range kept {
		go func() {
			if _, err := in.ReadByte(); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
				closed <- i
			}
		}()
	}
	for range 20 {
		select {
		case i := <-closed:
			if i > len(kept)/2 { // they end in about the order in which they came
				t.Errorf("connection %d of %d made room", i, len(kept))
			}
		case <-time.After(15 * time.Second):
			t.Fatalf("fewer than 20 of %d connections made room, %d may stay", len(kept), most)
		}
	}
	close(release)
	if resp, err := http.ReadResponse(held, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request in hand: %v, %v", resp, err)
	}
}

// SIGTERM comes while discovery moves: what was taken is answered all the same.
func TestStopDuringReloadLosesNothing(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool { <-release; return scripted.Done(c, r) })
	b := newBalancer(t, up("s-00000001", s))
	status := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.ask("checkin", ""))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-s.Arrivals
	next := newRegistry(t)
	c := b.config
	c.Discovery = next.addr
	b.reloads <- c
	<-next.calls // it has moved, and waits for the list
	b.cancel()
	close(release)
	want(t, "status of the request in hand", <-status, 200)
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
}

func TestHealth(t *testing.T) {
	b := newBalancer(t)
	resp, err := b.client.Get(b.url + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status", resp.StatusCode, 200)
}
