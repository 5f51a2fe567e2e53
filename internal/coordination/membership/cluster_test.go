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
	all := func() map[string]Report {
		return map[string]Report{"a": {"a", 1, 0, 1}, "b": {"b", 2, 0, 1}, "c": {"c", 3, 0, 1}}
	}
	if m, why := Found("a", addresses, all()); len(m) != 3 || m[2] != (state.Member{ID: 3, Name: "c", Address: "3"}) {
		t.Errorf("%v %s", m, why)
	}
	for _, c := range []struct {
		self, want string
		change     func(map[string]Report)
	}{
		{"b", "another voter comes first", func(map[string]Report) {}},
		{"a", "c is not there", func(r map[string]Report) { delete(r, "c") }},
		{"a", "c belongs to cluster", func(r map[string]Report) { r["c"] = Report{"c", 3, 77, 1} }},
		{"a", "there is d", func(r map[string]Report) { r["c"] = Report{"d", 3, 0, 1} }},
		{"a", "one member: a folder was copied", func(r map[string]Report) { r["c"] = Report{"c", 2, 0, 1} }},
	} {
		r := all()
		c.change(r)
		if m, why := Found(c.self, addresses, r); m != nil || !strings.Contains(why, c.want) {
			t.Errorf("%s: %v %q, want %q", c.self, m, why, c.want)
		}
	}
}

var options = Options{Gone: 10 * time.Second, Idle: time.Minute}

// five is a cluster of five that are all well, as a sees it.
func five() View {
	v := View{Self: 1, Admitted: map[string]string{}, Committed: 1000, Raised: 1}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		v.Members = append(v.Members, Peer{Member: state.Member{ID: uint64(i + 1), Name: name}, Match: 1000, Level: 1, Known: time.Hour})
		v.Admitted[name] = name
	}
	return v
}

func TestNext(t *testing.T) {
	newB := Newcomer{Report{"b", 22, 0, 1}, "addr"}
	learner := Peer{Member: state.Member{ID: 22, Name: "b", Learner: true}, Match: 1000, Level: 1, Known: time.Hour}
	for _, c := range []struct {
		name   string
		change func(*View)
		kind   Kind
		why    string // of member 22
	}{
		{"nothing to do", func(*View) {}, Nothing, ""},
		{"the old one lives: a second process of the name", func(v *View) { v.Newcomers = []Newcomer{newB} }, Nothing, "has been silent for"},
		{"the old one has been silent for long", func(v *View) { v.Newcomers, v.Members[1].Heard = []Newcomer{newB}, time.Hour }, Learn, ""},
		{"a leader that is new has not heard anybody yet", func(v *View) {
			v.Newcomers, v.Members[1].Heard, v.Members[1].Known = []Newcomer{newB}, time.Hour, time.Second
		}, Nothing, "has been silent for 1s"},
		{"staff say that it has gone", func(v *View) {
			v.Newcomers, v.Members[1].Heard, v.Members[1].Gone = []Newcomer{newB}, 3*time.Second, true
		}, Learn, ""},
		{"staff say so, and it lives", func(v *View) { v.Newcomers, v.Members[1].Gone = []Newcomer{newB}, true }, Nothing, "has been silent"},
		{"a name that nobody has admitted", func(v *View) { v.Newcomers = []Newcomer{{Report{"x", 22, 0, 1}, "addr"}} }, Nothing, "no voter x is wanted"},
		{"an older version than the ledger", func(v *View) { v.Newcomers, v.Members[1].Heard, v.Raised = []Newcomer{newB}, time.Hour, 2 }, Nothing, "knows level 1"},
		{"one at a time", func(v *View) {
			v.Members = append(v.Members, Peer{Member: state.Member{ID: 33, Name: "c", Learner: true}, Match: 0, Known: time.Hour})
			v.Newcomers, v.Members[1].Heard = []Newcomer{newB}, time.Hour
		}, Nothing, "one joins at a time"},
		{"it has caught up", func(v *View) { v.Members, v.Members[1].Heard = append(v.Members, learner), time.Hour }, Swap, ""},
		{"it has not", func(v *View) {
			l := learner
			l.Match = 500
			v.Members, v.Members[1].Heard = append(v.Members, l), time.Hour
		}, Nothing, ""},
		{"a change is under way", func(v *View) { v.Members, v.Members[1].Heard, v.Changing = append(v.Members, learner), time.Hour, true }, Nothing, ""},
		{"no quorum would be left to agree", func(v *View) {
			v.Members = append(v.Members, learner)
			for i := 1; i < 4; i++ {
				v.Members[i].Heard = time.Hour
			}
		}, Nothing, ""},
		{"its disk is lost once more", func(v *View) {
			l := learner
			l.Heard = 5 * time.Second
			v.Members, v.Newcomers = append(v.Members, l), []Newcomer{{Report{"b", 23, 0, 1}, "addr"}}
		}, Drop, ""},
		{"it has just been added and not been heard yet", func(v *View) {
			l := learner
			l.Match, l.Heard, l.Known = 0, time.Hour, time.Second
			v.Members = append(v.Members, l)
		}, Nothing, ""},
		{"dismissed", func(v *View) { delete(v.Admitted, "c") }, Drop, ""},
		{"the leader itself is dismissed", func(v *View) { delete(v.Admitted, "a") }, HandOver, ""},
		{"dismissed, and the others could not do without", func(v *View) {
			delete(v.Admitted, "c")
			v.Members[1].Heard, v.Members[3].Heard, v.Members[4].Heard = time.Hour, time.Hour, time.Hour
		}, Nothing, ""},
		{"a sixth is admitted", func(v *View) { v.Admitted["f"], v.Newcomers = "f", []Newcomer{{Report{"f", 22, 0, 1}, "addr"}} }, Learn, ""},
		{"all know more", func(v *View) {
			for i := range v.Members {
				v.Members[i].Level = 2
			}
		}, RaiseTo, ""},
		{"one does not", func(v *View) {
			for i := range v.Members {
				v.Members[i].Level = 2
			}
			v.Members[4].Level = 1
		}, Nothing, ""},
	} {
		v := five()
		c.change(&v)
		step, why := Next(v, options)
		if step.Kind != c.kind || !strings.Contains(why[22], c.why) {
			t.Errorf("%s: %+v %q", c.name, step, why[22])
		}
	}
}

