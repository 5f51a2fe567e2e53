package state

import (
	"cmp"
	"maps"
	"slices"
)

// Member is a Raft member: one incarnation of a coordination server's data folder. A server whose disk was lost joins
// again under the same name as a member with another id.
type Member struct {
	ID      uint64
	Name    string
	Address string
	Learner bool // receives the log but has no vote yet
}

// AdmittedVoters returns the servers that may vote, name -> address. The map is a copy.
func (s *State) AdmittedVoters() map[string]string { return maps.Clone(s.admittedVoters) }

// Members returns all members, sorted by name, voters before learners, and id.
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

// Member returns the member with an id, and whether it exists.
func (s *State) Member(id uint64) (Member, bool) {
	member, ok := s.members[id]
	return member, ok
}

// AddVoter admits a server as a voter. The server becomes a voter later, by a change of the Raft members.
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

// RemoveVoter withdraws the admission of a server. The server loses its vote later, by a change of the Raft members.
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

// RegisterMember stores a Raft member. It is proposed only together with a change of the Raft members.
type RegisterMember struct{ Member }

// Check implements Command.
func (c *RegisterMember) Check() error {
	return cmp.Or(checkName("name", c.Name), checkName("address", c.Address), checkMemberID(c.ID))
}

func (c *RegisterMember) apply(state *State) Result {
	state.members[c.ID] = c.Member
	return Result{}
}

// UnregisterMember removes a Raft member. It is proposed only together with a change of the Raft members.
type UnregisterMember struct{ ID uint64 }

// Check implements Command.
func (c *UnregisterMember) Check() error { return checkMemberID(c.ID) }

func (c *UnregisterMember) apply(state *State) Result {
	delete(state.members, c.ID)
	return Result{}
}
