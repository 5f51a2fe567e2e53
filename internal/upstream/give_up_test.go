package upstream

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// longAgo is a time that has passed.
var longAgo = time.Unix(0, 1)

// An attempt may be given up while its response arrives. Its connection, whose write side is then closed, is not
// reused.
func TestGivenUpConnectionIsNotUsedAgain(t *testing.T) {
	server := scripted.Start(t, scripted.Done)
	attempt := newLongTimeoutAttempt(server.Addr)
	result := HTTP1{ConnectTimeout: time.Minute}.Do(attempt)
	if result.Conn == nil || !attempt.GiveUp(longAgo) {
		t.Fatalf("got %v", result)
	}
	defer result.Conn.Close()
	if err := result.Conn.Reuse(); err == nil {
		t.Error("Reuse succeeded on a connection with a closed write side")
	}
}

// GiveUp with a time in the past closes the write side before the goroutine of the attempt has run. Otherwise a retry
// could be sent while the first attempt is still open for its upstream. The test runs on one processor and does not
// yield it, so that the goroutine can't run in between.
func TestGivenUpIsOverAtOnce(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	attempt := newLongTimeoutAttempt(listener.Addr().String())
	ended := make(chan Result, 1)
	go func() { ended <- HTTP1{ConnectTimeout: time.Minute}.Do(attempt) }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if _, err := http.ReadRequest(bufio.NewReader(accepted)); err != nil {
		t.Fatal(err)
	}
	rawConn, err := accepted.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	readCount := 1
	var readErr error
	peek := func(fd uintptr) {
		readCount, _, readErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	for !attempt.GiveUp(longAgo) { // until the attempt is claimed
		runtime.Gosched()
	}
	if err := rawConn.Control(peek); err != nil {
		t.Error(err)
	}
	if readCount != 0 || readErr != nil {
		t.Errorf("the attempt is still open: %d, %v", readCount, readErr)
	}
	<-ended
}

// newLongTimeoutAttempt returns an attempt that does not time out during a test.
func newLongTimeoutAttempt(address string) *Attempt {
	attempt := newAttempt(address, nil, http1.Field{Name: "X-Request-Id", Value: "1"})
	attempt.Message.RequestLine = "GET /x"
	attempt.Timeout = time.Minute
	return attempt
}
