package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/override"
)

// sharedOverrides is this balancer's part in the ledger: it serves by a copy of what is held there, and passes staff's word on. Requests do
// not wait for it: the pool has the copy.
type sharedOverrides struct {
	name   string // the balancer's
	within time.Duration
	caller *client.Client
	copy   *client.Follower

	mu     sync.Mutex
	words  []state.Override
	govern func([]state.Override) // nil: the pool is not there yet
	handed map[string]uint64      // upstreams out by this balancer's own word, until the copy has the ledger's of this revision
	landed func(id string)
}

func newSharedOverrides(name string, c *config.Promises) *sharedOverrides {
	p := &sharedOverrides{name: name, within: time.Duration(c.Within), caller: client.New(name, c.Voters), handed: map[string]uint64{}}
	p.copy = client.StartFollower(name, c.Voters, c.Copy, p.changed)
	return p
}

// attach gives a pool what is held, now and whenever it changes. landed is called for an upstream that is out by this balancer's own word,
// once the ledger's says so too.
func (p *sharedOverrides) attach(govern func([]state.Override), landed func(id string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.govern, p.landed = govern, landed
	govern(p.words)
}

func (p *sharedOverrides) changed(words []state.Override) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.words = words
	if p.govern == nil {
		return
	}
	p.govern(words)
	p.land()
}

// land lets go of what the ledger holds by now. The caller holds the lock.
func (p *sharedOverrides) land() {
	index := p.copy.View().Index
	for id, revision := range p.handed {
		if revision <= index {
			p.landed(id)
			delete(p.handed, id)
		}
	}
}

func (p *sharedOverrides) close() {
	p.copy.Close()
	p.caller.Close()
}

// set gives staff's word that an upstream is out to all balancers. The note says by how many voters it is held.
func (p *sharedOverrides) set(id string, at time.Time) (note string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.within)
	defer cancel()
	a, err := p.caller.Propose(ctx, &state.SetOverride{Subject: outOf(id), By: p.name, Reason: "maint-on", At: at.UnixMilli()})
	switch {
	case errors.Is(err, client.ErrUnsure):
		return "", fmt.Errorf("only here for certain: the others may be told, or not (%w)", err)
	case err != nil:
		return "", fmt.Errorf("only here, not copied: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handed[id] = a.Result.Revision
	p.land()
	return held(a), nil
}

// clear takes that word back. out tells whether the upstream is out by the ledger's word, as far as this balancer knows.
func (p *sharedOverrides) clear(id string) (note string, out bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.within)
	defer cancel()
	a, err := p.caller.Propose(ctx, &state.ClearOverride{Subject: outOf(id), By: p.name})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		for _, w := range p.words {
			out = out || w.Subject == outOf(id)
		}
		return "", out, err
	}
	delete(p.handed, id)
	return held(a), false, nil
}

func outOf(id string) state.Subject {
	return state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: id}
}

// held says by how many voters a promise is held.
func held(a client.Response) string { return fmt.Sprintf("held by %d of %d", a.Stored, a.Voters) }

// takeOutEverywhere takes an upstream out: here at once, and then by the ledger's word for all.
func (b *Balancer) takeOutEverywhere(id string) (string, error) {
	if err := b.pool.SetOutOfService(id, true); err != nil {
		return "", err
	}
	b.notifyPeer()
	if b.sharedOverrides == nil {
		return "", nil
	}
	return b.sharedOverrides.set(id, time.Now())
}

// returnEverywhere puts an upstream back: by the ledger's word first, since one that is out stays out until that is taken back.
func (b *Balancer) returnEverywhere(id string) (note string, err error) {
	var failed error
	if b.sharedOverrides != nil {
		if !b.pool.HasEndpoint(id) {
			return "", fmt.Errorf("there is no upstream %.40q", id)
		}
		out := false
		if note, out, failed = b.sharedOverrides.clear(id); failed != nil && out {
			return "", fmt.Errorf("still out, here and at the others: %w", failed)
		}
	}
	if err := b.pool.SetOutOfService(id, false); err != nil {
		return "", err
	}
	b.notifyPeer()
	if failed != nil {
		return "", fmt.Errorf("back here, where it was out by this balancer's word alone; the others could not be told: %w", failed)
	}
	return note, nil
}

// applySharedOverrides gives the pool what the ledger says.
func (b *Balancer) applySharedOverrides(words []state.Override) {
	b.pool.ApplyOverrides(override.ForPool(words, b.config.Name))
	slog.Info("applied shared overrides", "overrides", len(words))
}
