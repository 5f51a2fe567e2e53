package state

import (
	"cmp"
	"maps"
	"slices"
)

// Member is a Raft member: one incarnation of a coordination server's data folder. A server whose disk was lost comes
// back as another member under the same name.
type Member struct {
	ID      uint64
	Name    string
	Address string
	Learner bool // it is brought up to date and has no vote yet
}

// AdmittedVoters returns the names of the servers that may vote, with their addresses.
func (s *State) AdmittedVoters() map[string]string { return maps.Clone(s.admittedVoters) }

// Members returns all members, by name. Of members with one name voters come before learners.
func (s *State) Members() []Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), compareVotersFirst(a, b), cmp.Compare(a.ID, b.ID))
	})
}

func compareVotersFirst(a, b Member) int {
	switch {
	case a.Learner == b.Learner:
		return 0
	case b.Learner:
		return -1
	}
	return 1
}

// Member returns the member with an id, if there is one.
func (s *State) Member(id uint64) (Member, bool) {
	member, ok := s.members[id]
	return member, ok
}

// AddVoter admits a server of this name as a voter. It joins by a change of the Raft members, which is a later step.
type AddVoter struct{ Name, Address string }

// Check implements Command.
func (c *AddVoter) Check() error {
	return cmp.Or(checkName("name", c.Name), checkName("address", c.Address))
}

func (c *AddVoter) apply(state *State) Result {
	for name, address := range state.admittedVoters {
		if address == c.Address && name != c.Name {
			return reject(RejectedInvalid, "%s has the address %s already", name, address)
		}
	}
	state.admittedVoters[c.Name] = c.Address
	return Result{}
}

// RemoveVoter withdraws the admission of a server. Its vote is taken by a change of the Raft members, which is a
// later step.
type RemoveVoter struct{ Name string }

// Check implements Command.
func (c *RemoveVoter) Check() error { return checkName("name", c.Name) }

func (c *RemoveVoter) apply(state *State) Result {
	if _, ok := state.admittedVoters[c.Name]; !ok {
		return reject(RejectedNotFound, "there is no voter %s", c.Name)
	}
	if len(state.admittedVoters) == 1 {
		return reject(RejectedInvalid, "%s is the last one", c.Name)
	}
	delete(state.admittedVoters, c.Name)
	return Result{}
}

// RegisterMember stores a Raft member. It comes only with a change of the Raft members.
type RegisterMember struct{ Member }

// Check implements Command.
func (c *RegisterMember) Check() error {
	return cmp.Or(checkName("name", c.Name), checkName("address", c.Address), checkMemberID(c.ID))
}

func (c *RegisterMember) apply(state *State) Result {
	state.members[c.ID] = c.Member
	return Result{}
}

// UnregisterMember removes a Raft member. It comes only with a change of the Raft members.
type UnregisterMember struct{ ID uint64 }

// Check implements Command.
func (c *UnregisterMember) Check() error { return checkMemberID(c.ID) }

func (c *UnregisterMember) apply(state *State) Result {
	delete(state.members, c.ID)
	return Result{}
}
