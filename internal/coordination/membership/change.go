package membership

import (
	"cmp"
	"slices"
	"time"

	"olivearch/internal/coordination/state"
)

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	NoChange           ChangeKind = iota
	AddLearner                    // add Member without a vote
	ReplaceVoter                  // make Member a voter and remove ReplacedID, in one joint change
	PromoteLearner                // make Member a voter
	RemoveMember                  // remove ReplacedID
	TransferLeadership            // transfer leadership to Member, so that the leader can be removed
	RaiseFeatureLevel             // raise the cluster's feature level to Level
)

// Change is the next change to the members or to the feature level that the leader has to make. The zero value is no
// change.
type Change struct {
	Kind       ChangeKind
	Member     state.Member
	ReplacedID uint64 // id of the member that is replaced or removed
	Level      uint32
}

// Timeouts are the configured durations of silence after which members are replaced or removed.
type Timeouts struct {
	ReplaceAfter       time.Duration // a voter that is silent for this long may be replaced
	RemoveLearnerAfter time.Duration // a learner that is silent for longer is removed
}

// NextChange returns the next change, and for each joining voter, by id, a human-readable reason why it has to wait.
// The reason is empty if the voter may join. While a change is in progress, NextChange returns no other change.
func NextChange(view View, timeouts Timeouts) (change Change, waitReasons map[uint64]string) {
	waitReasons = map[uint64]string{}
	for _, joining := range view.JoiningVoters {
		waitReasons[joining.ID] = view.waitReason(joining, timeouts)
	}
	if view.Changing {
		return Change{}, waitReasons
	}
	change = cmp.Or(
		view.planLearnerRemoval(timeouts),
		view.planPromotion(),
		view.planVoterRemoval(),
		view.planLearnerAddition(waitReasons),
		view.planFeatureLevelRaise(),
	)
	return change, waitReasons
}

// planLearnerRemoval plans to remove a learner that is no longer admitted, has been silent for longer than
// RemoveLearnerAfter, or has lost its disk again, so that a new incarnation of it wants to join.
func (v View) planLearnerRemoval(timeouts Timeouts) Change {
	for _, learner := range v.learners() {
		isIdle := learner.silentFor() > timeouts.RemoveLearnerAfter
		isSuperseded := v.hasNewIncarnation(learner) && learner.silentFor() > aliveTimeout
		if !v.isAdmitted(learner.Name) || isIdle || isSuperseded {
			return Change{Kind: RemoveMember, ReplacedID: learner.ID}
		}
	}
	return Change{}
}

// hasNewIncarnation reports whether a process with the member's name and another id wants to join.
func (v View) hasNewIncarnation(member MemberStatus) bool {
	return slices.ContainsFunc(v.JoiningVoters, func(joining JoiningVoter) bool {
		return joining.Name == member.Name && joining.ID != member.ID
	})
}

// planPromotion plans to give a vote to a learner that has caught up, and to remove the earlier voter with its name, if
// any. A quorum of the voters after the change must be alive, and for a replacement also of the voters before it.
func (v View) planPromotion() Change {
	voters := v.voters()
	for _, learner := range v.learners() {
		if learner.MatchIndex+maxLearnerLag < v.CommitIndex || !learner.isAlive() {
			continue
		}
		replaced := indexOfName(voters, learner.Name)
		if replaced < 0 {
			if hasQuorum(withMember(voters, learner)) {
				return Change{Kind: PromoteLearner, Member: learner.Member}
			}
			continue
		}
		if hasQuorum(voters) && hasQuorum(withMember(withoutMember(voters, replaced), learner)) {
			return Change{Kind: ReplaceVoter, Member: learner.Member, ReplacedID: voters[replaced].ID}
		}
	}
	return Change{}
}

// planVoterRemoval plans to remove a voter that is no longer admitted, if a quorum of the other voters is alive. Before
// the leader itself can be removed, it transfers leadership to the voter with the most recent contact.
func (v View) planVoterRemoval() Change {
	voters := v.voters()
	if len(voters) == 1 {
		return Change{}
	}
	for i, voter := range voters {
		others := withoutMember(voters, i)
		if v.isAdmitted(voter.Name) || !hasQuorum(others) {
			continue
		}
		if voter.ID != v.Self {
			return Change{Kind: RemoveMember, ReplacedID: voter.ID}
		}
		successor := slices.MinFunc(others, func(a, b MemberStatus) int {
			return cmp.Compare(a.SinceContact, b.SinceContact)
		})
		return Change{Kind: TransferLeadership, Member: successor.Member}
	}
	return Change{}
}

// planLearnerAddition plans to add the first joining voter that does not have to wait, as a learner.
func (v View) planLearnerAddition(waitReasons map[uint64]string) Change {
	for _, joining := range v.JoiningVoters {
		if waitReasons[joining.ID] == "" {
			learner := state.Member{ID: joining.ID, Name: joining.Name, Address: joining.Address, Learner: true}
			return Change{Kind: AddLearner, Member: learner}
		}
	}
	return Change{}
}

// planFeatureLevelRaise plans to raise the feature level to the highest that all members know.
func (v View) planFeatureLevelRaise() Change {
	if level := v.commonFeatureLevel(); level > v.FeatureLevel {
		return Change{Kind: RaiseFeatureLevel, Level: level}
	}
	return Change{}
}
