// Package emulator plays a scenario in simulated time: the decision module, or a plain proxy's picker, with nodes and
// clients of the same model as on sockets, and no sockets. The same seed gives the same events, whatever the machine does,
// and fleets of ten thousand nodes under a hundred balancers fit into seconds.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"olivearch/internal/loadspread"
	"olivearch/internal/scenario"
	"olivearch/internal/stats"
)

const (
	// origin is where simulated time begins: the module wants one that is not negative.
	origin = time.Hour
	// hop is one way over loopback, between client, balancer and node.
	hop = 50 * time.Microsecond
	// listDelay is how long after a change a list is read: on sockets the file's watcher settles first.
	listDelay = 25 * time.Millisecond
	// drainGrace and slack are the judge's, as on sockets.
	drainGrace = time.Second
	slack      = 50 * time.Millisecond
	// sampleEvery is how often the nodes are looked at for the plots, and sampleMost how many of them.
	sampleEvery = 100 * time.Millisecond
	sampleMost  = 16
)

// request is a client's request.
type request struct {
	w        *world
	id       uint64
	load     *scenario.Load
	meant    time.Duration
	size     float64
	deadline time.Duration
	balancer simulatedBalancer
	ended    bool
	mayHave  int // attempts that may have run
	runs     int
	again    func() // a client of a closed loop asks again
}

// arrived notes an attempt at a node.
func (r *request) arrived(n *node) {
	if r.mayHave > 0 && r.load.Repeat == "unsafe" {
		r.w.breach("unsafe request %d may have run and was sent again, to node %s", r.id, n.name)
	}
	r.mayHave++
}

// executed notes that its work was done.
func (r *request) executed(n *node) {
	r.w.turn.Executions++
	if r.runs++; r.runs > 1 && r.load.Repeat == "unsafe" {
		r.w.breach("unsafe request %d ran %d times, the last time at node %s", r.id, r.runs, n.name)
	}
}

// end is the one final answer, on its way to the client.
func (r *request) end(e stats.End) {
	if r.ended {
		r.w.breach("request %d has two answers", r.id)
		return
	}
	r.ended = true
	if e == stats.Refused && r.mayHave > 0 && r.load.Repeat == "unsafe" {
		r.w.breach("unsafe request %d was refused, which promises that it never ran, and may have run", r.id)
	}
	r.w.after(hop, func() {
		w := r.w
		w.turn.AskedAll++
		if e == stats.Served {
			w.turn.ServedAll++
		}
		if w.now > r.deadline+slack {
			w.breach("request %d was answered %v after its deadline", r.id, w.now-r.deadline)
		}
		w.recorder.Add(r.meant-w.start, w.now-w.start, time.Duration(r.load.Aim), e)
		if r.again != nil {
			r.again()
		}
	})
}

// simulatedBalancer is one instance of a contender.
type simulatedBalancer interface {
	// take receives a request, which gets its end by its deadline.
	take(r *request)
	// list tells the nodes that are listed. Each call has the whole list.
	list(nodes []*node)
	// sample adds what it knows of a node.
	sample(n *node, s *stats.NodeSample)
}

// world is one turn.
type world struct {
	clock
	file      *scenario.File
	start     time.Duration // of the measuring
	nodes     []*node
	balancers []simulatedBalancer
	parts     []float64  // up to each balancer, the part of all requests that comes to those before it and to it
	rng       *rand.Rand // of clients: which balancer each request comes to
	recorder  *stats.Recorder
	turn      stats.Turn
	serial    uint64
	silent    bool // nothing is told of lists
	changed   bool // since then
	pairs     map[pair]bool
}

// pair is a balancer and a node that it has sent something.
type pair struct {
	b simulatedBalancer
	n *node
}

func newWorld(f *scenario.File, start time.Duration) *world {
	nodes := 0
	for i := range f.Fleet {
		nodes += f.Fleet[i].Count
	}
	return &world{
		clock: clock{now: origin}, file: f, start: start, recorder: stats.NewRecorder(time.Duration(f.Length)),
		turn: stats.Turn{Spread: loadspread.New(nodes)}, pairs: map[pair]bool{},
	}
}

