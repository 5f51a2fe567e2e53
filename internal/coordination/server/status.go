package server

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// The roles in a status. Operators and tools read them.
const (
	roleWaiting   = "waiting" // belongs to no cluster yet
	roleLearner   = "learner"
	roleFollower  = "follower"
	roleCandidate = "candidate"
	roleLeader    = "leader"
)

var raftRoles = map[raft.StateType]string{
	raft.StateFollower:     roleFollower,
	raft.StatePreCandidate: roleCandidate,
	raft.StateCandidate:    roleCandidate,
	raft.StateLeader:       roleLeader,
}

// The keys of the grant counts in a status, in addition to the kinds of override. Operators and tools read them.
const (
	grantsResources    = "bound"
	grantsLeases       = "lease"
	grantsReservations = "slot"
)

// noContact is the reported time since the last contact, in milliseconds, if there was no contact with the member yet.
const noContact = -1

// status returns the server's view of itself and the cluster.
func (c *core) status(now time.Time) client.ServerStatus {
	status := client.ServerStatus{
		Name:         c.Name,
		ID:           formatID(c.id()),
		Role:         roleWaiting,
		Leader:       c.leaderName(),
		Applied:      c.applied,
		AgeMS:        c.reads.age().Milliseconds(),
		ClockMS:      c.state.Clock(),
		Level:        state.NewestFeatureLevel,
		FeatureLevel: c.state.FeatureLevel(),
		UsedBytes:    c.state.UsedBytes(),
		MaxBytes:     state.MaxBytes,
		Grants:       countGrants(c.state),
		Followers:    len(c.followers),
		Rejected:     c.rejections,
		LastRejected: c.lastRejection,
		DiskMS:       float64(c.lastWrite.Microseconds()) / 1000,
		Fault:        c.bootstrap.waitReason,
	}
	if c.diskStalled(now) {
		status.Fault = fmt.Sprintf("the disk has not answered for %v", c.diskStall(now))
	}
	var matchIndexes map[uint64]uint64
	if c.node != nil {
		raftStatus := c.node.BasicStatus()
		status.Cluster = formatID(c.identity.Cluster)
		status.Term, status.Committed = raftStatus.GetTerm(), raftStatus.GetCommit()
		status.Role = raftRoles[raftStatus.RaftState]
		matchIndexes = c.matchIndexes()
	}
	for _, member := range c.state.Members() {
		if member.ID == c.id() && member.Learner {
			status.Role = roleLearner
		}
		status.Members = append(status.Members, c.memberStatus(now, member, status.Committed, matchIndexes[member.ID]))
	}
	for id, joining := range c.members.joining {
		voter := client.JoiningVoter{Name: joining.Name, ID: formatID(id), Reason: joining.waitReason}
		status.JoiningVoters = append(status.JoiningVoters, voter)
	}
	return status
}

// memberStatus returns this server's view of a member.
func (c *core) memberStatus(now time.Time, member state.Member, committed, match uint64) client.MemberStatus {
	status := client.MemberStatus{
		Name:          member.Name,
		ID:            formatID(member.ID),
		Address:       member.Address,
		Learner:       member.Learner,
		LastContactMS: noContact,
	}
	if member.ID == c.id() {
		status.LastContactMS = 0
	} else if silence, known := c.members.sinceContact(member.ID, now); known {
		status.LastContactMS = silence.Milliseconds()
	}
	if c.leadership.leading && committed > match {
		status.EntriesBehind = committed - match
	}
	return status
}

// countGrants returns the number of grants by kind.
func countGrants(granted *state.State) map[string]int {
	counts := map[string]int{}
	for _, override := range granted.Overrides() {
		counts[override.Kind.String()]++
	}
	for _, resource := range granted.Resources() {
		counts[grantsResources]++
		counts[grantsLeases] += len(resource.Leases())
		for _, reserved := range resource.Reserved() {
			counts[grantsReservations] += int(reserved.Count)
		}
	}
	return counts
}

// formatID formats an id for operators, in hexadecimal.
func formatID(id uint64) string { return fmt.Sprintf("%x", id) }
