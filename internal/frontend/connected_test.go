package frontend

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"olivearch/internal/http1"
)

// tcpPair returns both sides of a loopback connection, which are closed when the test ends.
func tcpPair(t *testing.T) (clientSide, serverSide *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

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

// Connected finds that a client has closed or reset its connection, without reading from it. A client that has sent
// bytes beyond its request is still connected.
func TestConnectedSeesClientLeave(t *testing.T) {
	for _, test := range []struct {
		name      string
		act       func(conn *net.TCPConn) error // nil: the client waits
		connected bool
	}{
		{"waits", nil, true},
		{"sends more", func(conn *net.TCPConn) error { _, err := conn.Write([]byte("x")); return err }, true},
		{"closes", func(conn *net.TCPConn) error { return conn.Close() }, false},
		{"resets", func(conn *net.TCPConn) error { return errors.Join(conn.SetLinger(0), conn.Close()) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			clientSide, serverSide := tcpPair(t)
			conn := &deadlineConn{Conn: serverSide}
			client := &clientConn{Stream: http1.NewStream(conn, readBufferBytes), conn: conn}
			if test.act != nil {
				if err := test.act(clientSide); err != nil {
					t.Fatal(err)
				}
				waitForEvent(t, serverSide)
			}
			if got := client.Connected(); got != test.connected {
				t.Errorf("connected: got %v, want %v", got, test.connected)
			}
		})
	}
}