// breach notes that a rule was broken.
func (w *world) breach(format string, args ...any) {
	if w.turn.Breaches++; w.turn.Breaches == 1 {
		w.turn.Breach = fmt.Sprintf("at %v: ", (w.now-w.start).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
	}
}

// Play plays a scenario for one contender, once.
func Play(f *scenario.File, contender string, repeat int) (stats.Turn, error) {
	seed := uint64(f.Seed)*1000003 + uint64(repeat)
	w := newWorld(f, origin+time.Duration(f.Warmup))
	w.rng = rand.New(rand.NewPCG(seed, 3))
	w.turn.Contender, w.turn.Repeat, w.turn.Seconds = contender, repeat, time.Duration(f.Length).Seconds()
	for i := range f.Fleet {
		g := &f.Fleet[i]
		for k := range g.Count {
			w.nodes = append(w.nodes, &node{Group: g, w: w, index: len(w.nodes), name: g.Node(k), started: -1, slow: 1, readAt: origin})
		}
	}
	for rank := range f.Balancers {
		b, err := w.newBalancer(contender, rank, seed+uint64(rank)*7919)
		if err != nil {
			return stats.Turn{}, err
		}
		w.balancers = append(w.balancers, b)
	}
	w.divide()
	w.list()
	for i := range f.Load {
		if f.Load[i].Closed > 0 {
			w.closed(i, seed)
		} else {
			w.open(i, f.NewArrivals(i, seed))
		}
	}
	for _, t := range f.Troubles {
		w.after(w.start+time.Duration(t.At)-w.now, func() { w.trouble(t, true) })
		if t.For > 0 {
			w.after(w.start+time.Duration(t.At+t.For)-w.now, func() { w.trouble(t, false) })
		}
	}
	w.after(0, w.sample)
	longest := time.Duration(0)
	for _, l := range f.Load {
		longest = max(longest, time.Duration(l.Deadline))
	}
	w.run(w.start + time.Duration(f.Length) + longest + time.Second)
	w.turn.Pairs = len(w.pairs)
	var err error
	w.turn.Blocks, err = w.recorder.Blocks()
	return w.turn, err
}

func (w *world) newBalancer(contender string, rank int, seed uint64) (simulatedBalancer, error) {
	switch contender {
	case scenario.Olivearch:
		return newModule(w, rank, seed)
	case scenario.Reverse:
		return nil, fmt.Errorf("%s is played on sockets alone", contender)
	}
	return newPlain(w, contender, seed)
}

// ask lets a client ask now, or as its meant start says.
func (w *world) ask(load int, meant time.Duration, size float64, again func()) {
	l := &w.file.Load[load]
	w.serial++
	r := &request{
		w: w, id: w.serial, load: l, meant: meant, size: size, deadline: meant + time.Duration(l.Deadline), again: again,
		balancer: w.balancers[w.drawn()],
	}
	w.after(hop, func() { r.balancer.take(r) })
}

// drawn is the balancer that a request comes to.
func (w *world) drawn() int {
	n, _ := slices.BinarySearch(w.parts, w.rng.Float64())
	return min(n, len(w.balancers)-1)
}

// divide draws which balancers are busy.
func (w *world) divide() {
	b := w.file.Busy
	parts, sum := make([]float64, len(w.balancers)), 0.0
	for i, rank := range w.rng.Perm(len(parts)) {
		if parts[rank] = 1; i < b.Count {
			parts[rank] = b.Times
		}
		sum += parts[rank]
	}
	up := 0.0
	for _, x := range parts {
		up += x / sum
		w.parts = append(w.parts, up)
	}
}

// open lets requests come as they are meant to.
func (w *world) open(load int, a *scenario.Arrivals) {
	at, size, ok := a.Next()
	if !ok {
		return
	}
	w.after(w.start+at-w.now, func() {
		w.ask(load, w.now, size, nil)
		w.open(load, a)
	})
}

// closed lets clients ask again as soon as they are answered.
func (w *world) closed(load int, seed uint64) {
	end := w.start + time.Duration(w.file.Length)
	a := w.file.NewArrivals(load, seed)
	for i := range w.file.Load[load].Closed {
		var again func()
		again = func() {
			if w.now < end {
				w.ask(load, w.now, a.Size(), again)
			}
		}
		w.after(time.Duration(i)*hop, again) // they do not begin as one
	}
}

// trouble begins or ends one.
func (w *world) trouble(t scenario.Trouble, on bool) {
	if strings.HasSuffix(t.Kind, "-list") { // a torn one changes nothing, as a silent one
		if w.silent = on; !on && w.changed {
			w.list()
		}
		return
	}
	names := w.file.Nodes(t)
	for _, n := range w.nodes {
		if !slices.Contains(names, n.name) {
			continue
		}
		switch t.Kind {
		case "slow":
			if n.slow = 1; on {
				n.slow = t.Factor
			}
		case "neighbour":
			if n.taken = 0; on {
				n.taken = min(t.Cores, n.Cores)
			}
			n.next()
		case "stall":
			n.stall(on)
		case "black-hole":
			n.hole = on
		case "crash":
			if on {
				n.crash()
			} else {
				n.restart()
				w.list()
			}
		case "drain":
			n.draining = on
			w.list()
		}
	}
}

// list tells all balancers what the lists say now.
func (w *world) list() {
	if w.changed = w.silent; w.silent {
		return
	}
	for _, n := range w.nodes {
		if n.draining && n.toldAt == 0 {
			n.toldAt = w.now + listDelay
		} else if !n.draining {
			n.toldAt = 0
		}
	}
	if w.now == origin { // known at the start
		for _, b := range w.balancers {
			b.list(w.nodes)
		}
		return
	}
	w.after(listDelay, func() {
		for _, b := range w.balancers {
			b.list(w.nodes)
		}
	})
}

// sample notes what goes on at the nodes, for the plots.
func (w *world) sample() {
	if w.now > w.start+time.Duration(w.file.Length) {
		return
	}
	for _, n := range w.nodes[:min(len(w.nodes), sampleMost)] {
		s := stats.NodeSample{AtMS: (w.now - w.start).Milliseconds(), Node: n.name, Runs: n.runs}
		w.balancers[0].sample(n, &s)
		w.turn.Nodes = append(w.turn.Nodes, s)
	}
	w.after(sampleEvery, w.sample)
}
