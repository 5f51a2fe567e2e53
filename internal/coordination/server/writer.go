package server

import (
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// job is something for the disk: what the consensus has to have there (message), the beginning of a cluster, or a snapshot of our own.
type job struct {
	message  *raftpb.Message
	begin    *beginning
	snapshot *raftpb.Snapshot
	keepFrom uint64
}

// beginning makes the folder a cluster's.
type beginning struct {
	cluster  uint64
	snapshot *raftpb.Snapshot // nil: it comes from the others
	done     func()
}

// written are jobs that the disk has, in order, or an error of it.
type written struct {
	jobs []job
	err  error
	took time.Duration
}

// writer is the goroutine that waits for the disk. What has come while it waited is written together.
type writer struct {
	store *store
	mu    sync.Mutex
	queue []job
	since time.Time // since when the disk has owed something; zero: it owes nothing
	kick  chan struct{}
	end   chan struct{}
	ended chan struct{}
}

func newWriter(s *store) *writer {
	return &writer{store: s, kick: make(chan struct{}, 1), end: make(chan struct{}), ended: make(chan struct{})}
}

// put hands a job over. It does not wait.
func (w *writer) put(j job) {
	w.mu.Lock()
	w.queue = append(w.queue, j)
	if w.since.IsZero() {
		w.since = time.Now()
	}
	w.mu.Unlock()
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// owes is for how long the disk has owed an answer.
func (w *writer) owes(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() {
		return 0
	}
	return now.Sub(w.since)
}

func (w *writer) stop() {
	close(w.end)
	<-w.ended
}

func (w *writer) run(done chan<- written) {
	defer close(w.ended)
	for {
		select {
		case <-w.kick:
		case <-w.end:
			return
		}
		w.mu.Lock()
		jobs := w.queue
		w.queue = nil
		w.mu.Unlock()
		began := time.Now()
		err := w.write(jobs)
		w.mu.Lock()
		if w.since = (time.Time{}); len(w.queue) > 0 {
			w.since = time.Now()
		}
		w.mu.Unlock()
		select {
		case done <- written{jobs, err, time.Since(began)}:
		case <-w.end:
			return
		}
		if err != nil { // nothing is known of the disk any more: it is not written to again
			return
		}
	}
}

// write writes jobs in their order, as many in one step as can be.
func (w *writer) write(jobs []job) error {
	var b batch
	pending := false
	flush := func() error {
		if !pending {
			return nil
		}
		err := w.store.append(b)
		b, pending = batch{}, false
		return err
	}
	for _, j := range jobs {
		if j.begin != nil || j.snapshot != nil || !raft.IsEmptySnap(j.message.GetSnapshot()) {
			if err := flush(); err != nil {
				return err
			}
		}
		switch {
		case j.begin != nil:
			if err := w.store.begin(j.begin.cluster, j.begin.snapshot, firstHard()); err != nil {
				return err
			}
		case j.snapshot != nil:
			if err := w.store.append(batch{snapshot: j.snapshot, keepFrom: j.keepFrom}); err != nil {
				return err
			}
		default:
			m := j.message
			if !raft.IsEmptySnap(m.GetSnapshot()) {
				b.snapshot, b.reset, pending = m.GetSnapshot(), true, true
				if err := flush(); err != nil { // entries behind it start from it
					return err
				}
			}
			if len(m.GetEntries()) > 0 {
				b.entries, pending = joined(b.entries, m.GetEntries()), true
			}
			if m.Term != nil || m.Vote != nil || m.Commit != nil {
				b.hard = &raftpb.HardState{Term: new(m.GetTerm()), Vote: new(m.GetVote()), Commit: new(m.GetCommit())}
				pending = true
			}
		}
	}
	return flush()
}

// joined puts entries behind those that are to be written, in the place of all from their first on.
func joined(before, after []*raftpb.Entry) []*raftpb.Entry {
	if len(before) == 0 {
		return after
	}
	first := before[0].GetIndex()
	if after[0].GetIndex() <= first {
		return after
	}
	return append(before[:after[0].GetIndex()-first:after[0].GetIndex()-first], after...)
}

// firstHard is the state with which every voter of a new cluster begins.
func firstHard() *raftpb.HardState {
	return &raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}
}
