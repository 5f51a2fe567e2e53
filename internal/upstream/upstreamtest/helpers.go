package upstreamtest

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
	"olivearch/internal/upstream"
)

// timeout bounds each wait of a test. Passing tests do not reach it.
const timeout = 10 * time.Second

// recorder is an upstream.Observer that records its notifications.
type recorder struct {
	mu     sync.Mutex
	events []string
	began  chan upstream.Result
}

func newRecorder() *recorder { return &recorder{began: make(chan upstream.Result, 8)} }

func (r *recorder) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *recorder) RequestWritten()              { r.record("written") }
func (r *recorder) InterimResponse(http1.Fields) { r.record("hint") }

func (r *recorder) ResponseStarted(result upstream.Result) {
	r.record("began")
	r.began <- result
}

func (r *recorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// gate is an upstream.Gate that is open if true.
type gate bool

func (g gate) Open() bool { return bool(g) }

var lastRequestID atomic.Int64

// newAttempt returns an attempt whose request has a unique ID.
func newAttempt(address string, connection upstream.Conn) *upstream.Attempt {
	message := &upstream.Message{
		RequestLine: "POST /x",
		Host:        "x",
		Header:      http1.Fields{{Name: "X-Request-Id", Value: fmt.Sprintf("%016x", lastRequestID.Add(1))}},
		Body:        []byte("b"),
		Bodied:      true,
	}
	return &upstream.Attempt{Message: message, Address: address, Timeout: timeout, Conn: connection}
}

func requestID(attempt *upstream.Attempt) string { return attempt.Message.Header.Get("X-Request-Id") }

// awaitArrival waits for the next complete request and returns its ID.
func awaitArrival(t *testing.T, server Server) string {
	t.Helper()
	select {
	case id := <-server.Arrived():
		return id
	case <-time.After(timeout):
		t.Fatal("no request arrived in time")
		return ""
	}
}

// expectNoArrival checks that no more requests have arrived.
func expectNoArrival(t *testing.T, server Server) {
	t.Helper()
	select {
	case id := <-server.Arrived():
		t.Errorf("request %s was written unexpectedly", id)
	default:
	}
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// expectBroken checks the result of a response that was not received completely.
func expectBroken(t *testing.T, result upstream.Result) {
	t.Helper()
	if result.Status == balancer.OK || result.Conn != nil {
		t.Errorf("incomplete response: got status %v, connection %v", result.Status, result.Conn)
	}
}
