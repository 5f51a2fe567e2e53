package membership

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
)

func TestFound(t *testing.T) {
	addresses := map[string]string{"a": "1", "b": "2", "c": "3"}
	all := func() map[string]VoterReport {
		return map[string]VoterReport{"a": {"a", 1, 0, 1}, "b": {"b", 2, 0, 1}, "c": {"c", 3, 0, 1}}
	}
	if m, why := Bootstrap("a", addresses, all()); len(m) != 3 || m[2] != (state.Member{ID: 3, Name: "c", Address: "3"}) {
		t.Errorf("%v %s", m, why)
	}
	for _, c := range []struct {
		self, want string
		change     func(map[string]VoterReport)
	}{
		{"b", "another voter comes first", func(map[string]VoterReport) {}},
		{"a", "c is not there", func(r map[string]VoterReport) { delete(r, "c") }},
		{"a", "c belongs to cluster", func(r map[string]VoterReport) { r["c"] = VoterReport{"c", 3, 77, 1} }},
		{"a", "there is d", func(r map[string]VoterReport) { r["c"] = VoterReport{"d", 3, 0, 1} }},
		{"a", "one member: a folder was copied", func(r map[string]VoterReport) { r["c"] = VoterReport{"c", 2, 0, 1} }},
	} {
		r := all()
		c.change(r)
		if m, why := Bootstrap(c.self, addresses, r); m != nil || !strings.Contains(why, c.want) {
			t.Errorf("%s: %v %q, want %q", c.self, m, why, c.want)
		}
	}
}

var options = Timeouts{ReplaceAfter: 10 * time.Second, LearnerIdle: time.Minute}

// five is a cluster of five that are all well, as a sees it.
func five() View {
	v := View{Self: 1, Admitted: map[string]string{}, Committed: 1000, FeatureLevel: 1}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		v.Members = append(v.Members, Peer{Member: state.Member{ID: uint64(i + 1), Name: name}, MatchIndex: 1000, Level: 1, SinceAdded: time.Hour})
		v.Admitted[name] = name
	}
	return v
}

func TestNext(t *testing.T) {
	newB := JoiningVoter{VoterReport{"b", 22, 0, 1}, "addr"}
	learner := Peer{Member: state.Member{ID: 22, Name: "b", Learner: true}, MatchIndex: 1000, Level: 1, SinceAdded: time.Hour}
	for _, c := range []struct {
		name   string
		change func(*View)
		kind   ChangeKind
		why    string // of member 22
	}{
		{"nothing to do", func(*View) {}, NoChange, ""},
		{"the old one lives: a second process of the name", func(v *View) { v.JoiningVoters = []JoiningVoter{newB} }, NoChange, "has been silent for"},
		{"the old one has been silent for long", func(v *View) { v.JoiningVoters, v.Members[1].SinceContact = []JoiningVoter{newB}, time.Hour }, AddLearner, ""},
		{"a leader that is new has not heard anybody yet", func(v *View) {
			v.JoiningVoters, v.Members[1].SinceContact, v.Members[1].SinceAdded = []JoiningVoter{newB}, time.Hour, time.Second
		}, NoChange, "has been silent for 1s"},
		{"staff say that it has gone", func(v *View) {
			v.JoiningVoters, v.Members[1].SinceContact, v.Members[1].DeclaredLost = []JoiningVoter{newB}, 3*time.Second, true
		}, AddLearner, ""},
		{"staff say so, and it lives", func(v *View) { v.JoiningVoters, v.Members[1].DeclaredLost = []JoiningVoter{newB}, true }, NoChange, "has been silent"},
		{"a name that nobody has admitted", func(v *View) { v.JoiningVoters = []JoiningVoter{{VoterReport{"x", 22, 0, 1}, "addr"}} }, NoChange, "no voter x is wanted"},
		{"an older version than the ledger", func(v *View) {
			v.JoiningVoters, v.Members[1].SinceContact, v.FeatureLevel = []JoiningVoter{newB}, time.Hour, 2
		}, NoChange, "knows level 1"},
		{"one at a time", func(v *View) {
			v.Members = append(v.Members, Peer{Member: state.Member{ID: 33, Name: "c", Learner: true}, MatchIndex: 0, SinceAdded: time.Hour})
			v.JoiningVoters, v.Members[1].SinceContact = []JoiningVoter{newB}, time.Hour
		}, NoChange, "one joins at a time"},
		{"it has caught up", func(v *View) { v.Members, v.Members[1].SinceContact = append(v.Members, learner), time.Hour }, ReplaceVoter, ""},
		{"it has not", func(v *View) {
			l := learner
			l.MatchIndex = 500
			v.Members, v.Members[1].SinceContact = append(v.Members, l), time.Hour
		}, NoChange, ""},
		{"a change is under way", func(v *View) {
			v.Members, v.Members[1].SinceContact, v.Changing = append(v.Members, learner), time.Hour, true
		}, NoChange, ""},
		{"no quorum would be left to agree", func(v *View) {
			v.Members = append(v.Members, learner)
			for i := 1; i < 4; i++ {
				v.Members[i].SinceContact = time.Hour
			}
		}, NoChange, ""},
		{"its disk is lost once more", func(v *View) {
			l := learner
			l.SinceContact = 5 * time.Second
			v.Members, v.JoiningVoters = append(v.Members, l), []JoiningVoter{{VoterReport{"b", 23, 0, 1}, "addr"}}
		}, RemoveMember, ""},
		{"it has just been added and not been heard yet", func(v *View) {
			l := learner
			l.MatchIndex, l.SinceContact, l.SinceAdded = 0, time.Hour, time.Second
			v.Members = append(v.Members, l)
		}, NoChange, ""},
		{"dismissed", func(v *View) { delete(v.Admitted, "c") }, RemoveMember, ""},
		{"the leader itself is dismissed", func(v *View) { delete(v.Admitted, "a") }, TransferLeadership, ""},
		{"dismissed, and the others could not do without", func(v *View) {
			delete(v.Admitted, "c")
			v.Members[1].SinceContact, v.Members[3].SinceContact, v.Members[4].SinceContact = time.Hour, time.Hour, time.Hour
		}, NoChange, ""},
		{"a sixth is admitted", func(v *View) {
			v.Admitted["f"], v.JoiningVoters = "f", []JoiningVoter{{VoterReport{"f", 22, 0, 1}, "addr"}}
		}, AddLearner, ""},
		{"all know more", func(v *View) {
			for i := range v.Members {
				v.Members[i].Level = 2
			}
		}, RaiseFeatureLevel, ""},
		{"one does not", func(v *View) {
			for i := range v.Members {
				v.Members[i].Level = 2
			}
			v.Members[4].Level = 1
		}, NoChange, ""},
	} {
		v := five()
		c.change(&v)
		step, why := NextChange(v, options)
		if step.Kind != c.kind || !strings.Contains(why[22], c.why) {
			t.Errorf("%s: %+v %q", c.name, step, why[22])
		}
	}
}

