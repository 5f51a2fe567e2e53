package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

const (
	minRedialPause = 50 * time.Millisecond
	maxRedialPause = 500 * time.Millisecond
	// peerSilenceTimeout is the time without a frame after which a link counts as broken.
	peerSilenceTimeout = 4 * client.KeepAliveInterval
	// writeTimeout bounds a write to a peer, client or follower.
	writeTimeout = 2 * time.Second
)

// peerLinks are the connections to the other members, one in each direction.
//
// This server receives a member's messages only on a connection that it has opened to the member's address, and sends
// to the member only on a connection that the member has opened. So only the process at a member's address can send
// under the member's id: if two processes have copies of one folder, only one of them can vote.
type peerLinks struct {
	incoming map[uint64]*peerLink // by member id; opened by this server
	outgoing map[uint64]*outbox   // by member id; opened by the members
}

// peerLink is a running peerReceiver.
type peerLink struct {
	member state.Member
	stop   context.CancelFunc
}

func newPeerLinks() peerLinks {
	return peerLinks{incoming: map[uint64]*peerLink{}, outgoing: map[uint64]*outbox{}}
}

// replaceOutbox returns a new outbox for a member's newest connection, and closes the previous one.
func (p *peerLinks) replaceOutbox(id uint64) *outbox {
	if earlier := p.outgoing[id]; earlier != nil {
		earlier.close()
	}
	added := newOutbox(id)
	p.outgoing[id] = added
	return added
}

// removeOutbox removes the outbox of a broken connection, unless a newer outbox has replaced it.
func (p *peerLinks) removeOutbox(broken *outbox) {
	if p.outgoing[broken.peer] == broken {
		delete(p.outgoing, broken.peer)
	}
}

// keepOnly closes the connections to all members except the given ones.
func (p *peerLinks) keepOnly(members map[uint64]bool) {
	for id, link := range p.incoming {
		if !members[id] {
			link.stop()
			delete(p.incoming, id)
		}
	}
	for id, box := range p.outgoing {
		if !members[id] {
			box.close()
			delete(p.outgoing, id)
		}
	}
}

func (p *peerLinks) closeAll() { p.keepOnly(nil) }

// updateLinksLater submits an event that calls updateLinks. It uses a goroutine because only the core empties the event
// queue: waiting for space in it here would be a deadlock.
func (c *core) updateLinksLater() {
	go c.submit(eventFunc(func(c *core) { c.updateLinks() }))
}

// updateLinks starts links to new members and stops those to former members.
func (c *core) updateLinks() {
	if c.node == nil {
		return
	}
	members := c.state.Members()
	if len(members) == 0 { // joining: the members are not known yet
		return
	}
	others := map[uint64]bool{}
	for _, member := range members {
		if member.ID != c.id() {
			others[member.ID] = true
			c.linkTo(member)
		}
	}
	c.links.keepOnly(others)
}

// linkToAll links to the members that another server has reported, for use until a snapshot with the members arrives.
func (c *core) linkToAll(members []state.Member) {
	for _, member := range members {
		if member.ID != c.id() {
			c.linkTo(member)
		}
	}
}

