package server

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"olivearch/internal/coordination/client"
)

// followerQueueLength is how many updates may wait to be written to one follower.
const followerQueueLength = 1024

// heartbeatReadTimeout bounds the read by which a heartbeat says how old followers' copies are.
const heartbeatReadTimeout = time.Second

// follower is a balancer's connection on which it is sent the state and then each change of it. Updates have no gap:
// one that is too slow is disconnected; it connects again and gets the whole state.
type follower struct {
	updates   chan []byte
	closed    chan struct{}
	closeOnce sync.Once
	// lastPing and behind belong to the core.
	lastPing uint64
	behind   bool // an update did not fit: no further one is sent
}

func newFollower() *follower {
	return &follower{updates: make(chan []byte, followerQueueLength), closed: make(chan struct{})}
}

func (f *follower) close() { f.closeOnce.Do(func() { close(f.closed) }) }

// push queues an update. The first one that does not fit ends the connection.
func (f *follower) push(encoded []byte) {
	if f.behind {
		return
	}
	select {
	case f.updates <- encoded:
	default:
		f.behind = true
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

// broadcast queues an update for all of them.
func (s followerSet) broadcast(update client.Update) {
	if len(s) == 0 {
		return
	}
	encoded := update.Encode()
	for f := range s {
		f.push(encoded)
	}
}

// pings returns the last ping of each follower.
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

// followerRejection returns the reason for not serving a follower; empty: it is served.
func (c *core) followerRejection(hello client.Hello) string {
	switch {
	case c.node == nil:
		return noClusterReason + ": " + c.bootstrap.waitReason
	case hello.Cluster != 0 && hello.Cluster != c.identity.Cluster:
		return c.otherCluster(hello)
	case hello.Applied > c.applied:
		return fmt.Sprintf("it has come to %d, and the follower to %d", c.applied, hello.Applied)
	}
	return ""
}

// addFollower begins to queue updates for a new follower, the whole state first.
func (c *core) addFollower() *follower {
	added := newFollower()
	added.push(c.fullUpdate())
	c.followers[added] = true
	return added
}

// serveFollower sends updates and takes pings until the connection ends.
func (c *core) serveFollower(conn net.Conn, reader *bufio.Reader, served *follower) {
	go c.readPings(reader, served)
	served.write(conn)
}

// readPings takes a follower's pings until its connection ends.
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

// fullUpdate returns an encoded update with the whole state.
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

// sendHeartbeats tells the followers how old their copies are, once a quorum has confirmed it. All that was granted
// before a follower sent its last ping was granted before the read began, and is queued for it before the heartbeat
// that names the ping. Without a quorum the heartbeat names none.
func (c *core) sendHeartbeats(now time.Time) {
	voters, reachable := c.members.countVoters(c.state.Members(), c.id(), now)
	if !c.leadership.leading { // a server that follows hears the leader alone
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
