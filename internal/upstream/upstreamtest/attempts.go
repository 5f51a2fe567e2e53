package upstreamtest

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

func testDropped(t *testing.T, suite Suite) {
	server := suite.Server(t)
	transport := suite.Transport()
	attempt := newAttempt(server.Address(), nil)
	expect(t, "dropped", attempt.Drop(), true)
	expect(t, "dropped twice", attempt.Drop(), false)
	result := transport.Do(attempt)
	expect(t, "status", result.Status, balancer.NotSent)
	expect(t, "given up", attempt.GiveUp(time.Now()), false)
	if result.Conn != nil { // the connection must be reusable, since nothing was written on it
		next := newAttempt(server.Address(), result.Conn)
		expect(t, "the next", transport.Do(next).Status, balancer.OK)
		expect(t, "what arrived", awaitArrival(t, server), requestID(next))
	}
	expectNoArrival(t, server)
}

// testGateClosed checks that a request that may no longer be sent when the connection is open is not written, and that
// the connection can be reused.
func testGateClosed(t *testing.T, suite Suite) {
	server := suite.Server(t)
	transport := suite.Transport()
	var connection upstream.Conn
	for _, prevent := range []func(*upstream.Attempt){
		func(a *upstream.Attempt) { a.Gate = gate(false) },
		func(a *upstream.Attempt) { a.WriteDeadline = time.Now() },
		func(a *upstream.Attempt) {
			a.WriteDeadline = time.Now().Add(timeout)
			a.Gate = gate(false)
		},
	} {
		attempt := newAttempt(server.Address(), connection)
		prevent(attempt)
		result := transport.Do(attempt)
		expect(t, "status", result.Status, balancer.NotSent)
		expect(t, "given up", attempt.GiveUp(time.Now()), false)
		connection = result.Conn
	}
	expectNoArrival(t, server)
	attempt := newAttempt(server.Address(), connection)
	attempt.WriteDeadline = time.Now().Add(timeout)
	attempt.Gate = gate(true)
	expect(t, "status of one that may be sent", transport.Do(attempt).Status, balancer.OK)
	expect(t, "what arrived", awaitArrival(t, server), requestID(attempt))
}

func testOutcomes(t *testing.T, suite Suite) {
	for _, testCase := range []struct {
		behaviour Behaviour
		status    balancer.Status
	}{
		{Serve, balancer.OK},
		{Reject, balancer.Rejected},
		{Fail, balancer.Error},
		{Disconnect, balancer.Reset},
	} {
		server := suite.Server(t)
		server.SetBehaviour(testCase.behaviour)
		result := suite.Transport().Do(newAttempt(server.Address(), nil))
		expect(t, fmt.Sprint("status of behaviour ", testCase.behaviour), result.Status, testCase.status)
		if testCase.status == balancer.OK {
			expect(t, "body", string(result.Body), string(ShortBody))
		}
		awaitArrival(t, server)
		expectNoArrival(t, server)
	}
}

func testConnectionRefused(t *testing.T, suite Suite) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	result := suite.Transport().Do(newAttempt(listener.Addr().String(), nil))
	expect(t, "status", result.Status, balancer.ConnectFailed)
	expect(t, "connection", result.Conn, nil)
}

func testReuse(t *testing.T, suite Suite) {
	server := suite.Server(t)
	transport := suite.Transport()
	var connection upstream.Conn
	for range 5 {
		result := transport.Do(newAttempt(server.Address(), connection))
		expect(t, "status", result.Status, balancer.OK)
		connection = result.Conn
		if connection == nil {
			t.Fatal("the connection is closed")
		}
		expect(t, "address", connection.Address(), server.Address())
		if err := connection.Reuse(); err != nil {
			t.Fatal(err)
		}
		awaitArrival(t, server)
	}
	expect(t, "connections", server.Opened(), 1)
	if err := connection.Close(); err != nil {
		t.Error(err)
	}
}

// testOneWrite checks that a request is not written again if its reused connection breaks.
func testOneWrite(t *testing.T, suite Suite) {
	server := suite.Server(t)
	transport := suite.Transport()
	first := transport.Do(newAttempt(server.Address(), nil))
	awaitArrival(t, server)
	server.SetBehaviour(Disconnect)
	second := transport.Do(newAttempt(server.Address(), first.Conn))
	expect(t, "status", second.Status, balancer.Reset)
	awaitArrival(t, server)
	expectNoArrival(t, server)
}

func testGivenUp(t *testing.T, suite Suite) {
	server := suite.Server(t)
	server.SetBehaviour(Hold)
	attempt := newAttempt(server.Address(), nil)
	transport := suite.Transport()
	ended := make(chan upstream.Result, 1)
	go func() { ended <- transport.Do(attempt) }()
	awaitArrival(t, server)
	expect(t, "dropped once it is written", attempt.Drop(), false)
	expect(t, "given up", attempt.GiveUp(time.Unix(0, 1)), true)
	select {
	case result := <-ended:
		switch result.Status {
		case balancer.OK, balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
			t.Errorf("status %v: it may have run", result.Status)
		}
	case <-time.After(timeout):
		t.Error("the attempt still waits after it was given up")
	}
	server.Release()
}

// testUnsolicited checks that bytes sent after a response are not taken for the response to the next request.
func testUnsolicited(t *testing.T, suite Suite) {
	server := suite.Server(t)
	transport := suite.Transport()
	server.SetBehaviour(Unsolicited)
	first := transport.Do(newAttempt(server.Address(), nil))
	expect(t, "status", first.Status, balancer.OK)
	noticed := first.Unsolicited
	if first.Conn != nil { // the unsolicited bytes have not arrived yet
		const reuseDelay = 20 * time.Millisecond // longer than the reuse delay of a pool
		time.Sleep(reuseDelay)
		if first.Conn.Reuse() != nil {
			t.Fatal("the connection is broken")
		}
		server.SetBehaviour(Serve)
		second := transport.Do(newAttempt(server.Address(), first.Conn))
		expect(t, "the next", string(second.Body), string(ShortBody))
		noticed = second.Unsolicited
	}
	expect(t, "unsolicited bytes noticed", noticed, true)
}

// testDropRace checks that attempts that are dropped at about the time of writing are written once or not at all.
func testDropRace(t *testing.T, suite Suite) {
	const attempts = 50
	server := suite.Server(t)
	transport := suite.Transport()
	var running sync.WaitGroup
	var written atomic.Int64
	for range attempts {
		attempt := newAttempt(server.Address(), nil)
		running.Go(func() { attempt.Drop() })
		running.Go(func() {
			result := transport.Do(attempt)
			if result.Conn != nil {
				defer result.Conn.Close()
			}
			switch result.Status {
			case balancer.OK:
				written.Add(1)
			case balancer.NotSent:
			default:
				t.Errorf("status %v", result.Status)
			}
		})
	}
	running.Wait()
	seen := map[string]bool{}
	for range written.Load() {
		id := awaitArrival(t, server)
		if seen[id] {
			t.Errorf("request %s was written twice", id)
		}
		seen[id] = true
	}
	expectNoArrival(t, server)
}

func testProbe(t *testing.T, suite Suite) {
	server := suite.Server(t)
	transport := suite.Transport()
	result := transport.Probe(upstream.Probe{Address: server.Address()})
	expect(t, "status", result.Status, balancer.OK)
	if result.Conn != nil {
		next := transport.Do(newAttempt(server.Address(), result.Conn))
		expect(t, "an attempt behind it", next.Status, balancer.OK)
	}
}