// linkTo starts a receiver for a member, unless one is running already for the member's current address.
func (c *core) linkTo(member state.Member) {
	address := c.reachableAt(member)
	if existing := c.links.incoming[member.ID]; existing != nil {
		if c.reachableAt(existing.member) == address {
			return
		}
		existing.stop()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.links.incoming[member.ID] = &peerLink{member: member, stop: cancel}
	hello := client.Hello{
		Role:    client.RolePeer,
		Cluster: c.identity.Cluster,
		From:    c.id(),
		Name:    c.Name,
		Level:   state.NewestFeatureLevel,
	}
	receiver := &peerReceiver{core: c, self: c.id(), member: member, address: address, hello: hello}
	go receiver.run(ctx)
}

// peerReceiver receives messages from one member and submits them to the core. It connects again when a connection
// breaks. It does not read the core's state.
type peerReceiver struct {
	core    *core
	self    uint64
	member  state.Member
	address string
	hello   client.Hello
}

// run connects again and again until the context ends. The pauses grow while no connection succeeds.
func (p *peerReceiver) run(ctx context.Context) {
	pause, lastReason := minRedialPause, ""
	for ctx.Err() == nil {
		connected, err := p.receive(ctx)
		if connected {
			pause = minRedialPause
		}
		if reason := fmt.Sprint(err); ctx.Err() == nil && reason != lastReason {
			lastReason = reason
			slog.Info("peer link not connected", "name", p.member.Name, "err", err)
		}
		select {
		case <-time.After(pause/2 + rand.N(pause/2+1)):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxRedialPause)
	}
}

// receive opens a connection and submits its messages until the connection breaks. It reports whether the member was
// reached.
func (p *peerReceiver) receive(ctx context.Context) (connected bool, err error) {
	conn, reader, welcome, err := client.Dial(ctx, p.address, p.hello)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if welcome.Cluster != p.hello.Cluster || welcome.ID != p.member.ID {
		return false, fmt.Errorf(
			"%s is the address of member %x of cluster %x, want member %x of cluster %x: the folder was replaced",
			p.address, welcome.ID, welcome.Cluster, p.member.ID, p.hello.Cluster)
	}
	p.core.submit(eventFunc(func(c *core) { c.members.levels[p.member.ID] = welcome.Level }))
	for {
		message, err := p.readMessage(conn, reader)
		if err != nil {
			return true, err
		}
		if message == nil {
			continue
		}
		if !p.core.submit(peerMessage{message, p.member.ID}) {
			return true, nil
		}
	}
}

// readMessage reads the next message. A nil message is a keep-alive.
func (p *peerReceiver) readMessage(conn net.Conn, reader *bufio.Reader) (*raftpb.Message, error) {
	_ = conn.SetReadDeadline(time.Now().Add(peerSilenceTimeout)) // on a broken connection the read fails
	frame, err := client.ReadFrame(reader, client.MaxFrame)
	if err != nil || len(frame) == 0 {
		return nil, err
	}
	message := &raftpb.Message{}
	if err := proto.Unmarshal(frame, message); err != nil {
		return nil, err
	}
	return message, p.checkMessage(message)
}

// checkMessage returns an error unless the message is from this member to this server. A forwarded MsgReadIndex may be
// from a third server: the one that started the read.
func (p *peerReceiver) checkMessage(message *raftpb.Message) error {
	fromMember := message.GetFrom() == p.member.ID || message.GetType() == raftpb.MsgReadIndex
	if fromMember && message.GetTo() == p.self && !raft.IsLocalMsg(message.GetType()) {
		return nil
	}
	return fmt.Errorf("unexpected message from %s: its sender is %x and its receiver %x",
		p.member.Name, message.GetFrom(), message.GetTo())
}

// peerMessage is the event that a message from a member was received.
type peerMessage struct {
	message *raftpb.Message
	sender  uint64
}

// apply implements event.
func (e peerMessage) apply(c *core) {
	if c.node == nil {
		return
	}
	c.members.lastContact[e.sender] = time.Now()
	c.step(e.message)
}

// send queues a message for a member. If the member is not connected or its outbox is full, it notifies Raft. While the
// disk is stalled, it drops all messages except responses.
func (c *core) send(message *raftpb.Message) {
	if c.diskStalled(time.Now()) && !raft.IsResponseMsg(message.GetType()) {
		return
	}
	receiver := message.GetTo()
	box := c.links.outgoing[receiver]
	if box != nil && box.enqueue(message) {
		return
	}
	c.node.ReportUnreachable(receiver)
	if message.GetType() == raftpb.MsgSnap {
		c.node.ReportSnapshot(receiver, raft.SnapshotFailure)
	}
}

// sendOutbox writes the messages queued for a member until its connection breaks or a newer one replaces it.
func (c *core) sendOutbox(conn net.Conn, box *outbox) {
	keepAlive := time.NewTicker(client.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		var frames bytes.Buffer
		hasSnapshot := false
		select {
		case <-box.closed:
			return
		case <-box.wake:
			hasSnapshot = encodeMessages(&frames, box.takeAll())
		case <-keepAlive.C:
			_ = client.WriteFrame(&frames, nil) // a write to a buffer does not fail
		}
		keepAlive.Reset(client.KeepAliveInterval)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a broken connection the write fails
		_, err := conn.Write(frames.Bytes())
		if hasSnapshot {
			c.reportSnapshot(box.peer, err)
		}
		if err != nil {
			c.submit(eventFunc(func(c *core) { c.links.removeOutbox(box) }))
			return
		}
	}
}

// reportSnapshot reports to Raft whether a snapshot was written to a member's connection.
func (c *core) reportSnapshot(receiver uint64, err error) {
	status := raft.SnapshotFinish
	if err != nil {
		status = raft.SnapshotFailure
	}
	c.submit(eventFunc(func(c *core) { c.node.ReportSnapshot(receiver, status) }))
}

// encodeMessages appends messages to the buffer as frames. Messages that can't be encoded are logged and skipped. It
// reports whether a snapshot is among the messages, including skipped ones.
func encodeMessages(frames *bytes.Buffer, messages []*raftpb.Message) (hasSnapshot bool) {
	for _, message := range messages {
		encoded, err := proto.Marshal(message)
		if err == nil {
			err = client.WriteFrame(frames, encoded)
		}
		if err != nil {
			slog.Error("peer message not encoded", "err", err)
		}
		hasSnapshot = hasSnapshot || message.GetType() == raftpb.MsgSnap
	}
	return hasSnapshot
}
