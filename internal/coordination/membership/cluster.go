// Package cluster decides who the ledger's voters are: when a cluster begins, and when a voter whose disk was lost is replaced. It has
// no I/O, clock or goroutine: what is known comes in as a View, and one step comes out.
//
// A voter is a life of a disk. One that comes back empty has forgotten what it had promised and must not vote as the one that it was:
// it has another id, and takes the old one's place only by a change that a quorum agrees to.
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"olivearch/internal/coordination/state"
)

// VoterReport is what a voter's process says of itself.
type VoterReport struct {
	Name    string
	ID      uint64
	Cluster uint64 // 0: its folder belongs to none yet
	Level   uint32 // of commands that its version knows
}

// Bootstrap decides whether a process begins the cluster: it is the first by name of those that are configured, and all of them are there,
// under names and ids of their own, and belong to none yet. One that was a member before keeps a second cluster from beginning.
func Bootstrap(self string, addresses map[string]string, reports map[string]VoterReport) (members []state.Member, why string) {
	names := slices.Sorted(maps.Keys(addresses))
	if len(names) == 0 || names[0] != self {
		return nil, "another voter comes first by name, and begins"
	}
	seen := map[uint64]string{}
	for _, name := range names {
		r, ok := reports[name]
		switch {
		case !ok:
			return nil, fmt.Sprintf("%s is not there yet", name)
		case r.Name != name:
			return nil, fmt.Sprintf("at the address of %s there is %s", name, r.Name)
		case r.Cluster != 0:
			return nil, fmt.Sprintf("%s belongs to cluster %x already", name, r.Cluster)
		case seen[r.ID] != "":
			return nil, fmt.Sprintf("%s and %s are one member: a folder was copied", seen[r.ID], name)
		}
		seen[r.ID] = name
		members = append(members, state.Member{ID: r.ID, Name: name, Address: addresses[name]})
	}
	return members, ""
}

// Peer is a member as the leader sees it.
type Peer struct {
	state.Member
	SinceContact time.Duration // since the leader last heard of it; 0: the leader itself
	SinceAdded   time.Duration // since the leader has known it as a member, and could have heard it
	MatchIndex   uint64        // up to which its log is known to be the leader's
	Level        uint32        // of commands that its version knows; 0: not known
	DeclaredLost bool          // staff say that its machine has gone for good
}

// JoiningVoter is a process with an empty folder that wants to join.
type JoiningVoter struct {
	VoterReport
	Address string
}

// View is what the leader knows.
type View struct {
	Self          uint64
	Members       []Peer // voters and learners
	JoiningVoters []JoiningVoter
	Admitted      map[string]string // names that may vote, with their addresses
	Committed     uint64
	Changing      bool   // a change is under way
	FeatureLevel  uint32 // level of the ledger
}

// Timeouts are the times that decisions go by.
type Timeouts struct {
	ReplaceAfter time.Duration // without a word for so long, a voter may be replaced by one with its name
	LearnerIdle  time.Duration // without a word for so long, a learner is given up
}

// ChangeKind of step.
type ChangeKind uint8

// The kinds.
const (
	NoChange           ChangeKind = iota
	AddLearner                    // add Member, without a vote
	ReplaceVoter                  // give Member a vote and take that of Old, in one step
	PromoteLearner                // give Member a vote beside the others
	RemoveMember                  // remove the member Old
	TransferLeadership            // the leader itself is to go: let Member lead
	RaiseFeatureLevel             // raise the ledger's level to Level
)

// Change is what is to be done next. One step is taken at a time.
type Change struct {
	Kind     ChangeKind
	Member   state.Member
	Replaced uint64
	Level    uint32
}

// lag is how many entries a learner may be behind to get its vote.
const lag = 64

// alive is within what time a member that votes was heard.
const alive = 2 * time.Second

