// Package admincmd serves the operators' line protocol. A connection carries one command, which is a line of text, and
// one answer, which is a line that starts with +OK or -ERR. The package knows nothing of pools or clients: what a
// command does is up to a Handler.
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
	// maxConnections bounds open connections, as file descriptors are few.
	maxConnections = 24
	// maxLine bounds a command, in bytes with its line end.
	maxLine = 512
	// connectionTimeout bounds a connection: the command has to arrive and its answer to be read in this time.
	connectionTimeout = 3 * time.Second
	// acceptRetryPause is how long to wait after a failed accept.
	acceptRetryPause = 5 * time.Millisecond
)

// server answers the connections of one listener.
type server struct {
	handler Handler
	slots   chan struct{} // holds one element for each open connection

	mu     sync.Mutex
	silent []net.Conn // connections whose command has not arrived yet, the oldest first
}

// Serve answers commands until the context ends. It then closes the listener and returns nil.
func Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	srv := &server{handler: handler, slots: make(chan struct{}, maxConnections)}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // no descriptor is free, or a connection broke before it was accepted: neither ends the service
			slog.Warn("operator connection not accepted", "err", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		srv.acquireSlot()
		srv.addSilent(conn)
		go func() {
			srv.answer(conn)
			<-srv.slots
		}()
	}
}

// acquireSlot waits for room for one more connection. If there is none, the oldest silent connection is closed: those
// that send nothing must not keep others out.
func (s *server) acquireSlot() {
	select {
	case s.slots <- struct{}{}:
	default:
		s.closeOldestSilent()
		s.slots <- struct{}{}
	}
}

func (s *server) addSilent(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = append(s.silent, conn)
}

// closeOldestSilent closes the connection that has waited longest for its command.
func (s *server) closeOldestSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.silent) > 0 {
		s.silent[0].Close()
		s.silent = s.silent[1:]
	}
}

// removeSilent notes that a connection's command has arrived, or that it has ended.
func (s *server) removeSilent(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.silent, conn); i >= 0 {
		s.silent = slices.Delete(s.silent, i, i+1)
	}
}

// answer reads one command, carries it out and answers it.
func (s *server) answer(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(connectionTimeout)) // fails on a closed connection, as the read does then
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxLine), maxLine).ReadString('\n')
	s.removeSilent(conn)
	isTooLong := err != nil && len(line) >= maxLine
	if err != nil && !isTooLong { // part of a command is none, as it is not certain what it was to be
		return
	}
	text := "-ERR the call is too long"
	if !isTooLong {
		text = execute(s.handler, line)
	}
	_, _ = io.WriteString(conn, text+"\r\n") // a client that has gone needs no answer
	slog.Info("operator command answered", "line", strings.TrimSpace(line), "answer", text)
}
