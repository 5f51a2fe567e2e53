package server

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"olivearch/internal/coordination/client"
)

const (
	tickInterval = 50 * time.Millisecond
	// membershipTicks is how often the membership is looked at, in ticks.
	membershipTicks = 5
	// followerHeartbeatTicks is how often followers hear how old their copies are, in ticks.
	followerHeartbeatTicks = 10
	// diskStallTimeout is after how long without an answer of the disk the server is silent, so that another leads.
	diskStallTimeout = time.Second
	eventQueueLength = 4096
	// eventBurst is how many queued events are handled before Raft is advanced.
	eventBurst = 256
)

// core owns the state of a server. All of it belongs to the goroutine of run, except for what any goroutine may use:
// Config, which never changes, ctx, writer, uptime, caller and events. The store belongs to the goroutine of writer.
//
// The goroutine of run never blocks: it waits for nothing but the next event, write result or tick. What takes time,
// writes, calls and connections, is done by other goroutines, which submit its outcome as an event.
//
// Each part has a type with its own invariants:
//
//   - replica: the Raft node, its log and the state machine
//   - leadership: who leads, and the cluster's clock while this server does
//   - proposals: commands whose clients wait for an answer
//   - reads: linearizable reads that wait for a quorum or for the log
//   - membershipTracker: what the leader knows of members and joining voters
//   - bootstrap: how a server without a cluster finds or forms one
//   - peerLinks and followerSet: connections to peers and followers
type core struct {
	Config
	ctx      context.Context
	cancel   context.CancelCauseFunc
	store    *store
	identity identity // the folder's, as this goroutine knows it
	writer   *diskWriter
	uptime   uptimeClock
	events   chan event
	writes   chan writeResult
	caller   *client.Client // to the other servers, for forwarded requests and for the bootstrap

	replica
	leadership leadership
	proposals  proposals
	reads      reads
	members    membershipTracker
	bootstrap  bootstrap
	links      peerLinks
	followers  followerSet

	ticks         int
	lastWrite     time.Duration // how long the last write took
	rejections    uint64        // proposals that the state machine has rejected
	lastRejection string
}

// event is submitted to the core by other goroutines and applied by the core's.
type event interface{ apply(c *core) }

type eventFunc func(c *core)

func (f eventFunc) apply(c *core) { f(c) }

// newCore restores what the folder holds. Where it belongs to a cluster, the Raft node is started.
func newCore(config Config, opened *store, loaded *content) (*core, error) {
	created := &core{
		Config:    config,
		store:     opened,
		identity:  opened.identity,
		writer:    newDiskWriter(opened),
		uptime:    uptimeClock{start: time.Now()},
		events:    make(chan event, eventQueueLength),
		writes:    make(chan writeResult),
		caller:    client.New(config.Name, config.peerAddresses()),
		replica:   newReplica(),
		proposals: newProposals(),
		reads:     newReads(opened.identity.ID),
		members:   newMembershipTracker(),
		bootstrap: newBootstrap(),
		links:     newPeerLinks(),
		followers: followerSet{},
	}
	if opened.identity.Cluster == 0 {
		return created, nil
	}
	if err := created.load(loaded); err != nil {
		return nil, err
	}
	return created, created.startNode()
}

// startNode begins to take part in the cluster of the folder.
func (c *core) startNode() error {
	c.bootstrap.waitReason = ""
	return c.start(c.id())
}

func (c *core) id() uint64 { return c.identity.ID }

// run is the goroutine that owns the state. It returns when the context has ended.
func (c *core) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.shutDown()
	defer c.recoverRaftPanic()
	c.updateLinks()
	for c.ctx.Err() == nil {
		select {
		case e := <-c.events:
			e.apply(c)
			c.applyQueued()
		case result := <-c.writes:
			c.handleWriteResult(result)
		case <-ticker.C:
			c.tick(time.Now())
		case <-c.ctx.Done():
			return
		}
		c.processReady()
	}
}

// applyQueued handles what has come together, so that it is answered together.
func (c *core) applyQueued() {
	for range min(len(c.events), eventBurst) {
		(<-c.events).apply(c)
	}
}

// recoverRaftPanic ends the server where the Raft library panics: it does so on messages that contradict its log, as
// when another process uses this member's id.
func (c *core) recoverRaftPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	slog.Error("server stopped by raft panic", "reason", cause, "stack", string(debug.Stack()))
	c.fail(fmt.Errorf("%w, or another process is this member: %v", ErrDamaged, cause))
}

// shutDown answers what waits and closes all connections.
func (c *core) shutDown() {
	c.proposals.abandon("the voter ends")
	c.links.closeAll()
	c.followers.closeAll()
	c.caller.Close()
}

// submit hands the core an event, and waits while its queue is full; false: the core has ended.
func (c *core) submit(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// fail ends the server, which can't go on without breaking what it has granted.
func (c *core) fail(err error) { c.cancel(err) }

// diskStalled reports whether the disk has not answered for too long.
func (c *core) diskStalled(now time.Time) bool { return c.writer.pendingFor(now) > diskStallTimeout }

// tick advances Raft's timers and does what is due: timeouts, retries, the review of the membership and heartbeats.
func (c *core) tick(now time.Time) {
	c.ticks++
	if c.node != nil && !c.diskStalled(now) {
		c.node.Tick()
	}
	c.proposals.expire(now)
	c.answerReplicated(now)
	c.retryReads(now)
	if c.ticks%membershipTicks == 0 {
		c.reviewMembership(now)
	}
	if c.ticks%followerHeartbeatTicks == 0 {
		c.sendHeartbeats(now)
	}
}

// handleWriteResult continues the jobs that the disk writer has finished.
func (c *core) handleWriteResult(result writeResult) {
	if result.err != nil {
		c.fail(fmt.Errorf("%w: %w: what it has is not known, so this process ends", ErrDisk, result.err))
		return
	}
	c.lastWrite = result.duration
	for _, job := range result.jobs {
		var err error
		switch {
		case job.bootstrap != nil:
			err = c.bootstrapWritten(job.bootstrap)
		case job.snapshot != nil:
			c.snapshotWritten(job.snapshot, job.keepFrom)
		default:
			err = c.messageWritten(job.message)
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// stateReplaced updates all that depends on the state after it was replaced by a snapshot.
func (c *core) stateReplaced() {
	c.bootstrap.waitReason = ""
	c.updateLinks()
	for f := range c.followers {
		f.push(c.fullUpdate())
	}
}
