package main

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestAcceptQueueIsAsLongAsDescriptorsAllow guards against clients that wait for long behind thousands of connections
// which the process could never serve, and against a burst of sound ones that is refused.
func TestAcceptQueueIsAsLongAsDescriptorsAllow(t *testing.T) {
	const sockets, dials, firstTry = 1024, 1300, 500 * time.Millisecond // the system repeats a dropped SYN after 1 s
	process := startPlatform(t, 1, func(http.ResponseWriter, *http.Request) {})
	sendSignal(t, process.cmd, syscall.SIGSTOP)
	defer sendSignal(t, process.cmd, syscall.SIGCONT)
	var connected atomic.Int64
	var dialing sync.WaitGroup
	for range dials {
		dialing.Go(func() {
			conn, err := net.DialTimeout("tcp", process.listen, firstTry)
			if err != nil {
				return
			}
			connected.Add(1)
			t.Cleanup(func() { conn.Close() })
		})
	}
	dialing.Wait()
	if got := connected.Load(); got < sockets || got > sockets+1 {
		t.Errorf("%d connections wait to be accepted, want %d or one more", got, sockets)
	}
}
