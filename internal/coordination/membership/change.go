package membership

import (
	"cmp"
	"slices"
	"time"

	"olivearch/internal/coordination/state"
)

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds.
const (
	NoChange           ChangeKind = iota
	AddLearner                    // add Member, without a vote
	ReplaceVoter                  // give Member a vote and take that of Replaced, in one joint change
	PromoteLearner                // give Member a vote beside the others
	RemoveMember                  // remove the member Replaced
	TransferLeadership            // the leader itself is to be removed: let Member lead
	RaiseFeatureLevel             // raise the state's feature level to Level
)

// Change is the next step towards the members that the operators want. The zero value is no change.
type Change struct {
	Kind       ChangeKind
	Member     state.Member
	ReplacedID uint64 // id of the member that is replaced or removed
	Level      uint32
}

// Timeouts are the times that decisions depend on.
type Timeouts struct {
	ReplaceAfter time.Duration // a voter that is silent for so long may be replaced by another of its name
	LearnerIdle  time.Duration // a learner that is silent for so long is removed
}

// NextChange returns the next step, and by id of each joining voter that has to wait the reason, for people. An empty
// reason means that the voter may join. One change is made at a time.
func NextChange(view View, timeouts Timeouts) (change Change, waitReasons map[uint64]string) {
	waitReasons = map[uint64]string{}
	for _, joining := range view.JoiningVoters {
		waitReasons[joining.ID] = view.waitReason(joining, timeouts)
	}
	if view.Changing {
		return Change{}, waitReasons
	}
	change = cmp.Or(
		view.removeLearner(timeouts),
		view.giveVote(),
		view.removeVoter(),
		view.addLearner(waitReasons),
		view.raiseFeatureLevel(),
	)
	return change, waitReasons
}

// removeLearner removes a learner that is not admitted any more, or silent for too long, or whose disk was lost
// again: a process of its name with another id wants to join.
func (v View) removeLearner(timeouts Timeouts) Change {
	for _, learner := range v.learners() {
		isIdle := learner.silence() > timeouts.LearnerIdle
		isSucceeded := v.hasSuccessor(learner) && learner.silence() > aliveTimeout
		if !v.isAdmitted(learner.Name) || isIdle || isSucceeded {
			return Change{Kind: RemoveMember, ReplacedID: learner.ID}
		}
	}
	return Change{}
}

func (v View) hasSuccessor(member Peer) bool {
	return slices.ContainsFunc(v.JoiningVoters, func(joining JoiningVoter) bool {
		return joining.Name == member.Name && joining.ID != member.ID
	})
}

// giveVote gives a learner that has caught up its vote, in place of the voter of its name if there is one. A quorum
// has to be alive among the voters after the change, and for a replacement also before it.
func (v View) giveVote() Change {
	voters := v.voters()
	for _, learner := range v.learners() {
		if learner.MatchIndex+maxLearnerLag < v.CommitIndex || !learner.isAlive() {
			continue
		}
		replaced := indexOfName(voters, learner.Name)
		if replaced < 0 {
			if hasQuorum(with(voters, learner)) {
				return Change{Kind: PromoteLearner, Member: learner.Member}
			}
			continue
		}
		if hasQuorum(voters) && hasQuorum(with(without(voters, replaced), learner)) {
			return Change{Kind: ReplaceVoter, Member: learner.Member, ReplacedID: voters[replaced].ID}
		}
	}
	return Change{}
}

// removeVoter removes a voter that is not admitted any more, if a quorum of the others is alive. A leader hands over
// its leadership first, to the voter that it has heard last.
func (v View) removeVoter() Change {
	voters := v.voters()
	if len(voters) == 1 {
		return Change{}
	}
	for i, voter := range voters {
		others := without(voters, i)
		if v.isAdmitted(voter.Name) || !hasQuorum(others) {
			continue
		}
		if voter.ID != v.Self {
			return Change{Kind: RemoveMember, ReplacedID: voter.ID}
		}
		successor := slices.MinFunc(others, func(a, b Peer) int { return cmp.Compare(a.SinceContact, b.SinceContact) })
		return Change{Kind: TransferLeadership, Member: successor.Member}
	}
	return Change{}
}

// addLearner adds the first joining voter that does not have to wait.
func (v View) addLearner(waitReasons map[uint64]string) Change {
	for _, joining := range v.JoiningVoters {
		if waitReasons[joining.ID] == "" {
			learner := state.Member{ID: joining.ID, Name: joining.Name, Address: joining.Address, Learner: true}
			return Change{Kind: AddLearner, Member: learner}
		}
	}
	return Change{}
}

// raiseFeatureLevel raises the feature level to what all members know.
func (v View) raiseFeatureLevel() Change {
	if level := v.commonLevel(); level > v.FeatureLevel {
		return Change{Kind: RaiseFeatureLevel, Level: level}
	}
	return Change{}
}
