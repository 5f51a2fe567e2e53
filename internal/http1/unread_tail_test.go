package http1

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// TestUnreadTail guards against a wrong end of bytes that lie in more than one block.
func TestUnreadTail(t *testing.T) {
	const size = 5
	for _, length := range []int{0, 3, size, tailBlock - 1, tailBlock, tailBlock + 2, 3*tailBlock + 4} {
		near, far := scripted.Pair(t)
		sent := bytes.Repeat([]byte("0123456789"), length/10+1)[:length]
		if _, err := far.Write(sent); err != nil {
			t.Fatal(err)
		}
		awaitArrived(t, near, length)
		if got, want := UnreadTail(near, size), sent[max(0, length-size):]; !bytes.Equal(got, want) {
			t.Errorf("%d bytes: got %q, want %q", length, got, want)
		}
		received := make([]byte, length)
		if _, err := io.ReadFull(near, received); err != nil || !bytes.Equal(received, sent) {
			t.Errorf("%d bytes: read differs afterwards, %v", length, err)
		}
	}
}

// awaitArrived waits until a number of bytes has arrived on a connection.
func awaitArrived(t *testing.T, c net.Conn, length int) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); runtime.Gosched() {
		if arrived, err := Arrived(c); err != nil || arrived >= uint64(length) {
			return
		}
	}
	t.Fatal("bytes have not arrived")
}
