package http1

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"olivearch/internal/standin/scripted"
)

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
		near, _ := scripted.Pair(t)
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
		near, _ := scripted.Pair(t)
		failReceive(t, failure)
		if !Peek(near).Gone() {
			t.Errorf("%v: the other side counts as reachable", failure)
		}
	}
}

// TestPeekSeesEndBehindUnreadBytes guards against a client that has left and counts as connected, because bytes of it
// are unread. A poll that fails says nothing.
func TestPeekSeesEndBehindUnreadBytes(t *testing.T) {
	near, far := scripted.Pair(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, near, PeerSent)
	far.Close()
	waitFor(t, near, PeerSentLast)
	state := Peek(near)
	if !state.Gone() || !state.HasUnread() || state.AtEnd() {
		t.Errorf("state %d: gone %v, unread bytes %v, at its end %v", state, state.Gone(), state.HasUnread(), state.AtEnd())
	}
	failPoll(t, syscall.EINTR, syscall.EINTR)
	if state := Peek(near); state != PeerSentLast {
		t.Errorf("after an interruption: state %d, want %d", state, PeerSentLast)
	}
	failPoll(t, syscall.ENOMEM)
	if state := Peek(near); state != PeerSent {
		t.Errorf("if the poll fails: state %d, want %d", state, PeerSent)
	}
}

// failPoll makes the next polls of Peek fail with these errors, in turn.
func failPoll(t *testing.T, failures ...error) {
	t.Helper()
	original := poll
	t.Cleanup(func() { poll = original })
	poll = func(states []unix.PollFd, timeout int) (int, error) {
		if len(failures) == 0 {
			return original(states, timeout)
		}
		failure := failures[0]
		failures = failures[1:]
		return -1, failure
	}
}

// TestPeekAfterInterruption: a signal during the call does not hide bytes, nor the end of the connection.
func TestPeekAfterInterruption(t *testing.T) {
	near, far := scripted.Pair(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, near, PeerSent)
	failReceive(t, syscall.EINTR, syscall.EINTR)
	if state := Peek(near); state != PeerSent {
		t.Errorf("state %d, want %d", state, PeerSent)
	}
	ended, closed := scripted.Pair(t)
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
