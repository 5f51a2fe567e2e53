package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/override"
)

// overrideReason is the reason that the coordination cluster stores for overrides set by operators' commands.
const overrideReason = "maint-on"

// overrideProposer proposes commands to the coordination cluster.
type overrideProposer interface {
	Propose(ctx context.Context, command state.Command) (client.Response, error)
	Close()
}

// overrideFollower keeps this process's copy of the coordination cluster's state.
type overrideFollower interface {
	View() *client.View
	Close()
}

// sharedOverrides is the balancer's client of the coordination cluster. It applies the overrides that all balancers
// share, and proposes those that the balancer's operators set. Requests do not wait for it, since the pool keeps its
// own copy of the overrides. Its methods may be called from any goroutine.
type sharedOverrides struct {
	balancerName string
	timeout      time.Duration // of a proposal
	proposer     overrideProposer
	follower     overrideFollower

	mu        sync.Mutex // guards the fields below; held during calls of apply and release
	overrides []state.Override
	apply     func([]state.Override) // nil until attach
	release   func(id string)        // nil until attach
	// sharedRevisions holds, by upstream id, the revision of the shared override that replaces a local one. The local
	// override is released once the follower's copy has that revision.
	sharedRevisions map[string]uint64
}

func newSharedOverrides(balancerName string, c *config.Promises) *sharedOverrides {
	s := &sharedOverrides{
		balancerName:    balancerName,
		timeout:         time.Duration(c.Within),
		proposer:        client.New(balancerName, c.Voters),
		sharedRevisions: map[string]uint64{},
	}
	s.follower = client.StartFollower(balancerName, c.Voters, c.Copy, s.overridesChanged)
	return s
}

// attach sets the callbacks. apply is called with the shared overrides, now and after each change. release is called
// with the id of an upstream whose local override is no longer needed, as its shared override has been applied.
func (s *sharedOverrides) attach(apply func([]state.Override), release func(id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply, s.release = apply, release
	apply(s.overrides)
}

// overridesChanged is the follower's callback. The follower calls it from its goroutine, and once before attach, while
// it starts.
func (s *sharedOverrides) overridesChanged(overrides []state.Override) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overrides = overrides
	if s.apply == nil {
		return
	}
	s.apply(overrides)
	s.releaseReplicated()
}

// releaseReplicated releases the local overrides whose shared overrides are in the follower's copy. The caller holds
// the lock.
func (s *sharedOverrides) releaseReplicated() {
	index := s.follower.View().Index
	for id, revision := range s.sharedRevisions {
		if revision <= index {
			s.release(id)
			delete(s.sharedRevisions, id)
		}
	}
}

func (s *sharedOverrides) close() {
	s.follower.Close()
	s.proposer.Close()
}

// set takes an upstream out of service at all balancers. The note says how many voters have stored the override. After
// an error only the local override is certain.
func (s *sharedOverrides) set(upstreamID string, at time.Time) (note string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	response, err := s.proposer.Propose(ctx, &state.SetOverride{
		Subject: outOfServiceSubject(upstreamID),
		By:      s.balancerName,
		Reason:  overrideReason,
		At:      at.UnixMilli(),
	})
	if errors.Is(err, client.ErrUncertain) {
		return "", fmt.Errorf("only here for certain: the others may be told, or not (%w)", err)
	}
	if err != nil {
		return "", fmt.Errorf("only here, not copied: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharedRevisions[upstreamID] = response.Result.Revision
	s.releaseReplicated()
	return storedNote(response), nil
}

// clear returns an upstream to service at all balancers. After an error, stillOut reports whether the shared override
// is still in this process's copy.
func (s *sharedOverrides) clear(upstreamID string) (note string, stillOut bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	subject := outOfServiceSubject(upstreamID)
	response, err := s.proposer.Propose(ctx, &state.ClearOverride{Subject: subject, By: s.balancerName})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		return "", s.has(subject), err
	}
	delete(s.sharedRevisions, upstreamID)
	return storedNote(response), false, nil
}

// has reports whether there is a shared override of a subject. The caller holds the lock.
func (s *sharedOverrides) has(subject state.Subject) bool {
	return slices.ContainsFunc(s.overrides, func(o state.Override) bool { return o.Subject == subject })
}

func outOfServiceSubject(upstreamID string) state.Subject {
	return state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: upstreamID}
}

// storedNote returns the note to operators on how many voters have stored a proposal.
func storedNote(r client.Response) string { return fmt.Sprintf("held by %d of %d", r.Stored, r.Voters) }

// applySharedOverrides applies to the pool those shared overrides that concern it.
func (b *Balancer) applySharedOverrides(overrides []state.Override) {
	b.pool.ApplyOverrides(override.SharedForPool(overrides, b.config.Name))
	slog.Info("shared overrides applied", "overrides", len(overrides))
}
