package server

import (
	"testing"
	"time"

	"olivearch/internal/coordination/membership"
	"olivearch/internal/coordination/state"
)

// A proposed change that is not applied counts as lost after membershipChangeTimeout; a joint configuration never does.
func TestMembershipChangeExpires(t *testing.T) {
	start := time.Now()
	cases := []struct {
		name  string
		after time.Duration
		joint bool
		want  bool
	}{
		{"just proposed", 0, false, true},
		{"in time", membershipChangeTimeout, false, true},
		{"lost", membershipChangeTimeout + 1, false, false},
		{"joint", membershipChangeTimeout + 1, true, true},
	}
	for _, c := range cases {
		tracker := newMembershipTracker()
		tracker.changeProposed(start)
		tracker.expire(start.Add(c.after), c.joint)
		if tracker.changePending != c.want {
			t.Errorf("%s: changePending is %v", c.name, tracker.changePending)
		}
	}
}

// A joining voter is removed when its requests stop. While they continue, it keeps its reason to wait.
func TestJoiningVoterExpires(t *testing.T) {
	tracker, start := newMembershipTracker(), time.Now()
	voter := membership.JoiningVoter{VoterReport: membership.VoterReport{Name: "k1", ID: 7}, Address: "one"}
	if reason, added := tracker.joinRequested(voter, start); reason == "" || !added {
		t.Errorf("the first request: %q %v", reason, added)
	}
	tracker.joining[7].waitReason = "another one joins"
	voter.Address = "two"
	again := start.Add(joiningVoterTimeout)
	if reason, added := tracker.joinRequested(voter, again); reason != "another one joins" || added {
		t.Errorf("the second request: %q %v", reason, added)
	}
	tracker.expire(again.Add(joiningVoterTimeout), false)
	if kept := tracker.joining[7]; kept == nil || kept.Address != "two" {
		t.Errorf("joining voter after two requests: %+v", kept)
	}
	tracker.expire(again.Add(joiningVoterTimeout+1), false)
	if len(tracker.joining) != 0 {
		t.Error("the joining voter was not removed")
	}
}

// After an election SinceAdded restarts, as the new leader could not receive messages from the members before.
func TestPeerView(t *testing.T) {
	tracker, start := newMembershipTracker(), time.Now()
	member := state.Member{ID: 7, Name: "k1"}
	peer := tracker.peer(member, 3, start)
	if peer.SinceContact != unknownAge || peer.SinceAdded != 0 || peer.MatchIndex != 3 {
		t.Errorf("without contact: %+v", peer)
	}
	tracker.lastContact[7], tracker.levels[7], tracker.declaredLost["k1"] = start, 2, true
	later := start.Add(time.Second)
	peer = tracker.peer(member, 3, later)
	if peer.SinceContact != time.Second || peer.SinceAdded != time.Second || peer.Level != 2 || !peer.DeclaredLost {
		t.Errorf("after contact: %+v", peer)
	}
	tracker.leadershipGained()
	if peer := tracker.peer(member, 3, later); peer.SinceAdded != 0 || peer.SinceContact != time.Second {
		t.Errorf("after another election: %+v", peer)
	}
}

func TestCountVoters(t *testing.T) {
	tracker, now := newMembershipTracker(), time.Now()
	tracker.lastContact[2] = now.Add(-reachableTimeout / 2)
	tracker.lastContact[3] = now.Add(-reachableTimeout)
	tracker.lastContact[5] = now
	members := []state.Member{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}, {ID: 5, Learner: true}}
	if voters, reachable := tracker.countVoters(members, 1, now); voters != 4 || reachable != 2 {
		t.Errorf("%d of %d voters are reachable", reachable, voters)
	}
}
