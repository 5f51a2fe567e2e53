package server

import (
	"log/slog"
	"time"

	"go.etcd.io/raft/v3"
)

// leadership is the current leader as Raft reports it. A leader is ready once it has applied an entry of its own term:
// its state then holds everything that was committed in earlier terms, and the cluster's clock is known. Only a ready
// leader proposes commands, and clock is valid only while this server is one.
type leadership struct {
	leader  uint64 // raft.None: not known
	leading bool   // this server is the leader
	ready   bool
	clock   clusterClock
}

// canPropose reports whether this server may propose commands.
func (l *leadership) canPropose() bool { return l.leading && l.ready }

// becomeReady makes the leader ready, with the cluster's clock at a value in milliseconds.
func (l *leadership) becomeReady(now time.Time, clock uint64) {
	l.ready = true
	l.clock.start(now, clock)
}

// leadershipChanged handles the event that Raft reports another leader, or another role of this server.
func (c *core) leadershipChanged(soft *raft.SoftState) {
	leading := soft.RaftState == raft.StateLeader
	if soft.Lead != c.leadership.leader {
		member, _ := c.state.Member(soft.Lead)
		slog.Info("leader changed", "name", member.Name, "term", c.node.BasicStatus().GetTerm())
	}
	gained := leading && !c.leadership.leading
	lost := c.leadership.leading && !leading
	if gained {
		c.members.leadershipGained()
	}
	if lost {
		c.proposals.abandon("another voter leads now, and may have it or not")
		c.leadership.ready = false
		c.members.changePending = false
	}
	c.leadership.leader, c.leadership.leading = soft.Lead, leading
}

// leaderName returns the leader's name; empty: no leader is known.
func (c *core) leaderName() string {
	member, _ := c.state.Member(c.leadership.leader)
	return member.Name
}

// leaderKnown reports whether Raft knows of a leader.
func (c *core) leaderKnown() bool { return c.leadership.leader != raft.None }
