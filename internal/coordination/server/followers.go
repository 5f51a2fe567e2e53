package server

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"olivearch/internal/coordination/client"
)

// followerQueueLength bounds the updates that wait to be written to one follower.
const followerQueueLength = 1024

// heartbeatReadTimeout bounds the linearizable read that precedes a heartbeat.
const heartbeatReadTimeout = time.Second

// follower is a balancer's connection on which the server sends the whole state and then each change. No update is
// skipped: a follower that is too slow is disconnected, connects again and gets the whole state.
type follower struct {
	updates   chan []byte
	closed    chan struct{}
	closeOnce sync.Once
	// lastPing and overflowed belong to the core.
	lastPing   uint64
	overflowed bool // an update did not fit into the queue; no further one is queued
}

func newFollower() *follower {
	return &follower{updates: make(chan []byte, followerQueueLength), closed: make(chan struct{})}
}

func (f *follower) close() { f.closeOnce.Do(func() { close(f.closed) }) }

// push queues an update. The first update that does not fit ends the connection.
func (f *follower) push(encoded []byte) {
	if f.overflowed {
		return
	}
	select {
	case f.updates <- encoded:
	default:
		f.overflowed = true
		f.close()
	}
}

// write writes updates until the connection breaks or the follower is disconnected.
func (f *follower) write(conn net.Conn) {
	for {
		select {
		case encoded := <-f.updates:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a broken connection the write fails
			if client.WriteFrame(conn, encoded) != nil {
				return
			}
		case <-f.closed:
			return
		}
	}
}

// followerSet holds the connected followers. It belongs to the core.
type followerSet map[*follower]bool

// broadcast queues an update for all followers.
func (s followerSet) broadcast(update client.Update) {
	if len(s) == 0 {
		return
	}
	encoded := update.Encode()
	for f := range s {
		f.push(encoded)
	}
}

// pings returns the number of each follower's latest ping.
func (s followerSet) pings() map[*follower]uint64 {
	pings := map[*follower]uint64{}
	for f := range s {
		pings[f] = f.lastPing
	}
	return pings
}

func (s followerSet) closeAll() {
	for f := range s {
		f.close()
	}
}

// followerRejection returns the reason for rejecting a follower, or an empty string if it is served.
func (c *core) followerRejection(hello client.Hello) string {
	switch {
	case c.node == nil:
		return noClusterReason + ": " + c.bootstrap.waitReason
	case hello.Cluster != 0 && hello.Cluster != c.identity.Cluster:
		return c.clusterMismatch(hello)
	case hello.Applied > c.applied:
		return fmt.Sprintf("it has come to %d, and the follower to %d", c.applied, hello.Applied)
	}
	return ""
}

// addFollower adds a follower and queues the whole state as its first update.
func (c *core) addFollower() *follower {
	added := newFollower()
	added.push(c.fullUpdate())
	c.followers[added] = true
	return added
}

// serveFollower sends updates and receives pings until the connection ends.
func (c *core) serveFollower(conn net.Conn, reader *bufio.Reader, served *follower) {
	go c.readPings(reader, served)
	served.write(conn)
}

// readPings submits a follower's pings to the core until its connection ends.
func (c *core) readPings(reader *bufio.Reader, from *follower) {
	for {
		frame, err := client.ReadFrame(reader, maxHelloBytes)
		var ping uint64
		if err == nil {
			ping, err = client.DecodePing(frame)
		}
		if err != nil {
			from.close()
			return
		}
		if !c.submit(eventFunc(func(*core) { from.lastPing = ping })) {
			return
		}
	}
}

// fullUpdate returns an encoded update that contains the whole state.
func (c *core) fullUpdate() []byte {
	update := client.Update{
		State:     c.state.Encode(),
		Index:     c.applied,
		Leader:    c.leaderName(),
		Cluster:   c.identity.Cluster,
		Heartbeat: true,
	}
	return update.Encode()
}

// sendHeartbeats sends each follower a heartbeat with the number of its latest ping, after a linearizable read.
// Anything granted before the follower sent that ping is covered by the read, and was queued for the follower before
// the heartbeat. So the heartbeat proves that the follower's copy is not older than the ping. If no quorum confirms the
// read, the heartbeat contains no ping.
func (c *core) sendHeartbeats(now time.Time) {
	voters, reachable := c.members.countVoters(c.state.Members(), c.id(), now)
	if !c.leadership.leading { // other servers receive messages from the leader only
		reachable = 0
	}
	pings := c.followers.pings()
	c.read(heartbeatReadTimeout, func(err error) {
		update := client.Update{
			Heartbeat:       true,
			Index:           c.applied,
			Leader:          c.leaderName(),
			Cluster:         c.identity.Cluster,
			Voters:          voters,
			ReachableVoters: reachable,
		}
		for f, ping := range pings {
			if err == nil {
				update.Ping = ping
			}
			f.push(update.Encode())
		}
	})
}
