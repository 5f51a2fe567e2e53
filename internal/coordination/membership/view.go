package membership

import (
	"slices"
	"time"

	"olivearch/internal/coordination/state"
)

// View is what the leader knows about the members and the processes that want to join.
type View struct {
	Self          uint64         // the leader's id
	Members       []MemberStatus // voters and learners
	JoiningVoters []JoiningVoter
	Admitted      map[string]string // name -> address of servers that may vote
	CommitIndex   uint64            // index of the last committed log entry
	Changing      bool              // a change of the members is in progress
	FeatureLevel  uint32            // the cluster's feature level
}

// MemberStatus is a member as the leader sees it.
type MemberStatus struct {
	state.Member
	SinceContact time.Duration // time since the leader last received a message from it; 0 for the leader itself
	SinceAdded   time.Duration // time for which the leader has known it as a member and could receive from it
	MatchIndex   uint64        // index up to which its log is known to match the leader's
	Level        uint32        // highest feature level that its version knows; 0: unknown
	DeclaredLost bool          // operators declared its machine permanently lost
}

// JoiningVoter is a process with an empty data folder that wants to join.
type JoiningVoter struct {
	VoterReport
	Address string
}

const (
	// aliveTimeout is how long a member counts as alive after the leader received a message from it.
	aliveTimeout = 2 * time.Second

	// maxLearnerLag is how many log entries a learner may be behind the commit index when it gets a vote.
	maxLearnerLag = 64
)

// silentFor returns how long the leader has received nothing from a member. The time before the leader could receive
// from the member does not count.
func (p MemberStatus) silentFor() time.Duration { return min(p.SinceContact, p.SinceAdded) }

func (p MemberStatus) isAlive() bool { return p.SinceContact <= aliveTimeout }

func (v View) isAdmitted(name string) bool {
	_, admitted := v.Admitted[name]
	return admitted
}

// voters returns the members with a vote.
func (v View) voters() []MemberStatus { return v.filterMembers(false) }

// learners returns the members without a vote.
func (v View) learners() []MemberStatus { return v.filterMembers(true) }

func (v View) filterMembers(learner bool) []MemberStatus {
	var members []MemberStatus
	for _, member := range v.Members {
		if member.Learner == learner {
			members = append(members, member)
		}
	}
	return members
}

// commonFeatureLevel returns the highest feature level that all members know. It is 0 if the level of a member is
// unknown.
func (v View) commonFeatureLevel() uint32 {
	if len(v.Members) == 0 {
		return 0
	}
	level := v.Members[0].Level
	for _, member := range v.Members[1:] {
		level = min(level, member.Level)
	}
	return level
}

// hasQuorum reports whether a majority of the voters is alive.
func hasQuorum(voters []MemberStatus) bool {
	alive := 0
	for _, voter := range voters {
		if voter.isAlive() {
			alive++
		}
	}
	return alive > len(voters)/2
}

// indexOfName returns the index of the first member with a name, or -1.
func indexOfName(members []MemberStatus, name string) int {
	return slices.IndexFunc(members, func(member MemberStatus) bool { return member.Name == name })
}

// withoutMember returns a copy of members without the member at index.
func withoutMember(members []MemberStatus, index int) []MemberStatus {
	return slices.Delete(slices.Clone(members), index, index+1)
}

// withMember returns a copy of members with added appended.
func withMember(members []MemberStatus, added MemberStatus) []MemberStatus {
	return append(slices.Clone(members), added)
}