// NextChange is the next step, and for each newcomer that has to wait or is turned away why.
func NextChange(v View, o Timeouts) (Change, map[uint64]string) {
	why := map[uint64]string{}
	var voters, learners []Peer
	for _, p := range v.Members {
		if p.Learner {
			learners = append(learners, p)
		} else {
			voters = append(voters, p)
		}
	}
	for _, n := range v.JoiningVoters {
		why[n.ID] = v.waits(n, voters, learners, o)
	}
	if v.Changing {
		return Change{}, why
	}
	for _, l := range learners { // given up, or another life of it is there: its disk was lost once more
		_, admitted := v.Admitted[l.Name]
		lost := slices.ContainsFunc(v.JoiningVoters, func(n JoiningVoter) bool { return n.Name == l.Name && n.ID != l.ID })
		if !admitted || l.silent() > o.LearnerIdle || (lost && l.silent() > alive) {
			return Change{Kind: RemoveMember, Replaced: l.ID}, why
		}
	}
	for _, l := range learners {
		if l.MatchIndex+lag < v.Committed || l.SinceContact > alive {
			continue
		}
		i := slices.IndexFunc(voters, func(p Peer) bool { return p.Name == l.Name })
		switch {
		case i >= 0 && quorate(voters) && quorate(append(without(voters, i), l)):
			return Change{Kind: ReplaceVoter, Member: l.Member, Replaced: voters[i].ID}, why
		case i < 0 && quorate(append(slices.Clone(voters), l)):
			return Change{Kind: PromoteLearner, Member: l.Member}, why
		}
	}
	for i, p := range voters { // dismissed
		if _, admitted := v.Admitted[p.Name]; admitted || len(voters) == 1 || !quorate(without(voters, i)) {
			continue
		}
		if p.ID != v.Self {
			return Change{Kind: RemoveMember, Replaced: p.ID}, why
		}
		rest := without(voters, i)
		return Change{Kind: TransferLeadership, Member: slices.MinFunc(rest, func(a, b Peer) int { return cmp.Compare(a.SinceContact, b.SinceContact) }).Member}, why
	}
	for _, n := range v.JoiningVoters {
		if why[n.ID] == "" {
			return Change{Kind: AddLearner, Member: state.Member{ID: n.ID, Name: n.Name, Address: n.Address, Learner: true}}, why
		}
	}
	if level := lowest(v.Members); level > v.FeatureLevel {
		return Change{Kind: RaiseFeatureLevel, Level: level}, why
	}
	return Change{}, why
}

// waits says why a newcomer may not join now; empty: it may.
func (v View) waits(n JoiningVoter, voters, learners []Peer, o Timeouts) string {
	if _, admitted := v.Admitted[n.Name]; !admitted {
		return fmt.Sprintf("no voter %s is wanted: olivearch promises members add %s=ADDRESS admits one", n.Name, n.Name)
	}
	if n.Level < v.FeatureLevel {
		return fmt.Sprintf("its version knows level %d, and the ledger is at %d", n.Level, v.FeatureLevel)
	}
	for _, l := range learners {
		if l.ID == n.ID {
			return "it is being brought up to date"
		}
		if l.Name == n.Name {
			return fmt.Sprintf("another process of the name %s is being brought up to date", n.Name)
		}
	}
	if len(learners) > 0 {
		return fmt.Sprintf("%s is being brought up to date, and one joins at a time", learners[0].Name)
	}
	for _, p := range voters {
		if p.Name != n.Name {
			continue
		}
		if p.ID == n.ID {
			return "it votes already"
		}
		least := o.ReplaceAfter
		if p.DeclaredLost {
			least = alive
		}
		if p.silent() < least {
			return fmt.Sprintf("the %s that it would replace has been silent for %v; after %v it may", n.Name, p.silent().Round(time.Millisecond), least)
		}
	}
	return ""
}

// silent is for how long the leader has heard nothing where it could have.
func (p Peer) silent() time.Duration { return min(p.SinceContact, p.SinceAdded) }

// without leaves one out.
func without(all []Peer, i int) []Peer { return slices.Delete(slices.Clone(all), i, i+1) }

// quorate tells whether a majority of voters is alive.
func quorate(voters []Peer) bool {
	n := 0
	for _, p := range voters {
		if p.SinceContact <= alive {
			n++
		}
	}
	return n > len(voters)/2
}

// lowest is the level that all members know; 0: of one it is not known.
func lowest(members []Peer) uint32 {
	level := uint32(0)
	for i, p := range members {
		if i == 0 || p.Level < level {
			level = p.Level
		}
	}
	return level
}
