package membership

import (
	"fmt"
	"time"
)

// waitReason returns a human-readable reason why a joining voter has to wait. It is empty if the voter may join. The
// reason is sent to the joining process and shown to operators.
func (v View) waitReason(joining JoiningVoter, timeouts Timeouts) string {
	name := joining.Name
	if !v.isAdmitted(name) {
		return fmt.Sprintf("no voter %s is wanted: olivearch promises members add %s=ADDRESS admits one", name, name)
	}
	if joining.Level < v.FeatureLevel {
		return fmt.Sprintf("its version knows level %d, and the ledger is at %d", joining.Level, v.FeatureLevel)
	}
	if reason := v.learnerWaitReason(joining); reason != "" {
		return reason
	}
	return v.voterWaitReason(joining, timeouts)
}

// learnerWaitReason returns why a joining voter has to wait for a learner. It is empty if there is no learner: the
// cluster has at most one at a time.
func (v View) learnerWaitReason(joining JoiningVoter) string {
	learners := v.learners()
	for _, learner := range learners {
		if learner.ID == joining.ID {
			return "it is being brought up to date"
		}
		if learner.Name == joining.Name {
			return fmt.Sprintf("another process of the name %s is being brought up to date", joining.Name)
		}
	}
	if len(learners) > 0 {
		return fmt.Sprintf("%s is being brought up to date, and one joins at a time", learners[0].Name)
	}
	return ""
}

// voterWaitReason returns why a joining voter has to wait for the current voter with its name, or an empty string. The
// current voter may be replaced after a silence of ReplaceAfter, or of aliveTimeout if operators declared it lost.
func (v View) voterWaitReason(joining JoiningVoter, timeouts Timeouts) string {
	for _, voter := range v.voters() {
		if voter.Name != joining.Name {
			continue
		}
		if voter.ID == joining.ID {
			return "it votes already"
		}
		minSilence := timeouts.ReplaceAfter
		if voter.DeclaredLost {
			minSilence = aliveTimeout
		}
		if voter.silentFor() < minSilence {
			const format = "the %s that it would replace has been silent for %v; after %v it may"
			return fmt.Sprintf(format, joining.Name, voter.silentFor().Round(time.Millisecond), minSilence)
		}
	}
	return ""
}
