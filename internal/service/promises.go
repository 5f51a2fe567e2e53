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

// governing is what the ledger of promises says of all pools. Requests do not wait for it: each pool has what holds of it.
type governing struct {
	mu     sync.Mutex
	words  []state.Override
	copy   *client.Follower // nil: this process takes no part in a ledger
	config config.Promises
	pools  func() map[string]*member
}

// follow brings the copy in line with a configuration. What was held of the ledger before holds until the next says otherwise.
func (g *governing) follow(c *config.Promises) {
	g.mu.Lock()
	old, same := g.copy, c != nil && g.copy != nil && maps.Equal(c.Voters, g.config.Voters) && c.Copy == g.config.Copy
	none := c == nil && g.copy == nil && len(g.words) == 0 // nor was there one
	g.mu.Unlock()
	if same || none {
		return
	}
	if old != nil {
		old.Close()
	}
	if c == nil {
		g.set(nil, config.Promises{})
		g.changed(nil)
		return
	}
	host, err := os.Hostname()
	if err != nil {
		host = "olivearch"
	}
	// The name spreads many copies over the voters, also those of several processes on a machine.
	g.set(client.StartFollower(fmt.Sprintf("%s-%d", host, os.Getpid()), c.Voters, c.Copy, g.changed), *c)
}

func (g *governing) set(copy *client.Follower, c config.Promises) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.copy, g.config = copy, c
}

// changed takes words, and gives each pool what is said of it.
func (g *governing) changed(words []state.Override) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.words = words
	for name, p := range g.pools() {
		p.ApplyOverrides(override.SharedForPool(words, name))
	}
	slog.Info("what the ledger holds", "words", len(words))
}

// begin gives a pool that has just been opened what is said of it.
func (g *governing) begin(name string, p *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.words) > 0 {
		p.ApplyOverrides(override.SharedForPool(g.words, name))
	}
}

func (g *governing) close() {
	g.mu.Lock()
	copy := g.copy
	g.mu.Unlock()
	if copy != nil {
		copy.Close()
	}
}

// view is the ledger as this process knows it; nil: it takes no part in one.
func (g *governing) view() *live.Promises {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.copy == nil {
		return nil
	}
	v := g.copy.View()
	p := &live.Promises{
		Cluster: fmt.Sprintf("%x", v.Cluster), Voter: v.Voter, Leader: v.Leader, Voters: v.Voters, Up: v.ReachableVoters, Revision: v.Index, AgeMS: -1,
		Words: map[string]int{}, Trouble: v.Fault,
	}
	if age := v.Age(time.Now()); age < live.Ages {
		p.AgeMS = age.Milliseconds()
	}
	for _, w := range v.Overrides {
		p.Words[w.Kind.String()]++
	}
	return p
}
