package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
)

// TestChangesKeepQuorum checks with random views that a majority of the voters is alive after each change of the
// voters, and also before a replacement, and that no two voters have the same name.
func TestChangesKeepQuorum(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	countByKind := map[ChangeKind]int{}
	for range 200000 {
		view := randomView(rng)
		change, _ := NextChange(view, testTimeouts)
		countByKind[change.Kind]++
		checkVotersAfter(t, view, change)
	}
	if countByKind[ReplaceVoter] == 0 || countByKind[RemoveMember] == 0 {
		t.Errorf("no voter was replaced, or no member removed: %v", countByKind)
	}
}

// randomView returns a view of five voters that have been silent for random times. Some views have a learner, and in
// some a voter is not admitted.
func randomView(rng *rand.Rand) View {
	silences := []time.Duration{0, time.Second, 3 * time.Second, 20 * time.Second, time.Hour}
	view := viewOfFive()
	for i := range view.Members {
		if view.Members[i].ID != view.Self {
			view.Members[i].SinceContact = silences[rng.IntN(len(silences))]
		}
	}
	if rng.IntN(2) == 0 {
		name := view.Members[rng.IntN(5)].Name
		view.Members = append(view.Members, MemberStatus{
			Member:       state.Member{ID: 50, Name: name, Learner: true},
			MatchIndex:   uint64(900 + rng.IntN(101)),
			SinceContact: silences[rng.IntN(3)],
			SinceAdded:   time.Hour,
		})
	}
	if rng.IntN(3) == 0 {
		delete(view.Admitted, view.Members[rng.IntN(5)].Name)
	}
	return view
}

// checkVotersAfter checks that the voters after a change have distinct names and, if the change affects them, that a
// majority is alive.
func checkVotersAfter(t *testing.T, view View, change Change) {
	t.Helper()
	before := view.voters()
	after := votersAfter(view, change)
	names := map[string]bool{}
	for _, voter := range after {
		if names[voter.Name] {
			t.Fatalf("two voters named %s: %+v in %+v", voter.Name, change, view)
		}
		names[voter.Name] = true
	}
	removesVoter := change.Kind == RemoveMember && len(after) < len(before)
	givesVote := change.Kind == ReplaceVoter || change.Kind == PromoteLearner
	if !removesVoter && !givesVote {
		return
	}
	if change.Kind == ReplaceVoter && countAlive(before) <= len(before)/2 {
		t.Fatalf("%d of %d are alive before: %+v in %+v", countAlive(before), len(before), change, view)
	}
	if countAlive(after) <= len(after)/2 {
		t.Fatalf("%d of %d are alive after: %+v in %+v", countAlive(after), len(after), change, view)
	}
}

// votersAfter returns the voters after a change.
func votersAfter(view View, change Change) []MemberStatus {
	givesVote := change.Kind == ReplaceVoter || change.Kind == PromoteLearner
	var voters []MemberStatus
	for _, member := range view.Members {
		staysVoter := !member.Learner && member.ID != change.ReplacedID
		becomesVoter := givesVote && member.ID == change.Member.ID
		if staysVoter || becomesVoter {
			voters = append(voters, member)
		}
	}
	return voters
}

func countAlive(members []MemberStatus) int {
	alive := 0
	for _, member := range members {
		if member.SinceContact <= aliveTimeout {
			alive++
		}
	}
	return alive
}
