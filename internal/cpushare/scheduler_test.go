package cpushare

import (
	"io"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"
)

// scriptedPoller is a poller whose polls the test makes.
type scriptedPoller struct{ signals, polls chan struct{} }

func newScriptedPoller() scriptedPoller {
	return scriptedPoller{make(chan struct{}, 10), make(chan struct{})}
}

func (p scriptedPoller) signal() { p.signals <- struct{}{} }

func (p scriptedPoller) wait() {
	<-p.signals
	<-p.polls
}

// enqueue makes a flow of a kind wait for a turn. Its name is sent on turns when it comes.
func enqueue(s *scheduler, of kind, name string, turns chan<- string) {
	turn := make(chan struct{}, 1)
	go func() {
		s.awaitTurn(of, turn)
		turns <- name
	}()
	for isQueued := false; !isQueued; runtime.Gosched() {
		s.mu.Lock()
		isQueued = slices.Contains(s.waiting[of], turn)
		s.mu.Unlock()
	}
}

// TestTurnsAlternate guards against newcomers that wait behind all that the others take, and the other way round.
func TestTurnsAlternate(t *testing.T) {
	p := newScriptedPoller()
	s := newScheduler(p)
	turns := make(chan string)
	for _, name := range []string{"a", "b", "c"} {
		enqueue(s, known, name, turns)
	}
	for _, name := range []string{"1", "2"} {
		enqueue(s, newcomer, name, turns)
	}
	for _, want := range []string{"a", "1", "b", "2", "c"} {
		select {
		case got := <-turns:
			t.Fatalf("%s has a turn before the network was polled", got)
		default:
		}
		p.polls <- struct{}{}
		if got := <-turns; got != want {
			t.Fatalf("%s has the turn of %s", got, want)
		}
	}
}

// TestLongestStepIsFree guards against a flow that is made to wait since something else held up a single step of it.
func TestLongestStepIsFree(t *testing.T) {
	flow := Flow{stepBegan: 1}
	now := time.Minute
	if !flow.charge(now) {
		t.Error("a flow needs a turn after a single step")
	}
	flow.stepBegan = now
	if flow.charge(now + quantum) {
		t.Error("a flow needs no turn after a second long step")
	}
	flow.stepBegan = now + 2*maxDebt
	if !flow.charge(now + 2*maxDebt + quantum) {
		t.Error("a flow needs a turn although it has been idle")
	}
}

// TestOneCoreServesBesideHotFlows guards against goroutines that wait for the network as long as others work without a
// pause on the only core.
func TestOneCoreServesBesideHotFlows(t *testing.T) {
	const hotFlows, exchanges, turnsEach = 6, 100, 8
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newScheduler(newPoller())
	client, server := connect(t)
	go func() { _, _ = io.Copy(server, server) }()
	stop := make(chan struct{})
	defer close(stop)
	for range hotFlows {
		go work(stop, s)
	}
	before := s.turns.Load()
	buffer := make([]byte, 1)
	for range exchanges {
		if _, err := client.Write(buffer); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(client, buffer); err != nil {
			t.Fatal(err)
		}
	}
	if turns := s.turns.Load() - before; turns > exchanges*turnsEach {
		t.Errorf("hot flows had %d turns beside %d exchanges", turns, exchanges)
	}
}

// work keeps a core busy until stop is closed, in short steps of a flow.
func work(stop <-chan struct{}, s *scheduler) {
	flow := Flow{scheduler: s}
	for {
		select {
		case <-stop:
			return
		default:
			flow.Step()
		}
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

// TestTimerPollerGivesTurns guards against flows that wait for ever where no descriptor can be polled.
func TestTimerPollerGivesTurns(t *testing.T) {
	s := newScheduler(timerPoller{make(chan struct{}, 1)})
	turns := make(chan string)
	enqueue(s, known, "a", turns)
	if got := <-turns; got != "a" {
		t.Errorf("%s has the turn of a", got)
	}
	s.awaitPolls(time.Minute)
}

// TestAwaitPollsEnds guards against an event loop that waits for a poll while its timers are due.
func TestAwaitPollsEnds(t *testing.T) {
	s := newScheduler(newScriptedPoller()) // which the test never lets poll
	ended := make(chan struct{})
	go func() {
		s.awaitPolls(time.Millisecond)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the wait for a poll has no end")
	}
}

// TestYieldsOnSeveralProcessors guards against flows that wait for another thread at each turn although idle processors
// poll the network.
func TestYieldsOnSeveralProcessors(t *testing.T) {
	s := newScheduler(newScriptedPoller()) // which the test never lets poll
	s.yieldsOnly = true
	flow := Flow{scheduler: s}
	flow.StartAsNewcomer()
	flow.Restart()
	flow.stepBegan -= quantum
	flow.Step() // would wait for ever otherwise
}
