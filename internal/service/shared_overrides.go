package service

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"sync"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/live"
	"olivearch/internal/override"
)

// defaultFollowerName is the first part of a follower's name if the host name is not known.
const defaultFollowerName = "olivearch"

// sharedOverrides follows the coordination cluster and gives each pool the overrides that all balancers share. Requests
// do not wait for it, since each pool has its own copy. configure and close must be called from the goroutine that
// calls Service.Apply; the other methods may be called from any goroutine.
type sharedOverrides struct {
	pools func() map[string]*runningPool // of the current state

	mu        sync.Mutex // guards the fields below; held while overrides are applied
	overrides []state.Override
	follower  *client.Follower // nil: this process follows no coordination cluster
	config    config.Promises  // with which the follower was started
}

// configure follows the given coordination cluster, or none if it is nil. On a change of cluster the overrides of the
// previous one stay in force until the new follower delivers its own.
func (o *sharedOverrides) configure(cluster *config.Promises) {
	old, unchanged := o.currentFollower(cluster)
	if unchanged {
		return
	}
	if old != nil {
		old.Close()
	}
	if cluster == nil {
		o.setFollower(nil, config.Promises{})
		o.updateOverrides(nil)
		return
	}
	o.setFollower(client.StartFollower(followerName(), cluster.Voters, cluster.Copy, o.updateOverrides), *cluster)
}

// currentFollower returns the running follower, and whether a configuration leaves it and the overrides unchanged.
func (o *sharedOverrides) currentFollower(c *config.Promises) (follower *client.Follower, unchanged bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c == nil {
		return o.follower, o.follower == nil && len(o.overrides) == 0
	}
	if o.follower == nil {
		return nil, false
	}
	return o.follower, maps.Equal(c.Voters, o.config.Voters) && c.Copy == o.config.Copy
}

// followerName returns a name that differs between processes, even on one host. The followers' names determine how they
// spread over the voters.
func followerName() string {
	host, err := os.Hostname()
	if err != nil {
		host = defaultFollowerName
	}
	return fmt.Sprintf("%s-%d", host, os.Getpid())
}

func (o *sharedOverrides) setFollower(follower *client.Follower, c config.Promises) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.follower = follower
	o.config = c
}

// updateOverrides replaces the shared overrides and gives each pool those that concern it. The follower calls it from
// its own goroutine, and already while it starts.
func (o *sharedOverrides) updateOverrides(overrides []state.Override) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overrides = overrides
	for name, p := range o.pools() {
		p.ApplyOverrides(override.SharedForPool(overrides, name))
	}
	slog.Info("shared overrides applied", "overrides", len(overrides))
}

// applyTo gives a newly opened pool the shared overrides that concern it.
func (o *sharedOverrides) applyTo(name string, p *runningPool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.overrides) > 0 {
		p.ApplyOverrides(override.SharedForPool(o.overrides, name))
	}
}

func (o *sharedOverrides) close() {
	o.mu.Lock()
	follower := o.follower
	o.mu.Unlock()
	if follower != nil {
		follower.Close()
	}
}

// view returns the state of the coordination cluster as this process knows it, or nil if it follows none.
func (o *sharedOverrides) view() *live.Coordination {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.follower == nil {
		return nil
	}
	followerView := o.follower.View()
	view := &live.Coordination{
		Cluster:         fmt.Sprintf("%x", followerView.Cluster),
		Voter:           followerView.Voter,
		Leader:          followerView.Leader,
		Voters:          followerView.Voters,
		VotersReached:   followerView.ReachableVoters,
		Revision:        followerView.Index,
		AgeMS:           -1,
		OverridesByKind: map[string]int{},
		FollowerFault:   followerView.Fault,
	}
	if age := followerView.Age(time.Now()); age < live.MaxConfirmationAge {
		view.AgeMS = age.Milliseconds()
	}
	for _, shared := range followerView.Overrides {
		view.OverridesByKind[shared.Kind.String()]++
	}
	return view
}
