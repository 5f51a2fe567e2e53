package membership

import (
	"slices"
	"strings"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
)

var testTimeouts = Timeouts{ReplaceAfter: 10 * time.Second, RemoveLearnerAfter: time.Minute}

// viewOfFive returns the view of leader a in a cluster of five live voters, a to e, with the ids 1 to 5. Each of peers
// replaces the voter with its id, or is a further member if there is none.
func viewOfFive(peers ...MemberStatus) View {
	view := View{Self: 1, Admitted: map[string]string{}, CommitIndex: 1000, FeatureLevel: 1}
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		view.Members = append(view.Members, voter(uint64(i+1), name))
		view.Admitted[name] = name
	}
	for _, peer := range peers {
		i := slices.IndexFunc(view.Members, func(member MemberStatus) bool { return member.ID == peer.ID })
		if i < 0 {
			view.Members = append(view.Members, peer)
		} else {
			view.Members[i] = peer
		}
	}
	return view
}

// voter returns a voter that is alive and has the complete log.
func voter(id uint64, name string) MemberStatus {
	member := state.Member{ID: id, Name: name}
	return MemberStatus{Member: member, SinceAdded: time.Hour, MatchIndex: 1000, Level: 1}
}

func silentVoter(id uint64, name string) MemberStatus {
	peer := voter(id, name)
	peer.SinceContact = time.Hour
	return peer
}

// newerVoter returns a voter whose version knows feature level 2.
func newerVoter(id uint64, name string) MemberStatus {
	peer := voter(id, name)
	peer.Level = 2
	return peer
}

// Member 22 is a new incarnation of voter b: joiningB as a process that wants to join, learnerB as a learner.
var (
	joiningB       = JoiningVoter{VoterReport: VoterReport{Name: "b", ID: 22, Level: 1}, Address: "addr"}
	learnerMemberB = state.Member{ID: 22, Name: "b", Learner: true}
	learnerB       = MemberStatus{Member: learnerMemberB, SinceAdded: time.Hour, MatchIndex: 1000, Level: 1}

	addLearnerB = Change{
		Kind:   AddLearner,
		Member: state.Member{ID: 22, Name: "b", Address: "addr", Learner: true},
	}
)

type changeCase struct {
	name         string
	peers        []MemberStatus // see viewOfFive
	joining      []JoiningVoter
	admitted     string // admitted in addition to a to e; empty: none
	notAdmitted  string // one of a to e that is no longer admitted; empty: none
	changing     bool   // a change is in progress
	featureLevel uint32 // the cluster's feature level; 0 stands for 1
	want         Change
	wantReason   string // substring of the reason why joining voter 22 has to wait; empty: no reason
}

var replacementCases = []changeCase{
	{
		name: "no change is needed",
	},
	{
		name:       "another process joins with the name of a live voter",
		joining:    []JoiningVoter{joiningB},
		wantReason: "has been silent for",
	},
	{
		name:    "the voter with the name of the joining one has been silent for long",
		peers:   []MemberStatus{silentVoter(2, "b")},
		joining: []JoiningVoter{joiningB},
		want:    addLearnerB,
	},
	{
		name: "a new leader has not received a message from the voter yet",
		peers: []MemberStatus{{
			Member:       state.Member{ID: 2, Name: "b"},
			SinceContact: time.Hour,
			SinceAdded:   time.Second,
			MatchIndex:   1000,
			Level:        1,
		}},
		joining:    []JoiningVoter{joiningB},
		wantReason: "has been silent for 1s",
	},
	{
		name: "declared lost",
		peers: []MemberStatus{{
			Member:       state.Member{ID: 2, Name: "b"},
			SinceContact: 3 * time.Second,
			SinceAdded:   time.Hour,
			MatchIndex:   1000,
			Level:        1,
			DeclaredLost: true,
		}},
		joining: []JoiningVoter{joiningB},
		want:    addLearnerB,
	},
	{
		name: "declared lost, but alive",
		peers: []MemberStatus{{
			Member:       state.Member{ID: 2, Name: "b"},
			SinceAdded:   time.Hour,
			MatchIndex:   1000,
			Level:        1,
			DeclaredLost: true,
		}},
		joining:    []JoiningVoter{joiningB},
		wantReason: "has been silent",
	},
	{
		name:       "a name that is not admitted",
		joining:    []JoiningVoter{{VoterReport: VoterReport{Name: "x", ID: 22, Level: 1}, Address: "addr"}},
		wantReason: "no voter x is wanted",
	},
	{
		name:         "the version of the joining voter is below the feature level",
		peers:        []MemberStatus{silentVoter(2, "b")},
		joining:      []JoiningVoter{joiningB},
		featureLevel: 2,
		wantReason:   "knows level 1",
	},
	{
		name: "a learner with another name exists",
		peers: []MemberStatus{
			silentVoter(2, "b"),
			{Member: state.Member{ID: 33, Name: "c", Learner: true}, SinceAdded: time.Hour},
		},
		joining:    []JoiningVoter{joiningB},
		wantReason: "one joins at a time",
	},
}

