package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// A member is heard only on a connection that was opened towards its own address, and speaks only on those that others have opened
// towards it. So nobody is heard under the id of a member but whoever is at its address: two processes with copies of one folder cannot
// both vote.

const (
	redialLeast = 50 * time.Millisecond
	redialMost  = 500 * time.Millisecond
	linkSilent  = 4 * client.KeepAlive
	outboxMost  = 4096
	outboxBytes = 64 << 20
	writeWithin = 2 * time.Second
)

// link hears one member.
type link struct {
	member state.Member
	stop   context.CancelFunc
}

// relinkSoon brings the links in line with the members once what is being applied is.
func (c *core) relinkSoon() {
	go c.hand(eventFunc(func(c *core) { c.relink() }))
}

// relink brings the links in line with the members.
func (c *core) relink() {
	if c.node == nil {
		return
	}
	members := c.state.Members()
	if len(members) == 0 { // it joins, and has not been told yet
		return
	}
	wanted := map[uint64]bool{}
	for _, m := range members {
		if m.ID != c.id() {
			wanted[m.ID] = true
			c.connect(m)
		}
	}
	for id, l := range c.links {
		if !wanted[id] {
			l.stop()
			delete(c.links, id)
		}
	}
	for id, o := range c.outboxes {
		if !wanted[id] {
			o.close()
			delete(c.outboxes, id)
		}
	}
}

// connect begins to hear a member.
func (c *core) connect(m state.Member) {
	if old := c.links[m.ID]; old != nil {
		if c.reachable(old.member) == c.reachable(m) {
			return
		}
		old.stop()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.links[m.ID] = &link{m, cancel}
	hello := client.Hello{Role: client.RolePeer, Cluster: c.identity.Cluster, From: c.id(), Name: c.Name, Level: state.NewestFeatureLevel}
	go c.hear(ctx, m, c.reachable(m), hello)
}

// hear opens connections to a member, one after the other, and hands on what comes.
func (c *core) hear(ctx context.Context, m state.Member, address string, hello client.Hello) {
	pause, why := redialLeast, ""
	for ctx.Err() == nil {
		err := c.hearOn(ctx, m, address, hello, func() { pause = redialLeast })
		if text := fmt.Sprint(err); ctx.Err() == nil && text != why {
			why = text
			slog.Info("a voter is not heard", "name", m.Name, "err", err)
		}
		select {
		case <-time.After(pause/2 + rand.N(pause/2+1)):
		case <-ctx.Done():
		}
		pause = min(2*pause, redialMost)
	}
}

func (c *core) hearOn(ctx context.Context, m state.Member, address string, hello client.Hello, up func()) error {
	conn, in, w, err := client.Dial(ctx, address, hello)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if w.Cluster != hello.Cluster || w.ID != m.ID {
		return fmt.Errorf("at %s there is member %x of cluster %x, and %x of %x is wanted: another folder was put in its place", address, w.ID, w.Cluster, m.ID, hello.Cluster)
	}
	up()
	c.hand(eventFunc(func(c *core) { c.levels[m.ID] = w.Level }))
	for {
		conn.SetReadDeadline(time.Now().Add(linkSilent))
		b, err := client.ReadFrame(in, client.MaxFrame)
		if err != nil {
			return err
		}
		if len(b) == 0 { // it has nothing to say
			continue
		}
		x := &raftpb.Message{}
		if err := proto.Unmarshal(b, x); err != nil {
			return err
		}
		// A reading may be passed on in the name of the voter that asked for it.
		if (x.GetFrom() != m.ID && x.GetType() != raftpb.MsgReadIndex) || x.GetTo() != c.id() || raft.IsLocalMsg(x.GetType()) {
			return fmt.Errorf("%s sends a message from %x to %x", m.Name, x.GetFrom(), x.GetTo())
		}
		if !c.hand(heardOf{x, m.ID}) {
			return nil
		}
	}
}

// heardOf is a message of another voter's.
type heardOf struct {
	*raftpb.Message
	by uint64
}

func (e heardOf) apply(c *core) {
	if c.node == nil {
		return
	}
	c.heard[e.by] = time.Now()
	c.step(e.Message)
}

// send hands a message to the member that listens for it; one that does not is told to the consensus.
func (c *core) send(m *raftpb.Message) {
	if c.stalled(time.Now()) && !raft.IsResponseMsg(m.GetType()) {
		return
	}
	o := c.outboxes[m.GetTo()]
	if o != nil && o.put(m) {
		return
	}
	c.node.ReportUnreachable(m.GetTo())
	if m.GetType() == raftpb.MsgSnap {
		c.node.ReportSnapshot(m.GetTo(), raft.SnapshotFailure)
	}
}

// outbox is what waits to be written to a member that listens. What is too much is dropped: the consensus sends it again.
type outbox struct {
	to     uint64
	mu     sync.Mutex
	queue  []*raftpb.Message
	bytes  int
	kick   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newOutbox(to uint64) *outbox {
	return &outbox{to: to, kick: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (o *outbox) close() { o.once.Do(func() { close(o.closed) }) }

func (o *outbox) put(m *raftpb.Message) bool {
	size := proto.Size(m)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) >= outboxMost || (o.bytes > 0 && o.bytes+size > outboxBytes) {
		return false
	}
	o.queue, o.bytes = append(o.queue, m), o.bytes+size
	select {
	case o.kick <- struct{}{}:
	default:
	}
	return true
}

func (o *outbox) take() []*raftpb.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.queue
	o.queue, o.bytes = nil, 0
	return all
}
