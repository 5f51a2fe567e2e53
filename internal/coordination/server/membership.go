package server

import (
	"fmt"
	"log/slog"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/membership"
	"olivearch/internal/coordination/state"
)

const (
	// joiningVoterTimeout is after how long without a request to join a joining voter is forgotten.
	joiningVoterTimeout = 3 * time.Second
	// membershipChangeTimeout is after how long a proposed change that has not been applied counts as lost.
	membershipChangeTimeout = 5 * time.Second
	// learnerIdleTimeout is after how long without contact a learner is removed.
	learnerIdleTimeout = time.Minute
	// reachableWithin is the time since the last contact within which a voter counts as reachable.
	reachableWithin = time.Second
)

// joiningVoter is a process with an empty folder that has asked to join.
type joiningVoter struct {
	membership.JoiningVoter
	lastRequest time.Time
	waitReason  string // why it has to wait; empty: it may join
}

// membershipTracker is what a server knows of members and joining voters beside the replicated state. It decides
// nothing: membership.NextChange does, from the view that is made of it. At most one change is under way: changePending
// is set from its proposal until it is applied, to the end of a joint configuration, or until it counts as lost.
type membershipTracker struct {
	lastContact      map[uint64]time.Time // when a message of the member last came
	memberSince      map[uint64]time.Time // since when the member is known, as this leader has counted
	levels           map[uint64]uint32    // the newest feature level that the member's version knows
	declaredLost     map[string]bool      // names of voters whose machine is lost for good, as operators say
	joining          map[uint64]*joiningVoter
	changePending    bool
	changeProposedAt time.Time
}

func newMembershipTracker() membershipTracker {
	return membershipTracker{
		lastContact:  map[uint64]time.Time{},
		memberSince:  map[uint64]time.Time{},
		levels:       map[uint64]uint32{},
		declaredLost: map[string]bool{},
		joining:      map[uint64]*joiningVoter{},
	}
}

// leadershipGained restarts the count of how long members are known: followers of Raft hear the leader alone, so a new
// leader could not have heard them before.
func (t *membershipTracker) leadershipGained() { t.memberSince = map[uint64]time.Time{} }

// sinceContact returns the time since the last message of a member; false: there was none.
func (t *membershipTracker) sinceContact(id uint64, now time.Time) (time.Duration, bool) {
	last, known := t.lastContact[id]
	return now.Sub(last), known
}

// sinceAdded returns for how long the member has been known. The first call for a member starts the count.
func (t *membershipTracker) sinceAdded(id uint64, now time.Time) time.Duration {
	if _, known := t.memberSince[id]; !known {
		t.memberSince[id] = now
	}
	return now.Sub(t.memberSince[id])
}

// joinRequested notes a request to join. It returns why the joining voter has to wait, and whether it is a new one.
func (t *membershipTracker) joinRequested(
	voter membership.JoiningVoter, now time.Time,
) (waitReason string, added bool) {
	known := t.joining[voter.ID]
	if known == nil {
		known = &joiningVoter{waitReason: "its wish has just come"}
		t.joining[voter.ID] = known
		added = true
	}
	known.JoiningVoter, known.lastRequest = voter, now
	return known.waitReason, added
}

// expire forgets joining voters that no longer ask, and a proposed change that counts as lost. A joint configuration
// does not: Raft leaves it by itself.
func (t *membershipTracker) expire(now time.Time, joint bool) {
	for id, voter := range t.joining {
		if now.Sub(voter.lastRequest) > joiningVoterTimeout {
			delete(t.joining, id)
		}
	}
	if t.changePending && now.Sub(t.changeProposedAt) > membershipChangeTimeout && !joint {
		t.changePending = false
	}
}

// changeProposed notes that a change is under way.
func (t *membershipTracker) changeProposed(now time.Time) {
	t.changePending, t.changeProposedAt = true, now
}

// peer returns the leader's view of a member whose log is known to match up to matchIndex.
func (t *membershipTracker) peer(member state.Member, matchIndex uint64, now time.Time) membership.Peer {
	peer := membership.Peer{
		Member:       member,
		MatchIndex:   matchIndex,
		Level:        t.levels[member.ID],
		DeclaredLost: t.declaredLost[member.Name],
		SinceContact: longAgo,
		SinceAdded:   t.sinceAdded(member.ID, now),
	}
	if silence, known := t.sinceContact(member.ID, now); known {
		peer.SinceContact = silence
	}
	return peer
}

// countVoters counts the members that vote, and those of them that can be reached, self among them.
func (t *membershipTracker) countVoters(members []state.Member, self uint64, now time.Time) (voters, reachable uint32) {
	for _, member := range members {
		if member.Learner {
			continue
		}
		voters++
		silence, known := t.sinceContact(member.ID, now)
		if member.ID == self || (known && silence < reachableWithin) {
			reachable++
		}
	}
	return voters, reachable
}

// reviewMembership takes the next step in who the voters are, as the leader. A server without a cluster looks for one.
func (c *core) reviewMembership(now time.Time) {
	switch {
	case c.node == nil:
		c.seekCluster()
	case len(c.state.Members()) == 0: // it joins, and may have been restarted before it learnt of the members
		c.askToJoin()
	case c.leadership.canPropose():
		c.reviewAsLeader(now)
	}
}

