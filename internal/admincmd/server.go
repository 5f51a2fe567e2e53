// Package admincmd serves the line protocol by which operators control a platform's balancer. A connection carries one
// command, which is a line of text, and one answer, which is a line that starts with +OK or -ERR. The package does not
// implement the commands: that is the task of a Handler, which package proxy provides.
package admincmd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxConnections bounds the open connections, since file descriptors are scarce.
	maxConnections = 24
	// maxLineBytes bounds the length of a command including its line end.
	maxLineBytes = 512
	// connectionTimeout bounds the time from the accept of a connection until its answer is written.
	connectionTimeout = 3 * time.Second
	// acceptRetryPause is how long to wait after a failed accept.
	acceptRetryPause = 5 * time.Millisecond
)

// server answers the connections of one listener.
type server struct {
	handler Handler
	slots   chan struct{} // holds one element for each open connection

	mu      sync.Mutex
	pending []net.Conn // connections whose command has not arrived yet, oldest first
}

// Serve answers commands until ctx ends. It then closes the listener and returns nil; it never returns an error.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	srv := &server{handler: handler, slots: make(chan struct{}, maxConnections)}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // no descriptor is free, or a connection broke before the accept: service continues
			slog.Warn("operator connection not accepted", "err", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		srv.acquireSlot()
		srv.addPending(conn)
		go func() {
			srv.answer(conn)
			<-srv.slots
		}()
	}
}

// acquireSlot waits for a slot for one more connection. If none is free, the oldest pending connection is closed, so
// that clients that send nothing do not lock others out.
func (s *server) acquireSlot() {
	select {
	case s.slots <- struct{}{}:
	default:
		s.closeOldestPending()
		s.slots <- struct{}{}
	}
}

func (s *server) addPending(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, conn)
}

// closeOldestPending closes the connection whose command has been awaited longest.
func (s *server) closeOldestPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		s.pending[0].Close()
		s.pending = s.pending[1:]
	}
}

// removePending is called once a connection's command has arrived or the connection has ended.
func (s *server) removePending(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.pending, conn); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// answer reads one command, executes it and writes the answer.
func (s *server) answer(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(connectionTimeout)) // fails only on a closed connection, where the read fails too
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxLineBytes), maxLineBytes).ReadString('\n')
	s.removePending(conn)
	isTooLong := err != nil && len(line) >= maxLineBytes
	if err != nil && !isTooLong { // a command without its line end may be incomplete
		return
	}
	text := "-ERR the call is too long"
	if !isTooLong {
		text = execute(s.handler, line)
	}
	_, _ = io.WriteString(conn, text+"\r\n") // fails if the client has left, which needs no answer
	slog.Info("operator command answered", "line", strings.TrimSpace(line), "answer", text)
}
