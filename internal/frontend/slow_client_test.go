package frontend

import (
	"io"
	"net"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

const (
	movingTimeout = 100 * time.Millisecond
	movingBytes   = 256 << 10
)

// startMovingWrite writes a response of movingBytes to a client with small buffers. It returns the client's side and a
// channel that receives the result.
func startMovingWrite(t *testing.T) (clientSide net.Conn, written <-chan error) {
	t.Helper()
	const smallBuffer = 4 << 10
	balancerSide, clientSide := scripted.Connect(t, scripted.ListenWithSmallBuffer(t, smallBuffer))
	if err := clientSide.SetReadDeadline(time.Now().Add(100 * movingTimeout)); err != nil {
		t.Fatal(err)
	}
	if err := balancerSide.SetWriteBuffer(smallBuffer); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		defer balancerSide.Close()
		result <- newClientConn(balancerSide).writeMoving(make([]byte, movingBytes), movingTimeout)
	}()
	return clientSide, result
}

// TestSlowClientGetsBufferedResponse guards against a response that is cut because its client takes longer for the
// whole than for a time-out.
func TestSlowClientGetsBufferedResponse(t *testing.T) {
	const step = 16 << 10
	clientSide, written := startMovingWrite(t)
	for received := 0; received < movingBytes; received += step {
		if _, err := io.CopyN(io.Discard, clientSide, step); err != nil {
			t.Fatalf("after %d bytes: %v", received, err)
		}
		<-time.After(movingTimeout / 2)
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
}

// TestBufferedResponseOfStoppedClientEnds guards against a response without an end because its client takes nothing.
func TestBufferedResponseOfStoppedClientEnds(t *testing.T) {
	_, written := startMovingWrite(t)
	if err := <-written; !isTimeout(err) {
		t.Errorf("got %v, want a time-out", err)
	}
}
