package frontend

import (
	"io"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// TestSlowClientGetsBufferedResponse guards against a response that is cut because its client takes longer for the
// whole than for a time-out, and against one without an end because its client takes nothing.
func TestSlowClientGetsBufferedResponse(t *testing.T) {
	const timeout, smallBuffer, size, step = 100 * time.Millisecond, 4 << 10, 256 << 10, 16 << 10
	for name, reads := range map[string]bool{"reads slowly": true, "does not read": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			balancerSide, clientSide := scripted.Connect(t, scripted.ListenWithSmallBuffer(t, smallBuffer))
			if err := clientSide.SetReadDeadline(time.Now().Add(100 * timeout)); err != nil {
				t.Fatal(err)
			}
			if err := balancerSide.SetWriteBuffer(smallBuffer); err != nil {
				t.Fatal(err)
			}
			client := newClientConn(balancerSide)
			written := make(chan error, 1)
			go func() {
				defer balancerSide.Close()
				written <- client.writeMoving(make([]byte, size), timeout)
			}()
			for received := int64(0); reads && received < size-step; {
				read, err := io.CopyN(io.Discard, clientSide, step)
				if err != nil {
					t.Fatalf("after %d bytes: %v", received, err)
				}
				received += read
				<-time.After(timeout / 2)
			}
			if !reads {
				if err := <-written; !isTimeout(err) {
					t.Errorf("got %v, want a time-out", err)
				}
				return
			}
			if _, err := io.CopyN(io.Discard, clientSide, step); err != nil {
				t.Fatal(err)
			}
			if err := <-written; err != nil {
				t.Error(err)
			}
		})
	}
}
