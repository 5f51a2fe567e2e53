package emulator

import (
	"slices"
	"time"

	"olivearch/internal/lbpolicy"
	"olivearch/internal/scenario"
)

// reply is what comes back of one attempt.
type reply uint8

// The replies.
const (
	answered reply = iota
	full           // turned away unseen
	refused        // no connection: nobody listens
	reset          // the connection was lost after the request had been sent
)

// report is what a node says of its load.
type report struct {
	known              bool
	util, qps, latency float64
}

// job is one attempt at a node.
type job struct {
	request *request
	size    float64
	came    time.Duration
	found   int                 // in flight when it came
	back    func(reply, report) // called at the node's moment; the way back is the caller's
}

// node is a server of the fleet in simulated time: the same model as internal/standin/fleet's on sockets.
type node struct {
	*scenario.Group
	w        *world
	index    int
	name     string
	started  time.Duration // of the process, cold since then; below zero: it is warm
	down     bool
	draining bool
	toldAt   time.Duration // since when the lists say that it drains
	stalled  bool
	hole     bool // what comes is gone
	slow     float64
	taken    int // cores that a neighbour keeps busy
	working  []*job
	waiting  []*job
	stuck    []*job // taken while it is stalled
	fallen   bool
	sent     []load
	life     int // of the process: work of an earlier one is gone
	runs     int
	busy     time.Duration
	latency  float64 // mean of late, ms
	recent   lbpolicy.Latencies
	readAt   time.Duration
	runsRead int
	last     report
}

// load is work that came to a cold node, in core seconds at full speed.
type load struct {
	at   time.Duration
	work float64
}

// inflight is what it holds.
func (n *node) inflight() int { return len(n.working) + len(n.waiting) + len(n.stuck) }

// speed is the part of its full speed that it has.
func (n *node) speed() float64 {
	ramp := time.Duration(n.RampTime)
	switch since := n.w.now - n.started; {
	case n.fallen:
		return 0
	case n.started < 0 || ramp == 0 || since >= ramp:
		return 1 / n.slow
	default:
		return (n.ColdFrom + (1-n.ColdFrom)*float64(since)/float64(ramp)) / n.slow
	}
}

// take receives an attempt.
func (n *node) take(j *job) {
	switch {
	case n.down:
		j.back(refused, report{})
		return
	case n.draining && n.w.now > n.toldAt+drainGrace+slack:
		n.w.breach("request began at node %s %v after the drain was told", n.name, n.w.now-n.toldAt)
	}
	if n.hole {
		return
	}
	j.request.arrived(n)
	n.w.turn.Spread.Add(n.index, n.w.now-n.w.start)
	n.w.pairs[pair{j.request.balancer, n}] = true
	if n.inflight() >= n.Cores+n.Queue && !n.stalled {
		j.request.mayHave--
		j.back(full, n.report())
		return
	}
	n.chill(j)
	j.came, j.found = n.w.now, n.inflight()
	if n.stalled {
		n.stuck = append(n.stuck, j)
		return
	}
	n.waiting = append(n.waiting, j)
	n.next()
}

// chill books work that comes while the node is cold, and finds whether it pushes it over.
func (n *node) chill(j *job) {
	ramp, window := time.Duration(n.RampTime), time.Duration(n.TipAfter)
	if n.started < 0 || n.w.now-n.started >= ramp || n.fallen || n.TipMultiple == 0 {
		return
	}
	n.sent = append(n.sent, load{n.w.now, j.size * time.Duration(n.Service).Seconds()})
	sum := 0.0
	for len(n.sent) > 0 && n.w.now-n.sent[0].at > window {
		n.sent = n.sent[1:]
	}
	for _, x := range n.sent {
		sum += x.work
	}
	if bears := n.TipMultiple * n.speed() * float64(n.Cores) * window.Seconds(); sum > bears {
		n.fallen = true
		n.w.breach("cold node %s was sent %.2f core seconds and bears %.2f", n.name, sum, bears)
	}
}

// next starts work while cores are free.
func (n *node) next() {
	for len(n.waiting) > 0 && len(n.working) < n.Cores-n.taken && !n.stalled && !n.fallen {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.working = append(n.working, j)
		took := time.Duration(float64(n.Service) * j.size / n.speed())
		life := n.life
		n.w.after(took, func() {
			if n.life != life {
				return
			}
			n.working = slices.DeleteFunc(n.working, func(x *job) bool { return x == j })
			n.runs++
			n.busy += took
			n.latency += ((n.w.now-j.came).Seconds()*1000 - n.latency) / 8
			n.recent.Add(j.found, n.w.now-j.came)
			j.request.executed(n)
			j.back(answered, n.report())
			n.next()
		})
	}
}

// report is what goes with an answer; it is refreshed now and then, as real ones are.
func (n *node) report() report {
	if n.Reports == 0 {
		return report{}
	}
	if since := n.w.now - n.readAt; since >= time.Duration(n.Reports) {
		n.last = report{
			known: true, util: min(1, (n.busy.Seconds()/since.Seconds()+float64(n.taken))/float64(n.Cores)),
			qps: float64(n.runs-n.runsRead) / since.Seconds(), latency: n.latency,
		}
		n.readAt, n.busy, n.runsRead = n.w.now, 0, n.runs
	}
	return n.last
}

// crash ends the process: what it had is gone.
func (n *node) crash() {
	n.down = true
	n.life++
	lost := slices.Concat(n.working, n.waiting, n.stuck)
	n.working, n.waiting, n.stuck = nil, nil, nil
	for _, j := range lost {
		j.back(reset, report{})
	}
}

// restart starts it again, cold.
func (n *node) restart() {
	n.down, n.fallen, n.sent, n.stalled, n.hole, n.taken = false, false, nil, false, false, 0
	n.started, n.readAt, n.busy, n.last = n.w.now, n.w.now, 0, report{}
}

// stall makes it take requests and answer none, until it is told otherwise. What works goes on.
func (n *node) stall(on bool) {
	if n.stalled = on; !on {
		n.waiting = append(n.waiting, n.stuck...)
		n.stuck = nil
		n.next()
	}
}
