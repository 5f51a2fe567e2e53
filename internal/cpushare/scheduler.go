package cpushare

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// kind says to which flows a turn is given.
type kind int

const (
	known    kind = iota // their peers have had a turn
	newcomer             // their peers come for the first time
	kinds
)

// scheduler gives turns to flows, one for each poll of the network.
type scheduler struct {
	poller poller
	// yieldsOnly is set in a process with several processors: an idle one polls the network there, and to wake another
	// thread for each turn would cost more than the turn.
	yieldsOnly bool
	turns      atomic.Uint64 // number of turns so far

	mu        sync.Mutex
	waiting   [kinds][]chan struct{} // of the flows that wait for a turn, the first one first
	next      kind                   // that gets the next turn if a flow of it waits
	observers []chan struct{}        // of those that wait for the next poll
	signaled  bool                   // the poller has been signaled since the last poll
}

// process returns the scheduler of the process.
var process = sync.OnceValue(func() *scheduler {
	created := newScheduler(newPoller())
	created.yieldsOnly = runtime.GOMAXPROCS(0) > 1
	return created
})

// newScheduler returns a scheduler and starts its goroutine, which never ends.
func newScheduler(p poller) *scheduler {
	created := &scheduler{poller: p}
	go created.run()
	return created
}

// Start makes the scheduler of the process, which needs a descriptor. Otherwise the first flow that needs a turn does.
// It is called after the number of processors has been set.
func Start() { process() }

// AwaitPoll waits until the network has been polled and those who became ready have run, or until a limit: bytes that
// had arrived before the call have been read then, if somebody waited for them.
func AwaitPoll(limit time.Duration) { process().awaitPolls(limit) }

// pollsUntilRead is the number of polls until those whom the first one made ready have run: the network is polled
// again when nobody can run.
const pollsUntilRead = 2

func (s *scheduler) awaitPolls(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	polled := make(chan struct{}, 1)
	for range pollsUntilRead {
		s.mu.Lock()
		s.observers = append(s.observers, polled)
		s.signal()
		s.mu.Unlock()
		select {
		case <-polled:
		case <-timer.C:
			return
		}
	}
}

// awaitTurn waits for a turn of the flow that receives from turn, and lets the next one be prepared.
func (s *scheduler) awaitTurn(of kind, turn chan struct{}) {
	if s.yieldsOnly {
		runtime.Gosched()
		return
	}
	s.mu.Lock()
	s.waiting[of] = append(s.waiting[of], turn)
	s.signal()
	s.mu.Unlock()
	<-turn
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting[known])+len(s.waiting[newcomer]) > 0 {
		s.signal()
	}
}

// signal makes the next poll of the network wake the scheduler's goroutine. The caller holds the lock.
func (s *scheduler) signal() {
	if !s.signaled {
		s.signaled = true
		s.poller.signal()
	}
}

// run gives a turn after each poll of the network that was asked for. The flow that gets it asks for the next one, when
// this goroutine waits for the poller already: otherwise the wait would end without a poll.
func (s *scheduler) run() {
	for {
		s.poller.wait()
		s.mu.Lock()
		s.signaled = false
		s.notifyObservers()
		s.giveTurn()
		s.mu.Unlock()
	}
}

// notifyObservers wakes those that wait for a poll. The caller holds the lock.
func (s *scheduler) notifyObservers() {
	for _, observer := range s.observers {
		observer <- struct{}{} // does not block: see awaitPolls
	}
	clear(s.observers)
	s.observers = s.observers[:0]
}

// giveTurn gives the first flow that waits its turn, of each kind in turns. The caller holds the lock.
func (s *scheduler) giveTurn() {
	of := s.next
	if len(s.waiting[of]) == 0 {
		of = known + newcomer - of // the other kind
	}
	if len(s.waiting[of]) == 0 {
		return
	}
	s.next = known + newcomer - of
	turn := s.waiting[of][0]
	s.waiting[of][0] = nil
	s.waiting[of] = s.waiting[of][1:]
	s.turns.Add(1)
	turn <- struct{}{} // does not block: a flow waits for one turn at a time
}
