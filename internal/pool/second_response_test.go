package pool

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/discovery"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

const (
	// secondResponseSeed is the seed of all draws.
	secondResponseSeed = 59
	// secondResponseShare is the share of responses that are sent twice.
	secondResponseShare = 0.1
	// abandonedShare is the share of requests whose time is over before the response.
	abandonedShare = 0.01
	// answersField names the request that a response was made for. The pool does not read it.
	answersField = "X-Answers"
	// requestsVariable sets the number of requests of each case, for a long run that is started by hand.
	requestsVariable = "SECOND_RESPONSE_REQUESTS"
)

// secondResponseDelays are how long after a response it may come again.
var secondResponseDelays = []time.Duration{
	300 * time.Microsecond, 2 * time.Millisecond, 7 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond,
	150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second,
}

// chance draws random numbers for several goroutines.
type chance struct {
	mu     sync.Mutex
	source *rand.Rand
}

func (c *chance) below(share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source.Float64() < share
}

func (c *chance) upTo(limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source.IntN(limit)
}

// repeatingServer is an upstream that sends some responses twice on the same connection.
type repeatingServer struct {
	*scripted.Node
	drawn   *chance
	share   float64 // of responses that are sent twice
	body    func(id string) string
	chunked bool     // responses come in chunks, and their copies in pieces
	locks   sync.Map // of the connections: no response is written into another
}

func startRepeatingServer(t testing.TB, play secondResponsePlay) *repeatingServer {
	server := &repeatingServer{drawn: play.drawn, share: play.share, body: play.body, chunked: play.chunked}
	server.Node = scripted.Start(t, server.respond)
	go discardArrivals(server.Node)
	return server
}

