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

// One that is given up in the moment in which its answer has come does not leave its connection to the next attempt.
func TestGivenUpConnectionIsNotUsedAgain(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	a := &Attempt{Message: &Message{Line: "GET /x", Host: "x", Header: http1.Fields{{Name: "X-Request-Id", Value: "1"}}}, Address: s.Addr, Wait: time.Minute}
	r := HTTP1{Timeout: time.Minute}.Do(a)
	if r.Conn == nil || !a.GiveUp(time.Unix(0, 1)) {
		t.Fatalf("got %v", r)
	}
	defer r.Conn.Close()
	if err := r.Conn.Reuse(); err == nil {
		t.Error("a connection on which this side has ended serves again")
	}
}

// An attempt that is given up at once is over for its node before the goroutine that carries it has had a
// turn: on one processor, which the test does not leave, a further attempt would else go out while the first
// is still out.
func TestGivenUpIsOverAtOnce(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a := &Attempt{Message: &Message{Line: "GET /x", Host: "x", Header: http1.Fields{{Name: "X-Request-Id", Value: "1"}}}, Address: l.Addr().String(), Wait: time.Minute}
	ended := make(chan Result, 1)
	go func() { ended <- HTTP1{Timeout: time.Minute}.Do(a) }()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n, peeked := 1, error(nil)
	look := func(fd uintptr) {
		n, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}
	for !a.GiveUp(time.Unix(0, 1)) { // until it is claimed
		runtime.Gosched()
	}
	raw.Control(look)
	if n != 0 || peeked != nil {
		t.Errorf("the attempt is still out: %d, %v", n, peeked)
	}
	<-ended
}
