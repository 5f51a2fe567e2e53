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
	// joiningVoterTimeout is the time without a request to join after which a joining voter is dropped.
	joiningVoterTimeout = 3 * time.Second
	// membershipChangeTimeout is the time after which a proposed change that has not been applied counts as lost.
	membershipChangeTimeout = 5 * time.Second
	// learnerIdleTimeout is the time without contact after which a learner is removed from the cluster.
	learnerIdleTimeout = time.Minute
	// reachableTimeout is the time since the last contact after which a voter counts as unreachable.
	reachableTimeout = time.Second
)

// joiningVoter is a process with an empty folder that has sent a request to join.
type joiningVoter struct {
	membership.JoiningVoter
	lastRequest time.Time
	waitReason  string // why it has not been admitted yet; empty: it may join
}

// membershipTracker holds the facts about members and joining voters that are not in the replicated state.
// membership.NextChange decides on changes, from a view of these facts. At most one change is pending at a time:
// changePending is set when a change is proposed. It is cleared when the change is applied and no joint configuration
// is left, or when the change counts as lost.
type membershipTracker struct {
	lastContact      map[uint64]time.Time // when the last message from the member arrived
	memberSince      map[uint64]time.Time // since when this leader has known the member
	levels           map[uint64]uint32    // newest feature level that the member's version supports
	declaredLost     map[string]bool      // names of voters that operators have declared lost for good
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

// leadershipGained restarts the times of sinceAdded. Before its election the new leader received messages only from the
// previous leader, so the silence of the other members meant nothing.
func (t *membershipTracker) leadershipGained() { t.memberSince = map[uint64]time.Time{} }

// sinceContact returns the time since the last message from a member, or false if there was none.
func (t *membershipTracker) sinceContact(id uint64, now time.Time) (time.Duration, bool) {
	last, known := t.lastContact[id]
	return now.Sub(last), known
}

// sinceAdded returns how long the member has been known. The first call for a member starts its time and returns 0.
func (t *membershipTracker) sinceAdded(id uint64, now time.Time) time.Duration {
	if _, known := t.memberSince[id]; !known {
		t.memberSince[id] = now
	}
	return now.Sub(t.memberSince[id])
}

// joinRequested records a request to join. It returns the reason why the joining voter has to wait, and whether the
// voter was added to the list.
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

// expire removes joining voters that no longer send requests, and clears changePending if the change counts as lost. A
// joint configuration never counts as lost, since Raft leaves it by itself.
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

// changeProposed records that a change is pending.
func (t *membershipTracker) changeProposed(now time.Time) {
	t.changePending, t.changeProposedAt = true, now
}

// peer returns the leader's view of a member. The member's log is known to match the leader's up to matchIndex.
func (t *membershipTracker) peer(member state.Member, matchIndex uint64, now time.Time) membership.MemberStatus {
	peer := membership.MemberStatus{
		Member:       member,
		MatchIndex:   matchIndex,
		Level:        t.levels[member.ID],
		DeclaredLost: t.declaredLost[member.Name],
		SinceContact: unknownAge,
		SinceAdded:   t.sinceAdded(member.ID, now),
	}
	if silence, known := t.sinceContact(member.ID, now); known {
		peer.SinceContact = silence
	}
	return peer
}

// countVoters counts the voters and the reachable voters. self always counts as reachable.
func (t *membershipTracker) countVoters(members []state.Member, self uint64, now time.Time) (voters, reachable uint32) {
	for _, member := range members {
		if member.Learner {
			continue
		}
		voters++
		silence, known := t.sinceContact(member.ID, now)
		if member.ID == self || (known && silence < reachableTimeout) {
			reachable++
		}
	}
	return voters, reachable
}

// reviewMembership proposes the next membership change if this server is a ready leader. A server without a cluster
// finds or forms one.
func (c *core) reviewMembership(now time.Time) {
	switch {
	case c.node == nil:
		c.findOrFormCluster()
	case len(c.state.Members()) == 0: // joining, and possibly restarted before it received the members
		c.sendJoinRequests()
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
	timeouts := membership.Timeouts{ReplaceAfter: c.ReplaceAfter, RemoveLearnerAfter: learnerIdleTimeout}
	change, waitReasons := membership.NextChange(c.membershipView(now), timeouts)
	for id, voter := range c.members.joining {
		voter.waitReason = waitReasons[id]
	}
	c.executeChange(change, now)
}

// membershipView returns the leader's view of all members and joining voters.
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

// executeChange proposes a change, or transfers the leadership.
func (c *core) executeChange(change membership.Change, now time.Time) {
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

// proposeChange proposes a change of Raft's configuration, with the commands that record it in the state.
func (c *core) proposeChange(
	change membership.Change, now time.Time, nodeChanges []*raftpb.ConfChangeSingle, commands ...state.Command,
) {
	err := c.node.ProposeConfChange(&raftpb.ConfChangeV2{
		Changes: nodeChanges,
		Context: encodeChangeCommands(c.leadership.clock.at(now), commands),
	})
	if err == nil {
		c.members.changeProposed(now)
	}
	slog.Info("membership change proposed", "name", change.Member.Name, "id", formatID(change.Member.ID),
		"replaced", formatID(change.ReplacedID), "kind", change.Kind, "err", err)
}

// handleJoin serves a request to join from a process with an empty folder. The response is OutcomeDone only when the
// process is a member.
func (c *core) handleJoin(req request) {
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

// handleDeclareLost records that an operator has declared a voter's machine lost for good, so that the voter may be
// replaced sooner.
func (c *core) handleDeclareLost(req request) {
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