// respond is a scripted.Answer.
func (s *repeatingServer) respond(conn net.Conn, r *http.Request) bool {
	id := requestID(r)
	time.Sleep(time.Millisecond) // the work
	if strings.HasPrefix(id, "abandoned") {
		time.Sleep(20 * time.Millisecond)
	}
	lock, _ := s.locks.LoadOrStore(conn, new(sync.Mutex))
	response := s.response(id)
	send := func(pause time.Duration) error {
		lock.(*sync.Mutex).Lock()
		defer lock.(*sync.Mutex).Unlock()
		for _, piece := range response {
			if _, err := io.WriteString(conn, piece); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
	if s.drawn.below(s.share) {
		delay := secondResponseDelays[s.drawn.upTo(len(secondResponseDelays))]
		time.AfterFunc(delay, func() { _ = send(15 * time.Millisecond) }) // fails if the connection is closed by then
	}
	return send(0) == nil
}

// response returns the pieces of the response to a request.
func (s *repeatingServer) response(id string) []string {
	body := s.body(id)
	head := "HTTP/1.1 200 OK\r\n" + answersField + ": " + id + "\r\n"
	if !s.chunked {
		return []string{head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n", body}
	}
	half := len(body) / 2
	return []string{
		head + "Transfer-Encoding: chunked\r\n\r\n",
		fmt.Sprintf("%x\r\n%s\r\n", half, body[:half]),
		fmt.Sprintf("%x\r\n%s\r\n", len(body)-half, body[half:]),
		http1.LastChunk,
	}
}

// tally counts the responses to requests.
type tally struct{ own, foreign, notServed atomic.Int64 }

// take counts the response to a request.
func (c *tally) take(id string, response Response) {
	response.Stream.Abandon()
	switch {
	case response.Status != http.StatusOK:
		c.notServed.Add(1)
	case response.Header.Get(answersField) == id:
		c.own.Add(1)
	default:
		c.foreign.Add(1)
	}
}

// secondResponseCase is a service whose responses are alike to some degree.
type secondResponseCase struct {
	name    string
	body    func(id string) string
	chunked bool
}

// secondResponsePlay is a number of requests to a service.
type secondResponsePlay struct {
	secondResponseCase
	drawn    *chance
	share    float64 // of responses that are sent twice
	requests int
	pause    time.Duration // of each of the 16 clients after a response
}

// secondResponseFigures is what was seen in a play.
type secondResponseFigures struct {
	tally
	connections float64       // opened, a request
	cpu         time.Duration // of pool, clients and servers together, a request
}

func secondResponseCases(drawn *chance) []secondResponseCase {
	differing := func(id string) string { return "the response to request " + id }
	var last atomic.Value
	last.Store("none")
	someAlike := func(id string) string {
		if drawn.below(0.05) {
			return last.Load().(string)
		}
		last.Store(differing(id))
		return differing(id)
	}
	return []secondResponseCase{
		{"bodies differ", differing, false},
		{"one body in twenty is that of another", someAlike, false},
		{"all bodies are equal", func(string) string { return "the same response to all requests" }, false},
		{"all bodies are empty", func(string) string { return "" }, false},
		{"bodies differ, in chunks", differing, true},
	}
}

// TestSecondResponsesServeNoOtherRequest guards against a second response to a request that is passed on as the
// response to another request, however late it comes and however alike the bodies of the service are.
func TestSecondResponsesServeNoOtherRequest(t *testing.T) {
	requests := 3000
	if text := os.Getenv(requestsVariable); text != "" {
		var err error
		if requests, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	drawn := &chance{source: rand.New(rand.NewPCG(secondResponseSeed, 0))}
	for _, c := range secondResponseCases(drawn) {
		t.Run(c.name, func(t *testing.T) {
			play := secondResponsePlay{secondResponseCase: c, drawn: drawn, share: secondResponseShare, requests: requests}
			seen := play.run(t)
			t.Logf("%d own, %d of another request, %d not served; %.3f connections and %v of CPU a request",
				seen.own.Load(), seen.foreign.Load(), seen.notServed.Load(), seen.connections, seen.cpu)
			want(t, "responses of another request", seen.foreign.Load(), int64(0))
			if seen.own.Load() < int64(requests)*8/10 {
				t.Errorf("only %d of %d requests were served", seen.own.Load(), requests)
			}
		})
	}
}

// BenchmarkConnectionReuse measures the price of telling responses apart: connections, processor time and requests that
// were not served, at about 250 requests a second, by what the bodies of the service's responses are and whether some
// come twice.
func BenchmarkConnectionReuse(b *testing.B) {
	drawn := &chance{source: rand.New(rand.NewPCG(secondResponseSeed, 1))}
	for _, c := range secondResponseCases(drawn) {
		for _, share := range []float64{0, secondResponseShare} {
			b.Run(fmt.Sprintf("%s, %v twice", c.name, share), func(b *testing.B) {
				play := secondResponsePlay{
					secondResponseCase: c, drawn: drawn, share: share, requests: b.N, pause: 60 * time.Millisecond,
				}
				seen := play.run(b)
				b.ReportMetric(seen.connections, "connections/op")
				b.ReportMetric(float64(seen.cpu.Microseconds()), "cpu-us/op")
				b.ReportMetric(float64(seen.foreign.Load()), "foreign")
				b.ReportMetric(float64(seen.notServed.Load()), "not-served")
			})
		}
	}
}

// run sends the requests to a pool of repeating servers, and also health checks.
func (p secondResponsePlay) run(t testing.TB) *secondResponseFigures {
	spec := testSpec()
	spec.FullResponses = true
	spec.MaxRequests = p.requests
	spec.MaxConnections = 1000
	pool := startPool(t, spec, time.Hour, nil)
	var servers []*repeatingServer
	list := discovery.Listing{Revision: 20, Complete: true}
	for number := range 4 {
		server := startRepeatingServer(t, p)
		servers = append(servers, server)
		list.Members = append(list.Members, upMember(fmt.Sprintf("s-%08d", number+1), server.Node))
	}
	pool.inspect(func(l *loop) { endpointsUpdated{From: l.source.client, Listing: list}.apply(l) })
	before := cpuTime()
	seen := new(secondResponseFigures)
	var next atomic.Int64
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			for number := next.Add(1); number <= int64(p.requests); number = next.Add(1) {
				if number%50 == 0 {
					pool.inspect((*loop).checkAllEndpoints)
				}
				p.sendOne(pool, &seen.tally, number)
				time.Sleep(p.pause)
			}
		})
	}
	clients.Wait()
	for _, server := range servers {
		seen.connections += float64(server.Opened()) / float64(p.requests)
	}
	seen.cpu = (cpuTime() - before) / time.Duration(p.requests)
	return seen
}

// checkAllEndpoints sends a health check to each endpoint.
func (l *loop) checkAllEndpoints() {
	for id := range l.endpoints {
		l.HealthCheck(id)
	}
}

// sendOne sends one request and counts its response.
func (p secondResponsePlay) sendOne(pool *runningPool, count *tally, number int64) {
	id, budget := fmt.Sprintf("served-%08d", number), 3*time.Second
	if p.drawn.below(abandonedShare) {
		id, budget = fmt.Sprintf("abandoned-%08d", number), 10*time.Millisecond
	}
	request := newRequest(id, pool.Now(), budget)
	request.Class = "read"
	request.Message.Header = requestIDHeader(id)
	request.Responses = make(chan Response, 2)
	pool.Submit(request)
	count.take(id, <-request.Responses)
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
