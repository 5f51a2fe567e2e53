package client

import (
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
)

// View is what a Follower has at a moment. It never changes.
type View struct {
	Known           bool // there is a state: from a server, or from the stored copy
	Overrides       []state.Override
	Cluster         uint64 // the cluster's ID
	Index           uint64 // the last log index that is in the state
	Voter           string // the server that is followed; empty: none can be reached
	Leader          string
	Voters          int
	ReachableVoters int    // how many of these the leader reaches; 0: not known
	Fault           string // why no server is followed; empty: one is
	confirmedAt     time.Time
}

// Age is how long ago a quorum confirmed that nothing newer was committed than what is here; 1000 hours stand for
// never.
func (v *View) Age(now time.Time) time.Duration {
	if v.confirmedAt.IsZero() {
		return maxAge
	}
	return max(0, now.Sub(v.confirmedAt))
}

// nextView returns a view of the state as it is now; what an update may replace is that of the last view.
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
		} else { // an update with a state does not carry the numbers
			view.ReachableVoters = 0
		}
	}
	f.view.Store(view)
}

// publishFault publishes a view after a server could not be followed any longer.
func (f *Follower) publishFault(server string, err error) {
	view := f.nextView()
	view.ReachableVoters = 0
	view.Fault = fmt.Sprintf("%s: %v", server, err)
	f.view.Store(view)
}
