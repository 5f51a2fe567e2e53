package fleet

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/lbpolicy"
)

// Spec is what a node is like.
type Spec struct {
	ID       string
	Zone     string
	Cores    int
	Work     time.Duration // of a request on one core, at full speed
	Spread   float64       // of Work, evenly to both sides, as a part of it
	Queue    int           // waiting room behind the cores
	Delay    time.Duration // each way between it and its callers, over that of loopback
	Reports  time.Duration // how often X-Load is refreshed; 0: no reports
	Says     string        // an X-Load that stands in every answer instead
	ColdFrom float64       // part of its speed at the start
	Ramp     time.Duration // until it is warm; 0: it always is
	Multiple float64       // a cold node that is sent more than this multiple of what it can do ...
	Window   time.Duration // ... within this window falls over
	Weight   float64       // that lists tell; its cores if 0
	Seed     uint64
}

// Node is a server of the fleet on a loopback address. It begins warm.
type Node struct {
	Spec
	judge   *Judge
	address string

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	conns    map[net.Conn]bool // open ones
	most     int               // that were open at once
	opened   int
	rng      *rand.Rand
	life     context.Context // of the process: ends with Crash
	kill     context.CancelFunc
	startAt  time.Time // cold since then; zero: warm
	listedAt time.Time // when it last started
	stalled  chan struct{}
	hole     bool          // what comes is gone
	slow     float64       // work takes so many times longer; 0: as ever
	leave    chan struct{} // closed when the neighbour leaves; nil: there is none
	taken    int           // cores that the neighbour keeps busy
	inflight int
	busy     time.Duration // core time used
	sent     []load        // while it is cold
	fallen   bool
	peak     float64 // the most of what it bears that was sent in a window while it was cold
	readAt   time.Time
	report   string
	runs     int
	runsRead int // at the last report
	recent   lbpolicy.Latencies
	slots    chan struct{}
}

// load is work that came to a cold node.
type load struct {
	at   time.Time
	work float64 // core seconds at full speed
}

// connKey finds a request's connection.
type connKey struct{}

// NewNode starts a node.
func NewNode(spec Spec, j *Judge) (*Node, error) {
	n := &Node{Spec: spec, judge: j, rng: rand.New(rand.NewPCG(spec.Seed, 1)), conns: map[net.Conn]bool{}}
	return n, n.boot("127.0.0.1:0", false)
}

func (n *Node) boot(address string, cold bool) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener, n.address = l, l.Addr().String()
	n.life, n.kill = context.WithCancel(context.Background())
	n.slots = make(chan struct{}, n.Cores)
	n.inflight, n.busy, n.sent, n.fallen, n.report, n.readAt, n.stalled = 0, 0, nil, false, "", time.Now(), nil
	n.startAt, n.listedAt, n.leave, n.taken, n.hole = time.Time{}, time.Time{}, nil, 0, false
	if cold {
		n.startAt, n.listedAt = time.Now(), time.Now()
	}
	n.server = &http.Server{
		Handler: http.HandlerFunc(n.serve), ConnState: n.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go n.server.Serve(l) // ends with Crash or Close
	return nil
}

func (n *Node) connState(c net.Conn, s http.ConnState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch s {
	case http.StateNew:
		n.conns[c] = true
		n.opened++
		n.most = max(n.most, len(n.conns))
	case http.StateClosed, http.StateHijacked:
		delete(n.conns, c)
	}
}

// Address is where it listens.
func (n *Node) Address() string { return n.address }

// Entry is the node as a list names it.
func (n *Node) Entry(phase endpointlist.Phase) endpointlist.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return endpointlist.Node{ID: n.ID, Address: n.address, Zone: n.Zone, Weight: cmp.Or(n.Weight, float64(n.Cores)), Phase: phase, Started: n.listedAt}
}

// Runs counts the requests whose work it has done.
func (n *Node) Runs() int { n.mu.Lock(); defer n.mu.Unlock(); return n.runs }

