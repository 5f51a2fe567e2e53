package main

import (
	"context"
	"fmt"
)

// restoreFigures are what was learnt before and after a hot restart without requests.
type restoreFigures struct {
	AnswersLearnt   int `json:"answers_learnt"`   // that the old process's snapshot is made of
	AnswersRestored int `json:"answers_restored"` // the same in the new process's
}

// restoreSnapshot lets an old process learn from requests, ends those, and lets a new process take over. What both
// know of the upstreams must then be the same: the new process has had no request of its own, so it can only have it
// from the old one. Upstreams that are out of service have no place in a snapshot, so all are in service here.
func restoreSnapshot(ctx context.Context, folder string, versions direction) (figures restoreFigures, err error) {
	group := startUpstreams()
	defer group.close()
	site, err := newBalancerSite(folder, group.discovery.Listener.Addr().String())
	if err != nil {
		return figures, err
	}
	old, err := site.start(ctx, versions.old)
	if err != nil {
		return figures, err
	}
	defer func() { _ = old.stop() }() // its error is looked at below
	if err := learnFromRequests(ctx, site); err != nil {
		return figures, err
	}
	before, err := readSnapshot(site.socketPath(), site.listen)
	if err != nil {
		return figures, fmt.Errorf("old process: %w", err)
	}
	figures.AnswersLearnt = before.totalAnswers()
	next, err := site.start(ctx, versions.next)
	if err != nil {
		return figures, err
	}
	defer func() { _ = next.stop() }() // as above
	if err := old.stop(); err != nil {
		return figures, err
	}
	after, err := readSnapshot(site.socketPath(), site.listen)
	if err != nil {
		return figures, fmt.Errorf("new process: %w", err)
	}
	figures.AnswersRestored = after.totalAnswers()
	if err := compareSnapshots(before, after); err != nil {
		return figures, err
	}
	return figures, next.stop()
}

// learnFromRequests lets clients ask for a while.
func learnFromRequests(ctx context.Context, site *balancerSite) error {
	clients := startLoad(site.listen)
	waited := clients.awaitAnswers(ctx, learntAfter)
	figures := clients.stop()
	if waited == nil && figures.LostRequests > 0 {
		return fmt.Errorf("%d of %d requests were lost", figures.LostRequests, figures.Requests)
	}
	return waited
}
