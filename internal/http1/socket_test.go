package http1

import (
	"net"
	"syscall"
	"testing"
)

// socketPair returns the two ends of a TCP connection.
func socketPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// failReceive makes the next reads of Peek fail with these errors, in turn.
func failReceive(t *testing.T, failures ...error) {
	t.Helper()
	original := receive
	t.Cleanup(func() { receive = original })
	receive = func(descriptor int, buffer []byte, flags int) (int, syscall.Sockaddr, error) {
		if len(failures) == 0 {
			return original(descriptor, buffer, flags)
		}
		failure := failures[0]
		failures = failures[1:]
		return -1, nil, failure
	}
}

// TestPeekConcludesNothingFromUnrelatedErrors: such an error neither ends nor empties a connection.
func TestPeekConcludesNothingFromUnrelatedErrors(t *testing.T) {
	for _, unrelated := range []error{syscall.EAGAIN, syscall.ENOMEM, syscall.ENOBUFS} {
		near, _ := socketPair(t)
		failReceive(t, unrelated)
		if state := Peek(near); state != PeerSilent {
			t.Errorf("%v: state %d, want %d", unrelated, state, PeerSilent)
		}
	}
}

// TestPeekSeesBrokenConnections: whatever error breaks a connection, its other side is gone.
func TestPeekSeesBrokenConnections(t *testing.T) {
	broken := []error{
		syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.ENOTCONN,
	}
	for _, failure := range broken {
		near, _ := socketPair(t)
		failReceive(t, failure)
		if !Peek(near).Gone() {
			t.Errorf("%v: the other side counts as reachable", failure)
		}
	}
}

// TestPeekAfterInterruption: a signal during the call does not hide bytes, nor the end of the connection.
func TestPeekAfterInterruption(t *testing.T) {
	near, far := socketPair(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, near, PeerSent)
	failReceive(t, syscall.EINTR, syscall.EINTR)
	if state := Peek(near); state != PeerSent {
		t.Errorf("state %d, want %d", state, PeerSent)
	}
	ended, closed := socketPair(t)
	closed.Close()
	waitFor(t, ended, PeerEnded)
	failReceive(t, syscall.EINTR)
	if state := Peek(ended); state != PeerEnded {
		t.Errorf("state %d, want %d", state, PeerEnded)
	}
	ended.Close()
	if state := Peek(ended); state != PeerBroken {
		t.Errorf("closed on this side: state %d, want %d", state, PeerBroken)
	}
}

// waitFor waits until bytes, or the end of a connection, have arrived.
func waitFor(t *testing.T, c net.Conn, state PeerState) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(descriptor uintptr) bool { return peekDescriptor(int(descriptor)) == state })
	if err != nil {
		t.Fatal(err)
	}
}