var learnerCases = []changeCase{
	{
		name:  "the learner has caught up",
		peers: []MemberStatus{silentVoter(2, "b"), learnerB},
		want:  Change{Kind: ReplaceVoter, Member: learnerMemberB, ReplacedID: 2},
	},
	{
		name: "the learner has not caught up",
		peers: []MemberStatus{
			silentVoter(2, "b"),
			{Member: learnerMemberB, SinceAdded: time.Hour, MatchIndex: 500, Level: 1},
		},
	},
	{
		name:     "another change is in progress",
		peers:    []MemberStatus{silentVoter(2, "b"), learnerB},
		changing: true,
	},
	{
		name:  "no quorum is alive",
		peers: []MemberStatus{silentVoter(2, "b"), silentVoter(3, "c"), silentVoter(4, "d"), learnerB},
	},
	{
		name: "the learner has lost its disk again",
		peers: []MemberStatus{{
			Member:       learnerMemberB,
			SinceContact: 5 * time.Second,
			SinceAdded:   time.Hour,
			MatchIndex:   1000,
			Level:        1,
		}},
		joining: []JoiningVoter{{VoterReport: VoterReport{Name: "b", ID: 23, Level: 1}, Address: "addr"}},
		want:    Change{Kind: RemoveMember, ReplacedID: 22},
	},
	{
		name: "the leader has just added the learner and received no message from it yet",
		peers: []MemberStatus{
			{Member: learnerMemberB, SinceContact: time.Hour, SinceAdded: time.Second, Level: 1},
		},
	},
}

var admissionCases = []changeCase{
	{
		name:        "a voter is no longer admitted",
		notAdmitted: "c",
		want:        Change{Kind: RemoveMember, ReplacedID: 3},
	},
	{
		name:        "the leader is no longer admitted",
		notAdmitted: "a",
		want:        Change{Kind: TransferLeadership, Member: state.Member{ID: 2, Name: "b"}},
	},
	{
		name:        "a voter is no longer admitted, but no quorum of the others is alive",
		peers:       []MemberStatus{silentVoter(2, "b"), silentVoter(4, "d"), silentVoter(5, "e")},
		notAdmitted: "c",
	},
	{
		name:     "a sixth voter is admitted",
		joining:  []JoiningVoter{{VoterReport: VoterReport{Name: "f", ID: 22, Level: 1}, Address: "addr"}},
		admitted: "f",
		want: Change{
			Kind:   AddLearner,
			Member: state.Member{ID: 22, Name: "f", Address: "addr", Learner: true},
		},
	},
	{
		name: "all members know a higher feature level",
		peers: []MemberStatus{
			newerVoter(1, "a"),
			newerVoter(2, "b"),
			newerVoter(3, "c"),
			newerVoter(4, "d"),
			newerVoter(5, "e"),
		},
		want: Change{Kind: RaiseFeatureLevel, Level: 2},
	},
	{
		name: "one member does not know the higher feature level",
		peers: []MemberStatus{
			newerVoter(1, "a"),
			newerVoter(2, "b"),
			newerVoter(3, "c"),
			newerVoter(4, "d"),
		},
	},
}

func TestNextChange(t *testing.T) {
	for _, test := range slices.Concat(replacementCases, learnerCases, admissionCases) {
		t.Run(test.name, func(t *testing.T) {
			view := viewOfFive(test.peers...)
			view.JoiningVoters = test.joining
			view.Changing = test.changing
			view.FeatureLevel = max(1, test.featureLevel)
			delete(view.Admitted, test.notAdmitted)
			if test.admitted != "" {
				view.Admitted[test.admitted] = test.admitted
			}
			change, waitReasons := NextChange(view, testTimeouts)
			if change != test.want {
				t.Errorf("got %+v, want %+v", change, test.want)
			}
			reason := waitReasons[22]
			if !strings.Contains(reason, test.wantReason) || (reason == "") != (test.wantReason == "") {
				t.Errorf("got reason %q, want %q", reason, test.wantReason)
			}
		})
	}
}
