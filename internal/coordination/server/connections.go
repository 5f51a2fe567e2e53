package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

const (
	maxConnections = 4096
	// helloTimeout bounds the exchange of Hello and Welcome.
	helloTimeout  = time.Second
	maxHelloBytes = 4 << 10
	// acceptRetryPause is the pause after a failed Accept.
	acceptRetryPause = 5 * time.Millisecond
	readBufferBytes  = 16 << 10
)

// serve accepts connections until the listener is closed, and returns when all connections have ended. It closes
// connections beyond maxConnections at once.
func (c *core) serve(listener net.Listener) {
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // no file descriptors left, or the connection broke in the accept queue
			slog.Warn("connection not accepted", "err", err)
			time.Sleep(acceptRetryPause)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		connections.Go(func() {
			defer func() { <-slots }()
			c.serveConnection(conn)
		})
	}
}

// serveConnection reads the Hello of a connection, and serves the connection until it or the server ends.
func (c *core) serveConnection(conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(c.ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(helloTimeout)) // on a broken connection the read fails
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	frame, err := client.ReadFrame(reader, maxHelloBytes)
	if err != nil {
		return
	}
	hello, err := client.DecodeHello(frame)
	if err != nil {
		return
	}
	opened := make(chan session, 1)
	if !c.submit(eventFunc(func(c *core) { opened <- c.openSession(conn, reader, hello) })) {
		return
	}
	select {
	case s := <-opened:
		s.run(conn)
	case <-c.ctx.Done():
	}
}

// session is the core's decision on a new connection.
type session struct {
	welcome client.Welcome
	serve   func() // nil: the connection is rejected for the reason in welcome
	release func() // called when the connection has ended; may be nil
}

// run sends the welcome and serves the connection.
func (s session) run(conn net.Conn) {
	if s.release != nil {
		defer s.release()
	}
	_ = conn.SetDeadline(time.Now().Add(helloTimeout)) // on a broken connection the write fails
	if client.WriteFrame(conn, s.welcome.Encode()) != nil || s.serve == nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	s.serve()
}

// openSession decides whether and how a new connection is served.
func (c *core) openSession(conn net.Conn, reader *bufio.Reader, hello client.Hello) session {
	opened := session{welcome: client.Welcome{
		Cluster: c.identity.Cluster,
		ID:      c.id(),
		Name:    c.Name,
		Level:   state.NewestFeatureLevel,
		Tick:    c.uptime.now(),
	}}
	switch hello.Role {
	case client.RoleClient:
		opened.serve = func() { c.serveClient(conn, reader) }
	case client.RoleFollower:
		if reason := c.followerRejection(hello); reason != "" {
			opened.welcome.RejectReason = reason
			break
		}
		added := c.addFollower()
		opened.serve = func() { c.serveFollower(conn, reader, added) }
		opened.release = func() { c.submit(eventFunc(func(c *core) { delete(c.followers, added) })) }
	case client.RolePeer:
		if reason := c.peerRejection(hello); reason != "" {
			opened.welcome.RejectReason = reason
			break
		}
		box := c.links.replaceOutbox(hello.From)
		c.members.levels[hello.From] = hello.Level
		opened.serve = func() { c.sendOutbox(conn, box) }
	default:
		opened.welcome.RejectReason = fmt.Sprintf("there is no role %d", hello.Role)
	}
	return opened
}

// peerRejection returns the reason for rejecting a peer, or an empty string if it is served.
func (c *core) peerRejection(hello client.Hello) string {
	member, known := c.state.Member(hello.From)
	membersKnown := len(c.state.Members()) > 0
	switch {
	case c.node == nil:
		return noClusterReason
	case hello.Cluster != c.identity.Cluster:
		return c.clusterMismatch(hello)
	case membersKnown && (!known || member.Name != hello.Name):
		return fmt.Sprintf("%s with the id %x is no member: it was replaced, or is not one yet", hello.Name, hello.From)
	}
	return ""
}

// clusterMismatch returns the reason for rejecting a connection from another cluster.
func (c *core) clusterMismatch(hello client.Hello) string {
	return fmt.Sprintf("this is cluster %x, not %x", c.identity.Cluster, hello.Cluster)
}
