package frontend

import (
	"errors"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// waitForEvent waits until bytes, the end of input or a reset have arrived on a connection.
func waitForEvent(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// waitForEnd waits until the end of a connection has arrived behind its unread bytes.
func waitForEnd(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ended := false
	for limit := time.Now().Add(10 * time.Second); !ended; runtime.Gosched() {
		if time.Now().After(limit) {
			t.Fatal("the end of the connection did not arrive within 10 s")
		}
		err := raw.Control(func(fd uintptr) {
			states := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			_, _ = unix.Poll(states, 0) // tried again if it fails
			ended = states[0].Revents != 0
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Connected finds that a client has closed or reset its connection, without reading from it. A client that has sent
// bytes beyond its request is still connected, until it leaves: unread bytes must not hide that, or an attempt begins
// long after its client has left.
func TestConnectedSeesClientLeave(t *testing.T) {
	send := func(conn *net.TCPConn) error { _, err := conn.Write([]byte("x")); return err }
	leave := func(conn *net.TCPConn) error { return conn.Close() }
	reset := func(conn *net.TCPConn) error { return errors.Join(conn.SetLinger(0), conn.Close()) }
	for _, test := range []struct {
		name      string
		acts      []func(conn *net.TCPConn) error // the client waits if there are none
		connected bool
	}{
		{"waits", nil, true},
		{"sends more", []func(*net.TCPConn) error{send}, true},
		{"closes", []func(*net.TCPConn) error{leave}, false},
		{"resets", []func(*net.TCPConn) error{reset}, false},
		{"sends more and closes", []func(*net.TCPConn) error{send, leave}, false},
		{"sends more and resets", []func(*net.TCPConn) error{send, reset}, false},
		{"sends more and ends its sending", []func(*net.TCPConn) error{send, (*net.TCPConn).CloseWrite}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			clientSide, serverSide := scripted.Pair(t)
			conn := &deadlineConn{Conn: serverSide}
			client := &clientConn{Stream: http1.NewStream(conn, readBufferBytes), conn: conn}
			for _, act := range test.acts {
				if err := act(clientSide); err != nil {
					t.Fatal(err)
				}
				waitForEvent(t, serverSide)
			}
			if len(test.acts) > 1 {
				waitForEnd(t, serverSide)
			}
			if got := client.Connected(); got != test.connected {
				t.Errorf("connected: got %v, want %v", got, test.connected)
			}
		})
	}
}
