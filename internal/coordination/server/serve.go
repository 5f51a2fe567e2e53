package server

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

const (
	maxConnections = 4096
	helloWithin    = time.Second
	maxHello       = 4 << 10
	maxRequest     = 64 << 10
	answersMost    = 1024 // that wait to be written to one caller
	updatesMost    = 1024 // that wait to be written to one follower
	retryPause     = 5 * time.Millisecond
)

// serve takes connections until the listener closes, and returns when all have ended.
func (c *core) serve(l net.Listener) {
	var all sync.WaitGroup
	defer all.Wait()
	room := make(chan struct{}, maxConnections)
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors, or a connection that broke in the queue
			slog.Warn("taking a connection", "err", err)
			time.Sleep(retryPause)
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		all.Go(func() {
			defer func() { <-room }()
			c.welcome(conn)
		})
	}
}

// welcome hears what a connection is for, and serves it.
func (c *core) welcome(conn net.Conn) {
	defer conn.Close()
	defer watch(c, conn)()
	conn.SetDeadline(time.Now().Add(helloWithin))
	in := bufio.NewReaderSize(conn, 16<<10)
	b, err := client.ReadFrame(in, maxHello)
	if err != nil {
		return
	}
	h, err := client.DecodeHello(b)
	if err != nil {
		return
	}
	greeted := make(chan func(), 1)
	if !c.hand(eventFunc(func(c *core) { greeted <- c.greet(conn, in, h) })) {
		return
	}
	select {
	case serve := <-greeted:
		serve()
	case <-c.ctx.Done():
	}
}

// watch closes a connection when the voter ends, until the returned function is called.
func watch(c *core, conn net.Conn) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-c.ctx.Done():
			conn.Close()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// greet answers a connection's first words, and returns what serves it.
func (c *core) greet(conn net.Conn, in *bufio.Reader, h client.Hello) func() {
	w := client.Welcome{Cluster: c.identity.Cluster, ID: c.id(), Name: c.Name, Level: state.NewestFeatureLevel, Tick: c.ticksNow()}
	var serve func()
	left := func() {} // once the connection is of no more use, greeted or not
	switch h.Role {
	case client.RoleClient:
		serve = func() { c.answerOn(conn, in) }
	case client.RoleFollower:
		switch {
		case c.node == nil:
			w.RejectReason = "it belongs to no cluster yet: " + c.waits
		case h.Cluster != 0 && h.Cluster != w.Cluster:
			w.RejectReason = fmt.Sprintf("this is cluster %x, not %x", w.Cluster, h.Cluster)
		case h.Applied > c.applied:
			w.RejectReason = fmt.Sprintf("it has come to %d, and the follower to %d", c.applied, h.Applied)
		default:
			f := newFollower()
			f.push(c.whole())
			c.followers[f] = true
			serve = func() {
				go c.pings(in, f)
				f.write(conn)
			}
			left = func() { c.hand(eventFunc(func(c *core) { delete(c.followers, f) })) }
		}
	case client.RolePeer:
		m, member := c.state.Member(h.From)
		switch {
		case c.node == nil:
			w.RejectReason = "it belongs to no cluster yet"
		case h.Cluster != w.Cluster:
			w.RejectReason = fmt.Sprintf("this is cluster %x, not %x", w.Cluster, h.Cluster)
		case len(c.state.Members()) > 0 && (!member || m.Name != h.Name):
			w.RejectReason = fmt.Sprintf("%s with the id %x is no member: it was replaced, or is not one yet", h.Name, h.From)
		default:
			if old := c.outboxes[h.From]; old != nil {
				old.close()
			}
			o := newOutbox(h.From)
			c.outboxes[h.From], c.levels[h.From] = o, h.Level
			serve = func() { c.speak(conn, o) }
		}
	default:
		w.RejectReason = fmt.Sprintf("there is no role %d", h.Role)
	}
	return func() {
		defer left()
		conn.SetDeadline(time.Now().Add(helloWithin))
		if client.WriteFrame(conn, w.Encode()) != nil || serve == nil {
			return
		}
		conn.SetDeadline(time.Time{})
		serve()
	}
}

