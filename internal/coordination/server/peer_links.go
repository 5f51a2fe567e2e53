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
	// peerSilenceTimeout is after how long without a frame a link counts as cut.
	peerSilenceTimeout = 4 * client.KeepAliveInterval
	// writeTimeout bounds a write to a peer, client or follower.
	writeTimeout = 2 * time.Second
)

// peerLinks are the connections to the other members, one in each direction.
//
// A member is heard only on a connection that was opened towards its address, and is sent to only on the one that it
// has opened. So nobody is heard under a member's id but whoever is at its address: of two processes with copies of one
// folder only one can vote.
type peerLinks struct {
	incoming map[uint64]*peerLink // on which members are heard
	outgoing map[uint64]*outbox   // for the connections that members have opened
}

// peerLink is the goroutine that hears one member.
type peerLink struct {
	member state.Member
	stop   context.CancelFunc
}

func newPeerLinks() peerLinks {
	return peerLinks{incoming: map[uint64]*peerLink{}, outgoing: map[uint64]*outbox{}}
}

// replaceOutbox begins to send to a member on its newest connection.
func (p *peerLinks) replaceOutbox(id uint64) *outbox {
	if earlier := p.outgoing[id]; earlier != nil {
		earlier.close()
	}
	added := newOutbox(id)
	p.outgoing[id] = added
	return added
}

// outboxBroken forgets an outbox, unless another has taken its place.
func (p *peerLinks) outboxBroken(broken *outbox) {
	if p.outgoing[broken.peer] == broken {
		delete(p.outgoing, broken.peer)
	}
}

// keepOnly closes the connections to all but the given members.
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

// updateLinksLater calls updateLinks as an event of its own. It does not wait for the queue of events, which the core
// itself empties.
func (c *core) updateLinksLater() {
	go c.submit(eventFunc(func(c *core) { c.updateLinks() }))
}

// updateLinks brings the links in line with the members.
func (c *core) updateLinks() {
	if c.node == nil {
		return
	}
	members := c.state.Members()
	if len(members) == 0 { // it joins, and has not learnt of the members yet
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

// linkToAll begins to hear the members that another server has named, until a snapshot says who they are.
func (c *core) linkToAll(members []state.Member) {
	for _, member := range members {
		if member.ID != c.id() {
			c.linkTo(member)
		}
	}
}

// linkTo begins to hear a member.
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

// peerReceiver hears one member, on one connection after the other. It reads nothing of the core's state and submits
// what comes.
type peerReceiver struct {
	core    *core
	self    uint64
	member  state.Member
	address string
	hello   client.Hello
}

// run connects until the context ends, with pauses that grow while no connection comes up.
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

// receive submits what comes on one connection until it breaks. It reports whether the member was reached.
func (p *peerReceiver) receive(ctx context.Context) (connected bool, err error) {
	conn, reader, welcome, err := client.Dial(ctx, p.address, p.hello)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if welcome.Cluster != p.hello.Cluster || welcome.ID != p.member.ID {
		return false, fmt.Errorf(
			"at %s there is member %x of cluster %x, and %x of %x is wanted: another folder was put in its place",
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

// readMessage reads the next message; nil: the frame only said that the member is there.
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

// checkMessage fails unless the message is one from this member to this server. A ReadIndex may be forwarded in the
// name of the server that began the read.
func (p *peerReceiver) checkMessage(message *raftpb.Message) error {
	fromMember := message.GetFrom() == p.member.ID || message.GetType() == raftpb.MsgReadIndex
	if fromMember && message.GetTo() == p.self && !raft.IsLocalMsg(message.GetType()) {
		return nil
	}
	return fmt.Errorf("%s sends a message from %x to %x", p.member.Name, message.GetFrom(), message.GetTo())
}

// peerMessage is the event of a message received from a member.
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

// send queues a message for a member that listens. Where none does, Raft is notified. While the disk does not
// answer, only responses are sent.
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

// sendOutbox writes what is queued for a member until its connection breaks or another takes its place.
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
			_ = client.WriteFrame(&frames, nil) // a buffer takes all
		}
		keepAlive.Reset(client.KeepAliveInterval)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a broken connection the write fails
		_, err := conn.Write(frames.Bytes())
		if hasSnapshot {
			c.reportSnapshot(box.peer, err)
		}
		if err != nil {
			c.submit(eventFunc(func(c *core) { c.links.outboxBroken(box) }))
			return
		}
	}
}

// reportSnapshot tells Raft whether a snapshot was written to a member's connection.
func (c *core) reportSnapshot(receiver uint64, err error) {
	status := raft.SnapshotFinish
	if err != nil {
		status = raft.SnapshotFailure
	}
	c.submit(eventFunc(func(c *core) { c.node.ReportSnapshot(receiver, status) }))
}

// encodeMessages writes messages as frames; it reports whether a snapshot is among them. One that can't be written is
// left out.
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
