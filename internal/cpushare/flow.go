// Package cpushare shares the processor between the flows of work in a process. A flow is the work that the bytes of
// one peer cause, such as the requests of one client connection.
//
// The runtime polls the network only when no goroutine can run, or every 10 ms. A goroutine whose next bytes are always
// there already never waits, so that on one processor all others wait for the runtime to interrupt it, at each of their
// steps. A Flow therefore counts the processor time of its work. Up to a small share of a processor is free. A flow
// beyond it waits for its turn before it goes on. There is one turn for each poll of the network, so that whoever
// became ready meanwhile runs before the next turn. Every second turn is for a peer that comes for the first time,
// which would wait behind all that the others take otherwise. If nobody else has work, the next turn comes at once: the
// processor is never idle while a flow waits. In a process with several processors a flow only lets others run first.
package cpushare

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// quantum is the processor time of a turn.
	quantum = 250 * time.Microsecond
	// freeShareDivisor is the inverse of the share of a processor that a flow may use without taking turns.
	freeShareDivisor = 64
	// maxDebt is how far ahead of time a flow may be charged before it needs a turn.
	maxDebt = quantum * freeShareDivisor
	// maxStep bounds the charge for one step: a longer one has waited for something else than its peer. It is so low
	// that a single step never uses up the free share.
	maxStep = quantum
	// shortestWait is the shortest time of a read that counts as waiting and not as work.
	shortestWait = 50 * time.Microsecond
)

// started is the origin of the clock of all flows.
var started = time.Now()

// Flow counts the processor time that the work for one peer takes. The zero value has its whole free share. One
// goroutine at a time uses it.
type Flow struct {
	scheduler *scheduler    // nil: that of the process
	turn      chan struct{} // receives a value with each turn; nil: none was needed yet
	stepBegan time.Duration // on the clock since started; 0: no step has begun
	waitBegan time.Duration
	paidUntil time.Duration // the time until which the free share is used up
	queued    atomic.Bool   // the flow waits for a turn
	kind      kind          // of the next turn
	lasting   bool          // kind holds for all turns
}

// StartAsNewcomer begins a flow without a free share: its peer comes for the first time, and very many newcomers must
// leave the processor to others. The first turn is one of those for newcomers.
func (f *Flow) StartAsNewcomer() {
	f.paidUntil = time.Since(started) + maxDebt
	f.kind = newcomer
}

// ServeNewcomers makes all turns of the flow those for newcomers: it is the work of accepting them.
func (f *Flow) ServeNewcomers() {
	f.kind = newcomer
	f.lasting = true
}

// AwaitsTurn reports whether the flow waits for a turn, so that the peer is not to blame for the wait. Any goroutine
// may call it.
func (f *Flow) AwaitsTurn() bool { return f.queued.Load() }

// BeginWait ends a step of the flow's work before the goroutine waits for the peer: before a read, for instance. It
// waits for a turn first if the free share is used up.
func (f *Flow) BeginWait() { f.waitBegan = f.endStep() }

// EndWait begins a step after BeginWait.
func (f *Flow) EndWait() {
	f.stepBegan = time.Since(started)
	if f.stepBegan-f.waitBegan < shortestWait { // there was nothing to wait for: that was work
		f.stepBegan = f.waitBegan
	}
}

// Read reads from the peer between two steps of the flow's work.
func (f *Flow) Read(peer io.Reader, buffer []byte) (int, error) {
	f.BeginWait()
	defer f.EndWait()
	return peer.Read(buffer)
}

// Step ends a step of the flow's work and begins the next, where the work goes on without a wait for the peer.
func (f *Flow) Step() { f.stepBegan = f.endStep() }

// Restart begins a step after a wait for something else than the peer.
func (f *Flow) Restart() { f.stepBegan = time.Since(started) }

// endStep charges the current step, and waits for a turn if the free share is used up. It returns the time.
func (f *Flow) endStep() time.Duration {
	now := time.Since(started)
	if f.stepBegan == 0 {
		f.stepBegan = now
	}
	if f.charge(now) {
		return now
	}
	f.awaitTurn()
	now = time.Since(started)
	f.paidUntil = now
	return now
}

// charge charges the current step, and reports whether the flow may go on without a turn.
func (f *Flow) charge(now time.Duration) bool {
	work := min(now-f.stepBegan, maxStep)
	f.paidUntil = max(f.paidUntil, now) + work*freeShareDivisor
	return f.paidUntil-now <= maxDebt
}

func (f *Flow) awaitTurn() {
	if f.scheduler == nil {
		f.scheduler = process()
	}
	if f.turn == nil {
		f.turn = make(chan struct{}, 1)
	}
	f.queued.Store(true)
	f.scheduler.awaitTurn(f.kind, f.turn)
	f.queued.Store(false)
	if !f.lasting {
		f.kind = known
	}
}