// speak writes what waits for a member until its connection breaks or another takes its place.
func (c *core) speak(conn net.Conn, o *outbox) {
	idle := time.NewTicker(client.KeepAlive)
	defer idle.Stop()
	for {
		var frames bytes.Buffer
		snapshots := false
		select {
		case <-o.closed:
			return
		case <-o.kick:
			for _, m := range o.take() {
				b, err := proto.Marshal(m)
				if err == nil {
					err = client.WriteFrame(&frames, b)
				}
				if err != nil {
					slog.Error("a message to a voter", "err", err)
				}
				snapshots = snapshots || m.GetType() == raftpb.MsgSnap
			}
		case <-idle.C:
			client.WriteFrame(&frames, nil)
		}
		idle.Reset(client.KeepAlive) // what is said says that the voter is there
		conn.SetWriteDeadline(time.Now().Add(writeWithin))
		_, err := conn.Write(frames.Bytes())
		if snapshots {
			state := raft.SnapshotFinish
			if err != nil {
				state = raft.SnapshotFailure
			}
			c.hand(eventFunc(func(c *core) { c.node.ReportSnapshot(o.to, state) }))
		}
		if err != nil {
			c.hand(eventFunc(func(c *core) {
				if c.outboxes[o.to] == o {
					delete(c.outboxes, o.to)
				}
			}))
			return
		}
	}
}

// ticksNow is this voter's own clock, in ms since it started.
func (c *core) ticksNow() uint64 { return uint64(time.Since(c.began)/time.Millisecond) + 1 }

// answerOn takes requests and writes answers until the connection ends.
func (c *core) answerOn(conn net.Conn, in *bufio.Reader) {
	answers := make(chan client.Response, answersMost)
	ended := make(chan struct{})
	defer close(ended)
	go func() { // the one writer
		idle := time.NewTicker(client.KeepAlive)
		defer idle.Stop()
		for {
			var a client.Response // with no number it only says that the voter is there
			select {
			case a = <-answers:
			case <-idle.C:
			case <-ended:
				return
			}
			a.Tick = c.ticksNow()
			conn.SetWriteDeadline(time.Now().Add(writeWithin))
			if client.WriteFrame(conn, a.Encode()) != nil {
				conn.Close()
				return
			}
		}
	}()
	for {
		b, err := client.ReadFrame(in, maxRequest)
		if err != nil {
			return
		}
		r, err := client.DecodeRequest(b)
		if err != nil {
			return
		}
		answer := func(a client.Response) {
			a.Number = r.Number
			select {
			case answers <- a:
			default: // it asks and does not read: the connection is of no use
				conn.Close()
			}
		}
		if !c.hand(ask{Request: r, answer: answer}) {
			return
		}
	}
}

// follower is sent what is held, and what changes. One that is too slow is let go: it comes again, and gets the whole.
type follower struct {
	updates chan []byte
	closed  chan struct{}
	once    sync.Once
	ping    uint64 // its last; belongs to the core, as behind
	behind  bool   // an update was lost to it
}

func newFollower() *follower {
	return &follower{updates: make(chan []byte, updatesMost), closed: make(chan struct{})}
}

func (f *follower) close() { f.once.Do(func() { close(f.closed) }) }

// push hands an update over, unless one before it could not be: what follows a gap means nothing.
func (f *follower) push(b []byte) {
	if f.behind {
		return
	}
	select {
	case f.updates <- b:
	default:
		f.behind = true
		f.close()
	}
}

// pings takes a follower's pings until its connection ends.
func (c *core) pings(in *bufio.Reader, f *follower) {
	for {
		b, err := client.ReadFrame(in, maxHello)
		var n uint64
		if err == nil {
			n, err = client.DecodePing(b)
		}
		if err != nil {
			f.close()
			return
		}
		if !c.hand(eventFunc(func(*core) { f.ping = n })) {
			return
		}
	}
}

// whole is an update with all that is held.
func (c *core) whole() []byte {
	u := client.Update{State: c.state.Encode(), Index: c.applied, Leader: c.leader(), Cluster: c.identity.Cluster, Heartbeat: true}
	return u.Encode()
}

// tell sends an update to all followers.
func (c *core) tell(u client.Update) {
	if len(c.followers) == 0 {
		return
	}
	u.Cluster = c.identity.Cluster
	b := u.Encode()
	for f := range c.followers {
		f.push(b)
	}
}

func (f *follower) write(conn net.Conn) {
	for {
		select {
		case b := <-f.updates:
			conn.SetWriteDeadline(time.Now().Add(writeWithin))
			if client.WriteFrame(conn, b) != nil {
				return
			}
		case <-f.closed:
			return
		}
	}
}
