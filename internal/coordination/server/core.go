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
	// membershipReviewTicks is the interval between reviews of the membership, in ticks.
	membershipReviewTicks = 5
	// followerHeartbeatTicks is the interval between heartbeats to followers, in ticks.
	followerHeartbeatTicks = 10
	// diskStallTimeout is how long a write may take before the disk counts as stalled. The server then sends no
	// Raft requests, so that another server is elected leader.
	diskStallTimeout = time.Second
	eventQueueLength = 4096
	// maxEventBatch bounds the queued events that are applied together before Raft's output is processed.
	maxEventBatch = 256
)

// core owns the state of a server. Only the goroutine of run may use it, with these exceptions: any goroutine may use
// Config, which never changes, ctx, writer, uptime, caller and events. The store belongs to the goroutine of writer.
//
// The goroutine of run waits only for the next event, write result or tick. Other goroutines do everything that takes
// time (writes, calls, connections) and submit the outcome as an event.
//
// Each part of the state has a type with its own invariants:
//
//   - replica: the Raft node, its log and the state machine
//   - leadership: the current leader, and the cluster's clock while this server leads
//   - proposals: commands whose clients wait for a response
//   - reads: linearizable reads that wait for a quorum or for the log
//   - membershipTracker: contact with members, and joining voters
//   - bootstrap: how a server without a cluster finds or forms one
//   - peerLinks and followerSet: connections to peers and followers
type core struct {
	Config
	ctx      context.Context
	cancel   context.CancelCauseFunc
	store    *store
	identity identity // the copy of this goroutine; the store has its own
	writer   *diskWriter
	uptime   uptimeClock
	events   chan event
	writes   chan writeResult
	caller   *client.Client // calls the other servers: forwarded requests and the bootstrap

	replica
	leadership leadership
	proposals  proposals
	reads      reads
	members    membershipTracker
	bootstrap  bootstrap
	links      peerLinks
	followers  followerSet

	ticks         int
	lastWrite     time.Duration // duration of the latest write
	rejections    uint64        // number of proposals that the state machine has rejected
	lastRejection string
}

// event is submitted by any goroutine and applied by the goroutine of core.run.
type event interface{ apply(c *core) }

type eventFunc func(c *core)

func (f eventFunc) apply(c *core) { f(c) }

// newCore restores the state from the folder's content, and starts the Raft node if the folder belongs to a cluster.
func newCore(config Config, opened *store, loaded *folderContent) (*core, error) {
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

// startNode starts the Raft node as the member that the folder belongs to.
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

// applyQueued applies events that are queued already, so that one round of Raft processing covers all of them.
func (c *core) applyQueued() {
	for range min(len(c.events), maxEventBatch) {
		(<-c.events).apply(c)
	}
}

// recoverRaftPanic ends the server after a panic of the Raft library. The library panics on messages that contradict
// its log, for example because another process uses this member's id.
func (c *core) recoverRaftPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	slog.Error("server stopped by raft panic", "reason", cause, "stack", string(debug.Stack()))
	c.fail(fmt.Errorf("%w, or another process uses this member's id: %v", ErrDamaged, cause))
}

// shutDown answers all proposals that wait for a response and closes all connections.
func (c *core) shutDown() {
	c.proposals.abandonAll("the voter ends")
	c.links.closeAll()
	c.followers.closeAll()
	c.caller.Close()
}

// submit queues an event for the core, and waits while the queue is full. It returns false if the core has ended.
func (c *core) submit(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// fail ends the server because of an error after which it could break what it has granted.
func (c *core) fail(err error) { c.cancel(err) }

// diskStalled reports whether a write has been pending for longer than diskStallTimeout.
func (c *core) diskStalled(now time.Time) bool { return c.writer.pendingFor(now) > diskStallTimeout }

// tick advances Raft's timers and handles timeouts, retries, the review of the membership and heartbeats.
func (c *core) tick(now time.Time) {
	c.ticks++
	if c.node != nil && !c.diskStalled(now) {
		c.node.Tick()
	}
	c.proposals.expire(now)
	c.answerReplicated(now)
	c.retryReads(now)
	if c.ticks%membershipReviewTicks == 0 {
		c.reviewMembership(now)
	}
	if c.ticks%followerHeartbeatTicks == 0 {
		c.sendHeartbeats(now)
	}
}

// handleWriteResult completes the jobs that the disk writer has finished. It ends the server if the write failed.
func (c *core) handleWriteResult(result writeResult) {
	if result.err != nil {
		c.fail(fmt.Errorf("%w: %w: its content is unknown, so this process ends", ErrDisk, result.err))
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

// stateReplaced updates peer links and followers after a snapshot has replaced the state.
func (c *core) stateReplaced() {
	c.bootstrap.waitReason = ""
	c.updateLinks()
	for f := range c.followers {
		f.push(c.fullUpdate())
	}
}
