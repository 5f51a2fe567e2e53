package admincmd

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// startServer serves on a loopback address until the test ends. dial connects to the server and sends a text.
func startServer(t *testing.T) (dial func(text string) net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- Serve(ctx, listener, make(recorder, 10)) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return func(text string) net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		return conn
	}
}

var longLine = strings.Repeat("x", maxLineBytes)

const longLineAnswer = "-ERR the call is too long\r\n"

// If connections that send nothing, or part of a command, take up all slots, a command on a further connection is still
// answered at once.
func TestOldestPendingConnectionIsClosed(t *testing.T) {
	dial := startServer(t)
	oldest := dial("")
	for i := 1; i < maxConnections; i++ {
		dial([]string{"", "stand"}[i%2])
	}
	start := time.Now()
	for _, exchange := range []struct{ line, answer string }{
		{"standby\r\n", "+OK\r\n"},
		{"standby\r\n", "+OK\r\n"},
		{"standby\r\n", "+OK\r\n"},
		{longLine, longLineAnswer},
	} {
		if text, err := io.ReadAll(dial(exchange.line)); string(text) != exchange.answer || err != nil {
			t.Errorf("answered %q, %v, want %q", text, err, exchange.answer)
		}
	}
	if took := time.Since(start); took > connectionTimeout/2 {
		t.Errorf("answered after %v: waited for the pending connections", took)
	}
	_, err := oldest.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the oldest pending connection: %v, want it closed", err)
	}
}

func TestLongLine(t *testing.T) {
	dial := startServer(t)
	text, err := io.ReadAll(dial(longLine))
	if string(text) != longLineAnswer || err != nil {
		t.Errorf("answered %q, %v", text, err)
	}
}