// TestNeverBelowTheQuorum: whatever is known of whom, a step that takes a vote away leaves a majority of those that vote before and
// after it alive, and no two voters ever have one name.
func TestNeverBelowTheQuorum(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	taken := map[Kind]int{}
	for range 200000 {
		v := five()
		times := []time.Duration{0, time.Second, 3 * time.Second, 20 * time.Second, time.Hour}
		for i := range v.Members {
			if i > 0 {
				v.Members[i].Heard = times[rng.IntN(len(times))]
			}
		}
		if rng.IntN(2) == 0 {
			i := rng.IntN(5)
			v.Members = append(v.Members, Peer{Member: state.Member{ID: 50, Name: v.Members[i].Name, Learner: true}, Match: uint64(900 + rng.IntN(101)), Heard: times[rng.IntN(3)], Known: time.Hour})
		}
		if rng.IntN(3) == 0 {
			delete(v.Admitted, v.Members[rng.IntN(5)].Name)
		}
		step, _ := Next(v, options)
		taken[step.Kind]++
		before, after := 0, 0
		names, voters := map[string]int{}, 0
		for _, p := range v.Members {
			votes := (!p.Learner && p.ID != step.Old) || ((step.Kind == Swap || step.Kind == Promote) && p.ID == step.Member.ID)
			if !p.Learner && p.Heard <= alive {
				before++
			}
			if votes {
				voters++
				names[p.Name]++
				if p.Heard <= alive {
					after++
				}
			}
		}
		if step.Kind != Swap && step.Kind != Promote && step.Kind != Drop {
			continue
		}
		for name, n := range names {
			if n > 1 {
				t.Fatalf("%d voters named %s: %+v in %+v", n, name, step, v)
			}
		}
		if removesLearner := voters == 5 && step.Kind == Drop; !removesLearner && (before <= 2 && step.Kind == Swap || after <= voters/2) {
			t.Fatalf("%d of 5 and then %d of %d are alive: %+v in %+v", before, after, voters, step, v)
		}
	}
	if fmt.Sprint(taken[Swap] > 0, taken[Drop] > 0) != "true true" {
		t.Error(taken)
	}
}
