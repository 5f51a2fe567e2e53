package membership

import (
	"slices"
	"time"

	"olivearch/internal/coordination/state"
)

// View is what the leader knows of the members and of the processes that want to join.
type View struct {
	Self          uint64 // the leader's id
	Members       []Peer // voters and learners
	JoiningVoters []JoiningVoter
	Admitted      map[string]string // names that may vote, with their addresses
	CommitIndex   uint64            // index of the last committed entry of the log
	Changing      bool              // a change of the members is in progress
	FeatureLevel  uint32            // of the state: commands up to it may be applied
}

// Peer is a member as the leader sees it.
type Peer struct {
	state.Member
	SinceContact time.Duration // since the leader received something from it; 0: it is the leader itself
	SinceAdded   time.Duration // since the leader has known it as a member, and could have received something
	MatchIndex   uint64        // index up to which its log is known to equal the leader's
	Level        uint32        // the highest feature level that its version knows; 0: unknown
	DeclaredLost bool          // operators say that its machine is lost for good
}

// JoiningVoter is a process with an empty data folder that wants to join.
type JoiningVoter struct {
	VoterReport
	Address string
}

const (
	// aliveTimeout is how long ago the leader may have received something from a member that counts as alive.
	aliveTimeout = 2 * time.Second

	// maxLearnerLag is how many entries behind the commit index a learner may be to get a vote.
	maxLearnerLag = 64
)

// silence is for how long the leader has received nothing from a member although it could have.
func (p Peer) silence() time.Duration { return min(p.SinceContact, p.SinceAdded) }

func (p Peer) isAlive() bool { return p.SinceContact <= aliveTimeout }

func (v View) isAdmitted(name string) bool {
	_, admitted := v.Admitted[name]
	return admitted
}

// voters returns the members with a vote.
func (v View) voters() []Peer { return v.membersWith(false) }

// learners returns the members without a vote.
func (v View) learners() []Peer { return v.membersWith(true) }

func (v View) membersWith(learner bool) []Peer {
	var members []Peer
	for _, member := range v.Members {
		if member.Learner == learner {
			members = append(members, member)
		}
	}
	return members
}

// commonLevel is the highest feature level that all members know; 0 if that of one is unknown.
func (v View) commonLevel() uint32 {
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
func hasQuorum(voters []Peer) bool {
	alive := 0
	for _, voter := range voters {
		if voter.isAlive() {
			alive++
		}
	}
	return alive > len(voters)/2
}

// indexOfName returns the index of the first member with a name; -1 if there is none.
func indexOfName(members []Peer, name string) int {
	return slices.IndexFunc(members, func(member Peer) bool { return member.Name == name })
}

// without returns a copy of members that lacks the one at an index.
func without(members []Peer, index int) []Peer {
	return slices.Delete(slices.Clone(members), index, index+1)
}

// with returns a copy of members that has one more.
func with(members []Peer, added Peer) []Peer {
	return append(slices.Clone(members), added)
}
