package acceptqueue

import (
	"io"
	"net"
	"testing"
)

// TestQueuedConnectionsSurviveTheClose: connections that nobody has accepted yet are served, not reset.
func TestQueuedConnectionsSurviveTheClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const clients = 20
	var dialed []net.Conn
	for range clients {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "x"); err != nil {
			t.Fatal(err)
		}
		dialed = append(dialed, c)
	}
	Drain(listener, func(c net.Conn) {
		defer c.Close()
		if _, err := io.CopyN(c, c, 1); err != nil {
			t.Error(err)
		}
	})
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	for _, c := range dialed {
		if answer, err := io.ReadAll(c); string(answer) != "x" {
			t.Errorf("got %q, %v", answer, err)
		}
	}
	Drain(listener, func(net.Conn) { t.Error("a connection from a closed listener") })
}