// Connections tells how many connections were open at once at most, and how many were opened in all.
func (n *Node) Connections() (most, opened int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.most, n.opened
}

// Fallen tells whether it was pushed over while it was cold.
func (n *Node) Fallen() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.fallen }

// ColdPeak is the most that it was sent in a window while it was cold, as a part of what pushes it over.
func (n *Node) ColdPeak() float64 { n.mu.Lock(); defer n.mu.Unlock(); return n.peak }

// Stall makes it take requests and answer none, until it is told otherwise.
func (n *Node) Stall(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if on && n.stalled == nil {
		n.stalled = make(chan struct{})
	} else if !on && n.stalled != nil {
		close(n.stalled)
		n.stalled = nil
	}
}

// Hole makes what comes vanish, until it is told otherwise: a network that drops it, rather than a node that is late.
func (n *Node) Hole(on bool) { n.mu.Lock(); defer n.mu.Unlock(); n.hole = on }

// Slow makes its work take so many times longer; 1 is as ever.
func (n *Node) Slow(factor float64) { n.mu.Lock(); defer n.mu.Unlock(); n.slow = factor }

// Neighbour lets something else on the machine keep so many of its cores busy, as soon as they are free; 0 ends that.
func (n *Node) Neighbour(cores int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leave != nil {
		close(n.leave)
		n.leave, n.taken = nil, 0
	}
	if cores <= 0 {
		return
	}
	leave, slots, life := make(chan struct{}), n.slots, n.life
	n.leave, n.taken = leave, min(cores, n.Cores)
	for range n.taken {
		go func() {
			select {
			case slots <- struct{}{}:
			case <-leave:
				return
			case <-life.Done():
				return
			}
			select {
			case <-leave:
			case <-life.Done():
			}
			<-slots
		}()
	}
}

// Crash ends the process: its connections are reset, what it had is gone, and new connections are refused.
func (n *Node) Crash() {
	n.mu.Lock()
	for c := range n.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	}
	kill, server := n.kill, n.server
	n.mu.Unlock()
	kill()
	server.Close()
}

// Restart starts it again at the same address, cold.
func (n *Node) Restart() error { return n.boot(n.address, true) }

// Close ends it.
func (n *Node) Close() { n.Crash() }

// speed is the part of its full speed that it has now. The caller holds the lock.
func (n *Node) speed(now time.Time) float64 {
	switch {
	case n.fallen:
		return 0
	case n.startAt.IsZero() || n.Ramp == 0 || now.Sub(n.startAt) >= n.Ramp:
		return 1
	}
	return n.ColdFrom + (1-n.ColdFrom)*now.Sub(n.startAt).Seconds()/n.Ramp.Seconds()
}

// maxSize bounds what a client may ask for in X-Work.
const maxSize = 1e6

// take books the work of a request of a size, and finds whether it pushes a cold node over.
func (n *Node) take(now time.Time, size float64) (work time.Duration, tipped bool, sent, bears float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	work = time.Duration(float64(n.Work) * (1 + n.Spread*(2*n.rng.Float64()-1)) * size)
	n.inflight++
	speed := n.speed(now)
	if n.startAt.IsZero() || speed >= 1 || n.fallen || n.Multiple == 0 {
		return work, false, 0, 0
	}
	n.sent = append(n.sent, load{now, work.Seconds()})
	for len(n.sent) > 0 && now.Sub(n.sent[0].at) > n.Window {
		n.sent = n.sent[1:]
	}
	for _, x := range n.sent {
		sent += x.work
	}
	bears = n.Multiple * speed * float64(n.Cores) * n.Window.Seconds()
	n.fallen, n.peak = sent > bears, max(n.peak, sent/bears)
	return work, n.fallen, sent, bears
}

