package upstream

import (
	"bytes"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// bufferedBodyBytes is the size of a body that the system accepts at once and can't deliver to a stalledUpstream: more
// than its receive buffer, and less than both buffers together.
const bufferedBodyBytes = 40 << 10

// newBufferedMessage returns a message with a body of bufferedBodyBytes.
func newBufferedMessage() *Message {
	return &Message{
		RequestLine:    "POST /x",
		Host:           "x",
		Body:           bytes.Repeat([]byte("x"), bufferedBodyBytes),
		HasBodyFraming: true,
	}
}

// TestUndeliveredRequestIsDiscardedAtWriteDeadline guards against a keyed request that an upstream runs again after the
// deduplication window, because the system delivers its last bytes only then.
func TestUndeliveredRequestIsDiscardedAtWriteDeadline(t *testing.T) {
	upstream := startStalledUpstream(t)
	attempt := newLongTimeoutAttempt(upstream.address)
	attempt.Message = newBufferedMessage()
	attempt.WriteDeadline = time.Now().Add(writeEnd)
	ended := make(chan Result, 1)
	go func() { ended <- HTTP1{ConnectTimeout: time.Minute}.Do(attempt) }()
	result := Result{Status: balancer.OK}
	select {
	case result = <-ended:
	case <-time.After(writeEnd + readLate):
		t.Errorf("the attempt goes on %v after its write deadline", readLate)
	}
	close(upstream.readOn)
	if err := <-upstream.received; err == nil {
		t.Error("the upstream received the last byte late")
	}
	want(t, "status", result.Status, balancer.Reset) // and not ConnectFailed: the last byte was written
}

// TestUndeliveredRequestIsDiscardedAtGiveUp guards against a request that an upstream runs long after its attempt was
// given up, because the system delivers its last bytes only then.
func TestUndeliveredRequestIsDiscardedAtGiveUp(t *testing.T) {
	upstream := startStalledUpstream(t)
	connection, _, err := HTTP1{ConnectTimeout: time.Minute}.connect(nil, upstream.address, false)
	if err != nil {
		t.Fatal(err)
	}
	if complete, err := connection.writeMessage(newBufferedMessage(), time.Minute); !complete {
		t.Fatalf("the system has not accepted the request: %v", err)
	}
	connection.GiveUp(longAgo)
	connection.Close()
	close(upstream.readOn)
	if err := <-upstream.received; err == nil {
		t.Error("the upstream received the last byte late")
	}
}

// TestDeliveredRequestIsAwaitedAfterWriteDeadline guards against an attempt that ends at its write deadline although
// its request was delivered.
func TestDeliveredRequestIsAwaitedAfterWriteDeadline(t *testing.T) {
	upstreamSide, balancerSide := scripted.Pair(t)
	connection := newConn(balancerSide, "")
	connection.Limit(http1.MaxHead)
	if complete, err := connection.writeMessage(&Message{RequestLine: "GET /x"}, time.Minute); !complete {
		t.Fatal(err)
	}
	if _, err := upstreamSide.Read(make([]byte, 1)); err != nil { // the request is delivered
		t.Fatal(err)
	}
	limit := limitDelivery(connection, time.Now().Add(time.Minute))
	limit.expire(connection)
	if _, err := upstreamSide.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := connection.Wait(); err != nil {
		t.Errorf("the connection has ended: %v", err)
	}
	want(t, "discarded", limit.stop(), false)
}
