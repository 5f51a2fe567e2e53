package server

import (
	"log/slog"
	"time"

	"go.etcd.io/raft/v3"
)

// leadership is the current leader as Raft reports it. A leader is ready once it has applied an entry of its own term:
// its state then contains everything that was committed in earlier terms, and the value of the cluster's clock is
// known. Only a ready leader proposes commands, and clock is valid only while this server is a ready leader.
type leadership struct {
	leader  uint64 // member id; raft.None: not known
	leading bool   // this server is the leader
	ready   bool
	clock   clusterClock
}

// canPropose reports whether this server may propose commands.
func (l *leadership) canPropose() bool { return l.leading && l.ready }

// becomeReady marks the leader as ready and starts the cluster's clock at a value in milliseconds.
func (l *leadership) becomeReady(now time.Time, clock uint64) {
	l.ready = true
	l.clock.start(now, clock)
}

// leadershipChanged handles a change of the leader or of this server's role.
func (c *core) leadershipChanged(softState *raft.SoftState) {
	leading := softState.RaftState == raft.StateLeader
	if softState.Lead != c.leadership.leader {
		member, _ := c.state.Member(softState.Lead)
		slog.Info("leader changed", "name", member.Name, "term", c.node.BasicStatus().GetTerm())
	}
	gained := leading && !c.leadership.leading
	lost := c.leadership.leading && !leading
	if gained {
		c.members.leadershipGained()
	}
	if lost {
		c.proposals.abandonAll("another voter leads now, and may have it or not")
		c.leadership.ready = false
		c.members.changePending = false
	}
	c.leadership.leader, c.leadership.leading = softState.Lead, leading
}

// leaderName returns the leader's name, or an empty string if it is unknown.
func (c *core) leaderName() string {
	member, _ := c.state.Member(c.leadership.leader)
	return member.Name
}

func (c *core) leaderKnown() bool { return c.leadership.leader != raft.None }