func (c *core) reviewAsLeader(now time.Time) {
	joint := len(c.confState.GetVotersOutgoing()) > 0
	c.members.expire(now, joint)
	if c.state.NextExpiry() <= c.leadership.clock.at(now) {
		c.proposeInternal(&state.AdvanceClock{})
	}
	timeouts := membership.Timeouts{ReplaceAfter: c.ReplaceAfter, LearnerIdle: learnerIdleTimeout}
	change, waitReasons := membership.NextChange(c.membershipView(now), timeouts)
	for id, voter := range c.members.joining {
		voter.waitReason = waitReasons[id]
	}
	c.carryOut(change, now)
}

// membershipView returns the leader's view of members and joining voters.
func (c *core) membershipView(now time.Time) membership.View {
	view := membership.View{
		Self:         c.id(),
		Admitted:     c.state.AdmittedVoters(),
		Changing:     c.members.changePending,
		FeatureLevel: c.state.FeatureLevel(),
		CommitIndex:  c.node.BasicStatus().GetCommit(),
	}
	matchIndexes := c.matchIndexes()
	for _, member := range c.state.Members() {
		peer := c.members.peer(member, matchIndexes[member.ID], now)
		if member.ID == c.id() {
			peer.SinceContact, peer.Level = 0, state.NewestFeatureLevel
		}
		view.Members = append(view.Members, peer)
	}
	for _, voter := range c.members.joining {
		view.JoiningVoters = append(view.JoiningVoters, voter.JoiningVoter)
	}
	return view
}

// carryOut proposes a change, or hands the leadership over.
func (c *core) carryOut(change membership.Change, now time.Time) {
	member, replaced := change.Member, change.ReplacedID
	voter := member
	voter.Learner = false
	addVoter := confChange(raftpb.ConfChangeAddNode, member.ID)
	removeReplaced := confChange(raftpb.ConfChangeRemoveNode, replaced)
	switch change.Kind {
	case membership.AddLearner:
		addLearner := confChange(raftpb.ConfChangeAddLearnerNode, member.ID)
		c.proposeChange(change, now, []*raftpb.ConfChangeSingle{addLearner}, &state.RegisterMember{Member: member})
	case membership.ReplaceVoter:
		delete(c.members.declaredLost, member.Name)
		c.proposeChange(change, now, []*raftpb.ConfChangeSingle{addVoter, removeReplaced},
			&state.RegisterMember{Member: voter}, &state.UnregisterMember{ID: replaced})
	case membership.PromoteLearner:
		c.proposeChange(change, now, []*raftpb.ConfChangeSingle{addVoter}, &state.RegisterMember{Member: voter})
	case membership.RemoveMember:
		c.proposeChange(change, now, []*raftpb.ConfChangeSingle{removeReplaced}, &state.UnregisterMember{ID: replaced})
	case membership.TransferLeadership:
		c.node.TransferLeader(member.ID)
	case membership.RaiseFeatureLevel:
		c.proposeInternal(&state.RaiseFeatureLevel{To: change.Level})
	case membership.NoChange:
	}
}

func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: new(id)}
}

// proposeChange proposes a change of Raft's configuration with the commands that register it in the state.
func (c *core) proposeChange(
	change membership.Change, now time.Time, singles []*raftpb.ConfChangeSingle, commands ...state.Command,
) {
	err := c.node.ProposeConfChange(&raftpb.ConfChangeV2{
		Changes: singles,
		Context: encodeChangeCommands(c.leadership.clock.at(now), commands),
	})
	if err == nil {
		c.members.changeProposed(now)
	}
	slog.Info("membership change proposed", "name", change.Member.Name, "id", formatID(change.Member.ID),
		"replaced", formatID(change.ReplacedID), "kind", change.Kind, "err", err)
}

// requestJoin serves the request of a process with an empty folder to join. It is done once that is a member.
func (c *core) requestJoin(req request) {
	if len(req.Members) != 1 || req.Members[0].ID == 0 || req.Members[0].Name == "" {
		req.reject("one member with a name and an id is wanted")
		return
	}
	joining := req.Members[0]
	if _, member := c.state.Member(joining.ID); member && c.node != nil {
		req.respond(client.Response{Outcome: client.OutcomeDone, Members: c.state.Members()})
		return
	}
	if c.redirect(req) {
		return
	}
	waitReason, added := c.members.joinRequested(membership.JoiningVoter{
		VoterReport: membership.VoterReport{Name: joining.Name, ID: joining.ID, Level: req.Level},
		Address:     joining.Address,
	}, time.Now())
	if added {
		slog.Info("joining voter registered", "name", joining.Name, "id", formatID(joining.ID))
	}
	req.respondNotAttempted(waitReason)
}

// declareLost records an operator's statement that a voter's machine is lost for good, so that the voter may be
// replaced sooner.
func (c *core) declareLost(req request) {
	if c.redirect(req) {
		return
	}
	for _, member := range c.state.Members() {
		if member.Name == req.Name && !member.Learner {
			c.members.declaredLost[req.Name] = true
			req.respondDone()
			return
		}
	}
	req.reject(fmt.Sprintf("there is no voter %s", req.Name))
}