// TestNeverBelowTheQuorum: whatever is known of whom, a step that takes a vote away leaves a majority of those that vote before and
// after it alive, and no two voters ever have one name.
func TestNeverBelowTheQuorum(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	taken := map[ChangeKind]int{}
	for range 200000 {
		v := five()
		times := []time.Duration{0, time.Second, 3 * time.Second, 20 * time.Second, time.Hour}
		for i := range v.Members {
			if i > 0 {
				v.Members[i].SinceContact = times[rng.IntN(len(times))]
			}
		}
		if rng.IntN(2) == 0 {
			i := rng.IntN(5)
			v.Members = append(v.Members, Peer{Member: state.Member{ID: 50, Name: v.Members[i].Name, Learner: true}, MatchIndex: uint64(900 + rng.IntN(101)), SinceContact: times[rng.IntN(3)], SinceAdded: time.Hour})
		}
		if rng.IntN(3) == 0 {
			delete(v.Admitted, v.Members[rng.IntN(5)].Name)
		}
		step, _ := NextChange(v, options)
		taken[step.Kind]++
		before, after := 0, 0
		names, voters := map[string]int{}, 0
		for _, p := range v.Members {
			votes := (!p.Learner && p.ID != step.Replaced) || ((step.Kind == ReplaceVoter || step.Kind == PromoteLearner) && p.ID == step.Member.ID)
			if !p.Learner && p.SinceContact <= aliveTimeout {
				before++
			}
			if votes {
				voters++
				names[p.Name]++
				if p.SinceContact <= aliveTimeout {
					after++
				}
			}
		}
		if step.Kind != ReplaceVoter && step.Kind != PromoteLearner && step.Kind != RemoveMember {
			continue
		}
		for name, n := range names {
			if n > 1 {
				t.Fatalf("%d voters named %s: %+v in %+v", n, name, step, v)
			}
		}
		if removesLearner := voters == 5 && step.Kind == RemoveMember; !removesLearner && (before <= 2 && step.Kind == ReplaceVoter || after <= voters/2) {
			t.Fatalf("%d of 5 and then %d of %d are alive: %+v in %+v", before, after, voters, step, v)
		}
	}
	if fmt.Sprint(taken[ReplaceVoter] > 0, taken[RemoveMember] > 0) != "true true" {
		t.Error(taken)
	}
}
