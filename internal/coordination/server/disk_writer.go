package server

import (
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// writeJob is a write to disk. Exactly one of message, bootstrap and snapshot is set.
type writeJob struct {
	message   *raftpb.Message   // a MsgStorageAppend of the Raft library
	bootstrap *clusterBootstrap // assigns the folder to a cluster
	snapshot  *raftpb.Snapshot  // taken by this server, of its own state
	keepFrom  uint64            // with snapshot: entries with a lower index are dropped
}

// clusterBootstrap is the first write of a cluster to the folder.
type clusterBootstrap struct {
	cluster  uint64
	snapshot *raftpb.Snapshot // first snapshot of a new cluster; nil: the other voters will send one
	onDone   func()           // called by the core after the write and the start of Raft; may be nil
}

// writeResult reports that jobs are on disk, in the order in which they were queued, or why the write failed.
type writeResult struct {
	jobs     []writeJob
	err      error
	duration time.Duration
}

// diskWriter writes jobs to disk in a goroutine of its own, so that the core does not block. Jobs that are queued
// during a write are written together in the next one. enqueue and pendingFor are safe for concurrent use and do not
// block.
type diskWriter struct {
	store        *store
	mu           sync.Mutex
	queue        []writeJob
	pendingSince time.Time     // when jobs became pending, or the last write ended if later; zero: none are pending
	wake         chan struct{} // capacity 1; signals that the queue is not empty
	quit         chan struct{}
	ended        chan struct{}
}

func newDiskWriter(s *store) *diskWriter {
	return &diskWriter{
		store: s,
		wake:  make(chan struct{}, 1),
		quit:  make(chan struct{}),
		ended: make(chan struct{}),
	}
}

func (w *diskWriter) enqueue(job writeJob) {
	w.mu.Lock()
	w.queue = append(w.queue, job)
	if w.pendingSince.IsZero() {
		w.pendingSince = time.Now()
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// pendingFor returns how long the disk has not confirmed a write although jobs are pending, or 0 if none are.
func (w *diskWriter) pendingFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pendingSince.IsZero() {
		return 0
	}
	return now.Sub(w.pendingSince)
}

// stop ends run and waits for it.
func (w *diskWriter) stop() {
	close(w.quit)
	<-w.ended
}

// run writes jobs until stop is called or a write fails. After a failed write the content on disk is unknown, so run
// does not write again.
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
		w.restartStallTimer()
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

// restartStallTimer restarts the time of pendingFor after a write.
func (w *diskWriter) restartStallTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pendingSince = time.Time{}
	if len(w.queue) > 0 {
		w.pendingSince = time.Now()
	}
}

// write writes jobs in order, with as few transactions as possible.
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

// flush writes the pending batch, unless it is empty.
func (w *diskWriter) flush(pending *pendingBatch) error {
	if !pending.filled {
		return nil
	}
	b := pending.batch
	*pending = pendingBatch{}
	return w.store.writeBatch(b)
}

func (w *diskWriter) writeBootstrap(pending *pendingBatch, bootstrap *clusterBootstrap) error {
	if err := w.flush(pending); err != nil {
		return err
	}
	return w.store.assignCluster(bootstrap.cluster, bootstrap.snapshot, initialHardState())
}

func (w *diskWriter) writeOwnSnapshot(pending *pendingBatch, job writeJob) error {
	if err := w.flush(pending); err != nil {
		return err
	}
	return w.store.writeBatch(batch{snapshot: job.snapshot, keepFrom: job.keepFrom})
}

// addMessage adds a MsgStorageAppend to the pending batch. It writes a snapshot at once, as the entries in the message
// follow the snapshot.
func (w *diskWriter) addMessage(pending *pendingBatch, message *raftpb.Message) error {
	if snapshot := message.GetSnapshot(); !raft.IsEmptySnap(snapshot) {
		if err := w.flush(pending); err != nil {
			return err
		}
		if err := w.store.writeBatch(batch{snapshot: snapshot, dropLog: true}); err != nil {
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

// pendingBatch collects entries and the latest hard state, to be written in one transaction.
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

// overwriteFrom replaces the existing entries from the first new entry's index on with the new entries. It does not
// change the slice existing, which Raft still uses.
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

// initialHardState returns the hard state with which every voter of a new cluster starts.
func initialHardState() *raftpb.HardState {
	return &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
}
