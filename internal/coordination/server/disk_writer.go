package server

import (
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// writeJob is one thing to write. Exactly one of message, bootstrap and snapshot is set.
type writeJob struct {
	message   *raftpb.Message   // a MsgStorageAppend of the Raft library
	bootstrap *clusterBootstrap // the folder becomes a cluster's
	snapshot  *raftpb.Snapshot  // the server's own, of what it has applied
	keepFrom  uint64            // with snapshot: entries of a lower index are dropped
}

// clusterBootstrap makes the folder a cluster's.
type clusterBootstrap struct {
	cluster  uint64
	snapshot *raftpb.Snapshot // what all voters begin with; nil: it comes from the other voters
	onDone   func()           // called by the core once the disk has it and Raft runs; nil: nothing
}

// writeResult reports that jobs are on the disk, in the order of their arrival, or why not.
type writeResult struct {
	jobs     []writeJob
	err      error
	duration time.Duration
}

// diskWriter is the goroutine that waits for the disk, so that the core does not. Jobs that come while it waits are
// written together. Its methods but run and write may be called by any goroutine, and do not block.
type diskWriter struct {
	store *store
	mu    sync.Mutex
	queue []writeJob
	since time.Time     // since when jobs have been unanswered; zero: there are none
	wake  chan struct{} // capacity 1: the queue is not empty
	quit  chan struct{}
	ended chan struct{}
}

func newDiskWriter(s *store) *diskWriter {
	return &diskWriter{
		store: s,
		wake:  make(chan struct{}, 1),
		quit:  make(chan struct{}),
		ended: make(chan struct{}),
	}
}

// enqueue hands a job over.
func (w *diskWriter) enqueue(job writeJob) {
	w.mu.Lock()
	w.queue = append(w.queue, job)
	if w.since.IsZero() {
		w.since = time.Now()
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// pendingFor returns for how long jobs have been unanswered; 0: there are none.
func (w *diskWriter) pendingFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() {
		return 0
	}
	return now.Sub(w.since)
}

// stop ends run and waits for it.
func (w *diskWriter) stop() {
	close(w.quit)
	<-w.ended
}

// run writes until stop, or until a write fails: nothing is known of the disk then, and it is not written to again.
func (w *diskWriter) run(results chan<- writeResult) {
	defer close(w.ended)
	for {
		select {
		case <-w.wake:
		case <-w.quit:
			return
		}
		jobs := w.takeQueue()
		start := time.Now()
		err := w.write(jobs)
		w.restartStallClock()
		select {
		case results <- writeResult{jobs: jobs, err: err, duration: time.Since(start)}:
		case <-w.quit:
			return
		}
		if err != nil {
			return
		}
	}
}

func (w *diskWriter) takeQueue() []writeJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := w.queue
	w.queue = nil
	return jobs
}

// restartStallClock counts the wait for the disk anew, after a write.
func (w *diskWriter) restartStallClock() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Time{}
	if len(w.queue) > 0 {
		w.since = time.Now()
	}
}

// write writes jobs in their order, in as few transactions as can be.
func (w *diskWriter) write(jobs []writeJob) error {
	var pending pendingBatch
	for _, job := range jobs {
		var err error
		switch {
		case job.bootstrap != nil:
			err = w.writeBootstrap(&pending, job.bootstrap)
		case job.snapshot != nil:
			err = w.writeOwnSnapshot(&pending, job)
		default:
			err = w.addMessage(&pending, job.message)
		}
		if err != nil {
			return err
		}
	}
	return w.flush(&pending)
}

// flush writes what is pending, if anything is.
func (w *diskWriter) flush(pending *pendingBatch) error {
	if !pending.filled {
		return nil
	}
	b := pending.batch
	*pending = pendingBatch{}
	return w.store.append(b)
}

func (w *diskWriter) writeBootstrap(pending *pendingBatch, bootstrap *clusterBootstrap) error {
	if err := w.flush(pending); err != nil {
		return err
	}
	return w.store.begin(bootstrap.cluster, bootstrap.snapshot, initialHardState())
}

func (w *diskWriter) writeOwnSnapshot(pending *pendingBatch, job writeJob) error {
	if err := w.flush(pending); err != nil {
		return err
	}
	return w.store.append(batch{snapshot: job.snapshot, keepFrom: job.keepFrom})
}

// addMessage adds a MsgStorageAppend. A snapshot in it is written at once, since entries after it start from it.
func (w *diskWriter) addMessage(pending *pendingBatch, message *raftpb.Message) error {
	if snapshot := message.GetSnapshot(); !raft.IsEmptySnap(snapshot) {
		if err := w.flush(pending); err != nil {
			return err
		}
		if err := w.store.append(batch{snapshot: snapshot, reset: true}); err != nil {
			return err
		}
	}
	if len(message.GetEntries()) > 0 {
		pending.addEntries(message.GetEntries())
	}
	if message.Term != nil || message.Vote != nil || message.Commit != nil {
		pending.setHardState(&raftpb.HardState{
			Term:   new(message.GetTerm()),
			Vote:   new(message.GetVote()),
			Commit: new(message.GetCommit()),
		})
	}
	return nil
}

// pendingBatch collects entries and hard states that are written in one transaction.
type pendingBatch struct {
	batch  batch
	filled bool
}

func (p *pendingBatch) addEntries(entries []*raftpb.Entry) {
	p.batch.entries = overwriteFrom(p.batch.entries, entries)
	p.filled = true
}

func (p *pendingBatch) setHardState(hardState *raftpb.HardState) {
	p.batch.hardState = hardState
	p.filled = true
}

// overwriteFrom appends entries in the place of all from the first one's index on.
func overwriteFrom(existing, entries []*raftpb.Entry) []*raftpb.Entry {
	if len(existing) == 0 {
		return entries
	}
	first, from := existing[0].GetIndex(), entries[0].GetIndex()
	if from <= first {
		return entries
	}
	kept := from - first
	return append(existing[:kept:kept], entries...)
}

// initialHardState returns the hard state with which every voter of a new cluster begins.
func initialHardState() *raftpb.HardState {
	return &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
}
