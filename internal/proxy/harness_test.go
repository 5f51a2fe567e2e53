package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/standin/scripted"
)

// settingsText has a class of each kind of idempotency. With these settings, discovery is polled again at once after a
// failed poll.
const settingsText = `{"az":"z1","balancers":1,"granularity_us":1000,"membership_mode":"on_request","weights":"nominal",
"worth_by":"work","limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":500000,"keepalive_us":60000000},
"obligations":{"ask_within_us":320000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3.0},
"profiles":[
{"name":"read","target_us":2000000,"give_up_us":4000000,"repeat":"read_like","worth":1},
{"name":"pay","target_us":2000000,"give_up_us":4000000,"repeat":"idempotency_key",
"group":"all","memory_span_us":9000000,"worth":1},
{"name":"checkin","target_us":2000000,"give_up_us":4000000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}`

// clientTimeout bounds the use of a connection from testBalancer.dial.
const clientTimeout = 20 * time.Second

// fakeDiscovery is a discovery service. A test receives the query of each poll from polls, and sends the answer to it
// on answers.
type fakeDiscovery struct {
	addr    string
	polls   chan string
	answers chan discovery.Listing // a revision of 0 is answered with 503
}

func startDiscovery(t *testing.T) *fakeDiscovery {
	t.Helper()
	started := &fakeDiscovery{polls: make(chan string, 1000), answers: make(chan discovery.Listing)}
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.polls <- r.URL.RawQuery
		select {
		case listing := <-started.answers:
			if listing.Revision == 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_ = json.NewEncoder(w).Encode(listing) // fails if the balancer has cancelled the poll
		case <-r.Context().Done():
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); server.Close() })
	started.addr = server.Listener.Addr().String()
	return started
}

func upMember(id string, node *scripted.Node) discovery.Member {
	return discovery.Member{ID: id, HostPort: node.Addr, Locality: "z1", Phase: "up", Size: 1}
}

func drainingMember(m discovery.Member) discovery.Member { m.Phase = "draining"; return m }

// listing returns a complete endpoint list.
func listing(revision uint64, members ...discovery.Member) discovery.Listing {
	return discovery.Listing{Revision: revision, Complete: true, Members: members}
}

// testBalancer is a balancer that runs until the test ends or calls cancel.
type testBalancer struct {
	*Balancer
	url             string
	address         string // host:port
	discoveryServer *fakeDiscovery
	cancel          context.CancelFunc
	ended           chan error // the result of Run; a test that receives it sends nil back
	config          Config
	reloads         chan Config
	client          *http.Client
}

func startBalancer(t *testing.T, members ...discovery.Member) *testBalancer {
	t.Helper()
	discoveryService := startDiscovery(t)
	file := configFile{
		Name: "n0", Listen: "127.0.0.1:0", Discovery: discoveryService.addr, Seed: "8c1f30d27a5be964",
		Known: listing(10, members...), Settings: json.RawMessage(settingsText),
	}
	file.Limits.MemoryMB, file.Limits.Sockets = 192, 1024
	config, err := file.config()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	address := listener.Addr().String()
	b := &testBalancer{
		url:             "http://" + address,
		address:         address,
		discoveryServer: discoveryService,
		cancel:          cancel,
		ended:           make(chan error, 1),
		config:          config,
		reloads:         make(chan Config),
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	b.Balancer, err = Start(config, listener, nil)
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

var lastRequestID int

// newRequest returns a well-formed request of a class. headers are names and values of further header fields.
func (b *testBalancer) newRequest(class, body string, headers ...string) *http.Request {
	lastRequestID++
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, b.url+"/"+class+"/x?q=%2F1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", lastRequestID))
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Deadline-Ms", "4000")
	if class == "pay" {
		r.Header.Set("Idempotency-Key", strconv.Itoa(lastRequestID))
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// do sends a request, and returns the status and the body of the response.
func (b *testBalancer) do(t *testing.T, r *http.Request) (status int, text string) {
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

// outcome is the result of a client's request.
type outcome struct {
	status int
	err    error
}

// doInBackground sends a request, and returns a channel that receives its outcome.
func (b *testBalancer) doInBackground(r *http.Request) <-chan outcome {
	result := make(chan outcome, 1)
	go func() {
		resp, err := b.client.Do(r)
		if err != nil {
			result <- outcome{err: err}
			return
		}
		resp.Body.Close()
		result <- outcome{status: resp.StatusCode}
	}()
	return result
}

// sendAndCount sends n requests, and returns how many of them arrived at each node.
func (b *testBalancer) sendAndCount(t *testing.T, n int, nodes ...*scripted.Node) []int {
	t.Helper()
	counts := make([]int, len(nodes))
	for range n {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
		for i, node := range nodes {
			for len(node.Arrivals) > 0 {
				<-node.Arrivals
				counts[i]++
			}
		}
	}
	return counts
}

// dial opens a connection that is closed when the test ends. Its deadline is clientTimeout from now.
func (b *testBalancer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// sendHead sends the head of a checkin request on a new connection, and returns the connection and its buffered reader.
func (b *testBalancer) sendHead(t *testing.T, fields string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := b.dial(t)
	lastRequestID++
	mustWrite(t, conn, checkinHead(fmt.Sprintf("X-Request-Id: %016x\r\n%s", lastRequestID, fields)))
	return conn, bufio.NewReader(conn)
}

// sendRaw sends text on a new connection, and returns all that is received until the balancer closes it.
func (b *testBalancer) sendRaw(t *testing.T, text string) string {
	t.Helper()
	conn := b.dial(t)
	defer conn.Close()
	go writeIfOpen(conn, text)
	got, err := io.ReadAll(conn)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("neither a response nor a close")
	}
	return string(got)
}

// checkinHead returns the head of a checkin request with additional header fields.
func checkinHead(fields string) string {
	return "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Class: checkin\r\n" + fields + "\r\n"
}

// readStatus reads a response and returns its status.
func readStatus(t *testing.T, in *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// mustWrite writes to a connection that the other side keeps open.
func mustWrite(t *testing.T, conn io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// writeIfOpen writes to a connection that the other side may close before it has read everything. An error is ignored:
// tests check the data received instead.
func writeIfOpen(conn io.Writer, text string) { _, _ = io.WriteString(conn, text) }

// writeChunked writes a body in chunks of growing sizes, with chunk extensions and a trailer.
func writeChunked(conn io.Writer, body []byte) {
	for n := 1; len(body) > 0; n = n*3 + 1 {
		size := min(n, len(body))
		writeIfOpen(conn, fmt.Sprintf("%x;x=\"y\"\r\n%s\r\n", size, body[:size]))
		body = body[size:]
	}
	writeIfOpen(conn, "0\r\nX-Trailer: 1\r\n\r\n")
}

// randomBytes returns n pseudo-random bytes, so that a comparison detects any reordering. All calls have the same seed.
func randomBytes(n int) []byte {
	text := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{7}).Read(text) // never fails
	return text
}

// oneClassSettings returns pool settings whose only class is c.
func oneClassSettings() balancer.Settings {
	return balancer.Settings{
		Balancers: 1,
		Classes: []balancer.Class{{
			Name: "c", LatencyObjective: time.Second, Deadline: time.Second,
			Idempotency: balancer.NonIdempotent, PriorityWeight: 1,
		}},
		Limits: balancer.Limits{MaxAttempts: 1},
		Rules: balancer.Rules{
			SlowStartFloor: 1, SlowStartDuration: time.Second,
			OverloadMultiple: 1, OverloadWindow: time.Second,
		},
	}
}

// want reports an error if a value differs from the wanted one.
func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
