package frontend

import (
	"net"
	"syscall"
	"testing"

	"olivearch/internal/http1"
)

// A client that has closed its connection is seen to have left by who is about to send its request on, whoever reads it; one that
// has sent more than its request is still there.
func TestPresent(t *testing.T) {
	for _, x := range []struct {
		name    string
		does    func(c *net.TCPConn) error
		present bool
	}{
		{"waits", func(*net.TCPConn) error { return nil }, true},
		{"sends more", func(c *net.TCPConn) error { _, err := c.Write([]byte("x")); return err }, true},
		{"closes", func(c *net.TCPConn) error { return c.Close() }, false},
		{"resets", func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			there, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer there.Close()
			here, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer here.Close()
			pace := &deadlineConn{Conn: here}
			c := &clientConn{Stream: http1.NewStream(pace, readBufferBytes), conn: pace}
			if err := x.does(there.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			if x.name != "waits" { // until what it did has come
				raw, err := here.(syscall.Conn).SyscallConn()
				if err != nil {
					t.Fatal(err)
				}
				raw.Read(func(fd uintptr) bool {
					_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
					return err != syscall.EAGAIN
				})
			}
			if got := c.Connected(); got != x.present {
				t.Errorf("present: got %v, want %v", got, x.present)
			}
		})
	}
}
