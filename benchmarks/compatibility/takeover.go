package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// The upstream with this index is out of service from before the hot restart until after it.
	outIndex = 2
	// The upstream with this index is out of service while both processes run.
	brieflyOutIndex = 1
	// settledAfter is how many answers to wait for until requests that were sent before a command have arrived.
	settledAfter = 100
	// learntAfter is how many answers the old process learns from at the beginning.
	learntAfter = 300
)

// hotRestartResult is what a hot restart from one version to the other has shown.
type hotRestartResult struct {
	From string `json:"from"`
	To   string `json:"to"`
	loadFigures
	TakeoverMS int64 `json:"takeover_ms"` // from the new process's start until it says that it serves
	restoreFigures
	Checks checklist `json:"checks"`
}

// hotRestart is one hot restart while clients ask.
type hotRestart struct {
	direction
	upstreams  *upstreams
	site       *balancerSite
	load       *load
	oldProcess *balancer
	newProcess *balancer
	hitsOut    int64 // requests at the upstream that is out of service, counted after the command
	takeover   time.Duration
}

// runHotRestart lets a process of one version take over from one of the other.
func runHotRestart(ctx context.Context, folder string, versions direction) hotRestartResult {
	outcome := hotRestartResult{From: versions.old.name, To: versions.next.name}
	scenario := &hotRestart{direction: versions, upstreams: startUpstreams()}
	defer scenario.close()
	var err error
	if scenario.site, err = newBalancerSite(folder, scenario.upstreams.discovery.Listener.Addr().String()); err != nil {
		outcome.Checks.add("setup", err)
		return outcome
	}
	outcome.Checks.runSteps(ctx, []step{
		{"old process serves", scenario.serve},
		{"upstream out of service", scenario.takeOut},
		{"listener taken over", scenario.takeOver},
		{"command to old process holds in new", scenario.commandOld},
		{"old process ends", scenario.endOld},
		{"override taken over", scenario.stayedOut},
		{"upstream back in service", scenario.putBack},
		{"no request lost", scenario.lostNothing},
		{"new process ends", func(context.Context) error { return scenario.newProcess.stop() }},
		{"snapshot restored", func(ctx context.Context) (err error) {
			outcome.restoreFigures, err = restoreSnapshot(ctx, folder, versions)
			return err
		}},
		{"drain taken over", func(ctx context.Context) error { return handOverDrain(ctx, folder, versions) }},
	})
	if scenario.load != nil {
		outcome.loadFigures = scenario.load.stop()
	}
	outcome.TakeoverMS = scenario.takeover.Milliseconds()
	return outcome
}

// close ends everything that the scenario started.
func (h *hotRestart) close() {
	if h.load != nil {
		h.load.stop()
	}
	for _, started := range []*balancer{h.newProcess, h.oldProcess} {
		if started != nil {
			_ = started.stop() // its error is looked at by a check
		}
	}
	h.upstreams.close()
}

// serve starts the old process and the clients.
func (h *hotRestart) serve(ctx context.Context) error {
	var err error
	if h.oldProcess, err = h.site.start(ctx, h.old); err != nil {
		return err
	}
	h.load = startLoad(h.site.listen)
	return h.load.awaitAnswers(ctx, learntAfter)
}

// takeOut takes an upstream out of service at the old process.
func (h *hotRestart) takeOut(ctx context.Context) error {
	if err := h.oldProcess.command(ctx, "maint-on "+upstreamID(outIndex)); err != nil {
		return err
	}
	if err := h.load.awaitAnswers(ctx, settledAfter); err != nil {
		return err
	}
	if h.hitsOut = h.upstreams.hits[outIndex].Load(); h.hitsOut == 0 {
		return errors.New("the upstream had no request before it was out of service")
	}
	return nil
}

// takeOver starts the new process. It must have the old one's listening socket, and no second one beside it.
func (h *hotRestart) takeOver(ctx context.Context) error {
	before, err := listenerInodes(h.site.listen)
	if err != nil {
		return err
	}
	began := time.Now()
	if h.newProcess, err = h.site.start(ctx, h.next); err != nil {
		return err
	}
	h.takeover = time.Since(began)
	after, err := listenerInodes(h.site.listen)
	if err != nil {
		return err
	}
	return compareListeners(before, after)
}

// commandOld takes an upstream out of service by a command to the old process while both run. The new process, which
// has the clients by then, must send nothing there until a command to itself puts the upstream back.
func (h *hotRestart) commandOld(ctx context.Context) error {
	if err := h.oldProcess.command(ctx, "maint-on "+upstreamID(brieflyOutIndex)); err != nil {
		return err
	}
	if err := h.load.awaitAnswers(ctx, settledAfter); err != nil {
		return err
	}
	hits := h.upstreams.hits[brieflyOutIndex].Load()
	if err := h.load.awaitAnswers(ctx, settledAfter); err != nil {
		return err
	}
	if more := h.upstreams.hits[brieflyOutIndex].Load() - hits; more != 0 {
		return fmt.Errorf("%d requests at an upstream that is out of service by a command to the old process", more)
	}
	if err := h.newProcess.command(ctx, "maint-off "+upstreamID(brieflyOutIndex)); err != nil {
		return err
	}
	return h.awaitHit(ctx, brieflyOutIndex)
}

// endOld ends the old process, which answers what it has taken, and lets the new one serve alone.
func (h *hotRestart) endOld(ctx context.Context) error {
	if err := h.oldProcess.stop(); err != nil {
		return err
	}
	return h.load.awaitAnswers(ctx, settledAfter)
}

// stayedOut is an error if the upstream that is out of service got a request since.
func (h *hotRestart) stayedOut(context.Context) error {
	if more := h.upstreams.hits[outIndex].Load() - h.hitsOut; more != 0 {
		return fmt.Errorf("%d requests at the upstream that is out of service", more)
	}
	return nil
}

// putBack puts the upstream back in service at the new process.
func (h *hotRestart) putBack(ctx context.Context) error {
	if err := h.newProcess.command(ctx, "maint-off "+upstreamID(outIndex)); err != nil {
		return err
	}
	return h.awaitHit(ctx, outIndex)
}

// awaitHit waits until an upstream gets a further request.
func (h *hotRestart) awaitHit(ctx context.Context, index int) error {
	hits := h.upstreams.hits[index].Load()
	return poll(ctx, "a request at an upstream that is back in service", func(context.Context) error {
		if h.upstreams.hits[index].Load() == hits {
			return errors.New("it gets none")
		}
		return nil
	})
}

// lostNothing ends the clients and looks at what they saw over the whole hot restart.
func (h *hotRestart) lostNothing(context.Context) error {
	figures := h.load.stop()
	if figures.LostRequests+figures.RefusedConnections+figures.ClosedConnections > 0 {
		return fmt.Errorf("of %d requests %d were lost; %d connections were refused, %d closed",
			figures.Requests, figures.LostRequests, figures.RefusedConnections, figures.ClosedConnections)
	}
	return nil
}