// serve handles one attempt.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" { // a probe
		n.mu.Lock()
		fmt.Fprintf(w, "inflight=%d,latency_ms=%.3f", n.inflight, n.recent.At(n.inflight).Seconds()*1000)
		n.mu.Unlock()
		return
	}
	time.Sleep(n.Delay)
	defer time.Sleep(n.Delay)
	n.mu.Lock()
	hole, life := n.hole, n.life
	n.mu.Unlock()
	if hole { // it never came, as far as the node knows
		select {
		case <-r.Context().Done():
		case <-life.Done():
		}
		panic(http.ErrAbortHandler)
	}
	began := n.judge.now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // its last byte never came: it never began
	}
	id := r.Header.Get("X-Request-Id")
	size, err := strconv.ParseFloat(cmp.Or(r.Header.Get("X-Work"), "1"), 64)
	if err != nil || !(size > 0 && size <= maxSize) {
		http.Error(w, "X-Work is no size", http.StatusBadRequest)
		return
	}
	attempt, answered := n.judge.arrived(n.ID, id, began), false
	defer func() { n.judge.ended(attempt, answered) }()
	n.mu.Lock()
	slots, stalled, waiting := n.slots, n.stalled, n.inflight
	n.mu.Unlock()
	if waiting >= n.Cores+n.Queue && stalled == nil {
		n.judge.notRun(id)
		answered = true
		n.load(w)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work, tipped, sent, bears := n.take(time.Now(), size)
	defer func() { n.mu.Lock(); n.inflight--; n.mu.Unlock() }()
	if tipped {
		n.judge.tipped(n.ID, sent, bears)
	}
	ran, arrived := make(chan string, 1), time.Now()
	go func() { // the work goes on when the balancer has given up
		if body, ok := n.work(life, slots, stalled, id, work); ok {
			ran <- body
		}
	}()
	select {
	case body := <-ran:
		answered = true
		n.mu.Lock()
		n.recent.Add(waiting, time.Since(arrived))
		n.mu.Unlock()
		n.load(w)
		io.WriteString(w, body) // if it fails the balancer has gone
	case <-r.Context().Done():
	case <-life.Done():
		panic(http.ErrAbortHandler) // a process that dies says nothing, where returning would say 200
	}
}

// work does a request's work on a core.
func (n *Node) work(life context.Context, slots, stalled chan struct{}, id string, work time.Duration) (string, bool) {
	if stalled != nil {
		select {
		case <-stalled:
		case <-life.Done():
			return "", false
		}
	}
	select {
	case slots <- struct{}{}:
	case <-life.Done():
		return "", false
	}
	defer func() { <-slots }()
	n.mu.Lock()
	speed := n.speed(time.Now()) / cmp.Or(n.slow, 1)
	n.mu.Unlock()
	if speed == 0 { // it has fallen over, and stays down
		<-life.Done()
		return "", false
	}
	took := time.Duration(float64(work) / speed)
	if took > 0 {
		select {
		case <-time.After(took):
		case <-life.Done():
			return "", false
		}
	}
	n.mu.Lock()
	n.runs++
	n.busy += took
	body := fmt.Sprintf("%s %s %d", n.ID, id, n.runs)
	n.mu.Unlock()
	n.judge.executed(n.ID, id, body)
	return body, true
}

// load puts the report into an answer. It is refreshed now and then, as real ones are.
func (n *Node) load(w http.ResponseWriter) {
	if n.Says != "" {
		w.Header().Set("X-Load", n.Says)
		return
	}
	if n.Reports == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if since := time.Since(n.readAt); since >= n.Reports {
		util := min(1, (n.busy.Seconds()/since.Seconds()+float64(n.taken))/float64(n.Cores))
		n.report = fmt.Sprintf("util=%.3f,latency_ms=%.2f,qps=%.1f,eps=0", util, float64(n.Work.Microseconds())/1000/n.speed(time.Now()),
			float64(n.runs-n.runsRead)/since.Seconds())
		n.readAt, n.busy, n.runsRead = time.Now(), 0, n.runs
	}
	if n.report != "" {
		w.Header().Set("X-Load", n.report)
	}
}
