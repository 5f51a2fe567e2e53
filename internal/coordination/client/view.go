package client

import (
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
)

// View is what a Follower knows at one moment. It is not changed after its publication.
type View struct {
	Known           bool // there is a state, from a server or the stored copy
	Overrides       []state.Override
	Cluster         uint64 // the cluster's ID
	Index           uint64 // index of the last log entry in the state
	Voter           string // the server that is followed; empty: none
	Leader          string
	Voters          int
	ReachableVoters int       // number of voters that the leader reaches; 0: unknown
	Fault           string    // why no server is followed; empty: one is
	confirmedAt     time.Time // see Age; zero: never
}

// Age returns the time since a quorum confirmed that nothing newer than this view was committed. A result of 1000
// hours stands for never.
func (v *View) Age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return maxAge
	}
	return max(0, now.Sub(v.confirmedAt))
}

// nextView returns a view of the current state, with the overrides, leader and numbers of voters of the last view.
func (f *Follower) nextView() *View {
	last := f.view.Load()
	return &View{
		Known:           f.cluster != 0,
		Overrides:       last.Overrides,
		Cluster:         f.cluster,
		Index:           f.index,
		Leader:          last.Leader,
		Voters:          last.Voters,
		ReachableVoters: last.ReachableVoters,
		confirmedAt:     f.confirmedAt,
	}
}

// publishUpdate publishes a view after an update from a server has been applied.
func (f *Follower) publishUpdate(server string, update *Update, overridesChanged bool) {
	view := f.nextView()
	view.Voter = server
	if overridesChanged {
		view.Overrides = f.state.Overrides()
	}
	if update.Heartbeat {
		view.Leader = update.Leader
		if update.State == nil {
			view.Voters, view.ReachableVoters = int(update.Voters), int(update.ReachableVoters)
		} else { // an update with a state does not carry the numbers of voters
			view.ReachableVoters = 0
		}
	}
	f.view.Store(view)
}

// publishFault publishes a view without a followed server, and with the error that is the reason.
func (f *Follower) publishFault(server string, err error) {
	view := f.nextView()
	view.ReachableVoters = 0
	view.Fault = fmt.Sprintf("%s: %v", server, err)
	f.view.Store(view)
}
