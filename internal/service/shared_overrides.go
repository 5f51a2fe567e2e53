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

// defaultFollowerName begins a follower's name if the host's is not known.
const defaultFollowerName = "olivearch"

// sharedOverrides follows the coordination cluster and gives each pool the overrides that all balancers share. Requests
// do not wait for it, since each pool has its own copy. Its methods may be called from any goroutine, except configure
// and close, which belong to the service's.
type sharedOverrides struct {
	pools func() map[string]*runningPool // of the current state

	mu        sync.Mutex // guards the fields below; held while overrides are applied
	overrides []state.Override
	follower  *client.Follower // nil: this process follows no cluster
	config    config.Promises  // of the follower
}

// configure follows the cluster of a configuration; nil: none. Overrides of the cluster before hold until the follower
// of the next has its own.
func (o *sharedOverrides) configure(cluster *config.Promises) {
	old, done := o.followsAlready(cluster)
	if done {
		return
	}
	if old != nil {
		old.Close()
	}
	if cluster == nil {
		o.setFollower(nil, config.Promises{})
		o.overridesChanged(nil)
		return
	}
	o.setFollower(client.StartFollower(followerName(), cluster.Voters, cluster.Copy, o.overridesChanged), *cluster)
}

// followsAlready returns the follower that runs, and whether a configuration leaves all as it is.
func (o *sharedOverrides) followsAlready(c *config.Promises) (follower *client.Follower, done bool) {
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

// followerName returns a name that differs between processes, also on one host: it spreads followers over the voters.
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

// overridesChanged gives each pool its part of the shared overrides. The follower calls it from its goroutine, and
// while it starts.
func (o *sharedOverrides) overridesChanged(overrides []state.Override) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overrides = overrides
	for name, p := range o.pools() {
		p.ApplyOverrides(override.SharedForPool(overrides, name))
	}
	slog.Info("shared overrides applied", "overrides", len(overrides))
}

// applyTo gives a pool that has just been opened its part of the shared overrides.
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

// view returns the cluster's state as this process knows it; nil if it follows none.
func (o *sharedOverrides) view() *live.Promises {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.follower == nil {
		return nil
	}
	copied := o.follower.View()
	view := &live.Promises{
		Cluster:  fmt.Sprintf("%x", copied.Cluster),
		Voter:    copied.Voter,
		Leader:   copied.Leader,
		Voters:   copied.Voters,
		Up:       copied.ReachableVoters,
		Revision: copied.Index,
		AgeMS:    -1,
		Words:    map[string]int{},
		Trouble:  copied.Fault,
	}
	if age := copied.Age(time.Now()); age < live.MaxAge {
		view.AgeMS = age.Milliseconds()
	}
	for _, shared := range copied.Overrides {
		view.Words[shared.Kind.String()]++
	}
	return view
}
