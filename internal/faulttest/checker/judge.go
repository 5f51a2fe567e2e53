// Package judge finds breaches of the four rules over all processes of a ground together, by what clients, nodes and the relay
// between them saw, never by the program's own accounting. It reads records after the run, in the order of their times; it does no
// I/O and has no clock.
package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"olivearch/internal/faulttest/event"
)

// Rule is one of the four that hold on every path, or that the dead are silent.
type Rule int

// The rules.
const (
	DeadSilent Rule = iota // nothing comes from a process that has ended
	OneAnswer              // what is taken gets exactly one final answer in the client's time
	RunsOnce               // nothing that may have run runs again beyond what its class allows, never two attempts at once
	DrainsKept             // nothing new to a node later than the grace after this balancer was told
	NoTipping              // no cold node is pushed over by all balancers together
)

var names = [...]string{"the dead are silent", "one answer in time", "runs once", "drains kept", "no cold node pushed over"}

func (r Rule) String() string { return names[r] }

// Breach is one break of a rule.
type Breach struct {
	Rule     Rule
	At       int64 // ns of the monotonic clock
	Balancer int   // -1: of no single one
	What     string
}

// Kind says what a record is about.
type Kind uint8

// The kinds. In brackets stand the fields that count beside At.
const (
	Asked     Kind = iota // [ID, First, Balancer, Effect, Limit]
	Answered              // Status 0: the connection ended without an answer [ID, Status, Stamp, Fresh]
	Got                   // a request's last byte has come to a node [ID, Node, Balancer, SentBegin, SentEnd, OutUntil, Work]
	TurnedOff             // [ID, Node]
	Ran                   // [ID, Node, Stamp]
	Due                   // all balancers count as told that a node leaves, since the list has had it for so long [Node, Had]
	Told                  // a list that said so of a node was written to a balancer [Balancer, Node, Leaves]
	Born                  // a process of a balancer was started: nothing counts that the one before was told [Balancer]
	Died                  // and has ended [Balancer]
	Started               // a node began, cold [Node]
)

// Record is one thing that was seen. Times are nanoseconds of one monotonic clock.
type Record struct {
	Kind      Kind
	At        int64
	ID        uint64
	First     uint64 // the ID of the client's first try; 0: this is it
	Balancer  int
	Node      int
	Effect    event.Effect
	Status    int
	Stamp     uint64
	Limit     int64
	Work      int64
	SentBegin int64 // when the balancer sent the first byte
	SentEnd   int64 // and the last
	OutUntil  int64 // when the balancer had the answer, or closed the connection; 0: never
	Had       int64 // when the list service had what is due
	Fresh     bool  // the connection had carried no request before
	Leaves    bool  // it drains or is gone; else it is up
}

// Window is a time in which something was done to a balancer.
type Window struct {
	Balancer int
	From, To int64
}

// goneWithin is how long after a client's connection has ended an attempt may still begin.
const goneWithin = 100 * time.Millisecond

// Rules are the figures of the rules.
type Rules struct {
	Grace       time.Duration // after a drain was told
	Slack       time.Duration // of every limit of time
	Cores       int           // of a node
	ColdFrom    float64       // part of its speed at which a node starts
	Ramp        time.Duration // until it is warm
	TipMultiple float64       // of what a cold node can do
	TipAfter    time.Duration // the window in which that counts
}

// Judge takes records in any order.
type Judge struct {
	rules   Rules
	records []Record
	excuses []Window // answers may be late or lost
	holds   []Window // what is told reaches the process at the end only
	lag     func(from, to int64) time.Duration
}

// New returns a Judge. lag is by how much the ground itself may have made late what happened between two times; nil: by nothing.
func New(r Rules, lag func(from, to int64) time.Duration) *Judge {
	if lag == nil {
		lag = func(int64, int64) time.Duration { return 0 }
	}
	return &Judge{rules: r, lag: lag}
}

// Add takes a record.
func (j *Judge) Add(r Record) { j.records = append(j.records, r) }

// Excuse says that a balancer's answers may be late or lost in a window: it was killed, stopped, or cut off from clients.
func (j *Judge) Excuse(w Window) { j.excuses = append(j.excuses, w) }

// Hold says that what is told to a balancer in a window comes to it at its end: it was stopped, or cut off from the list.
func (j *Judge) Hold(w Window) { j.holds = append(j.holds, w) }

// Verdict is what a run came to.
type Verdict struct {
	Asked, Served, Refused, Failed int
	Lost                           int // no answer, and an excuse
	Crossed                        int // a connection that had been used closed as the request came, and no node got it
	Executions                     int
	Due                            int   // words that counted as told to all balancers
	Twice                          int   // requests whose tries ran more than once together
	Ends                           []End // of all requests
	Breaches                       []Breach
	Blurred                        []Breach // limits of time that were passed by less than the ground's own delay
}

// End is what became of a request: when it was asked, how it was answered (Status 0: not) and how long that took.
type End struct {
	At     int64
	Status int
	Took   int64
}

// request is what became of one.
type request struct {
	Record
	answered int64 // 0: not yet
	status   int
	lost     bool
	crossed  bool // its connection had been used before, and may have been closed as it came
	got      []*attempt
	stamps   []uint64
	ran      int
}

// attempt is an arrival at a node.
type attempt struct {
	Record
	turnedOff bool
}

// balancer is what one was told, and whether it lives.
type balancer struct {
	leaves map[int]int64 // node -> since when it is known to leave
	diedAt int64         // 0: it lives
	bornAt int64         // 0: before the load
}

type run struct {
	*Judge
	v         Verdict
	requests  map[uint64]*request
	balancers map[int]*balancer
	cold      map[int]*coldNode
	end       int64
}

// Verdict reads all that was recorded up to a time.
func (j *Judge) Verdict(end int64) Verdict {
	records := j.heard()
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Or(cmp.Compare(a.when(), b.when()), cmp.Compare(a.Kind, b.Kind)) })
	x := &run{Judge: j, requests: map[uint64]*request{}, balancers: map[int]*balancer{}, cold: map[int]*coldNode{}, end: end}
	for i := range records { // processes do not see each other's clock tick: a request is known before it arrives anywhere
		if r := records[i]; r.Kind == Asked {
			x.requests[r.ID] = &request{Record: r}
		}
	}
	for _, r := range records {
		x.take(r)
	}
	x.close()
	return x.v
}

// when orders records: a request counts at a node from when it was sent, as a delay on its way is no balancer's.
func (r *Record) when() int64 {
	if r.Kind == Got && r.SentBegin > 0 {
		return r.SentBegin
	}
	return r.At
}

// heard returns the records with the times at which what was told reached its balancer. A cut may hold back one direction only, so a
// word that a node is up counts from when it was written, and one that it leaves from when it is sure to have come: not at all, if
// the other word came meanwhile.
func (j *Judge) heard() []Record {
	type about struct{ balancer, node int }
	up := map[about][]int64{}
	for _, r := range j.records {
		if r.Kind == Told && !r.Leaves {
			key := about{r.Balancer, r.Node}
			up[key] = append(up[key], r.At)
		}
	}
	records := make([]Record, 0, len(j.records))
	for _, r := range j.records {
		if r.Kind == Told && r.Leaves {
			written := r.At
			r.At = j.reaches(r.Balancer, written)
			if slices.ContainsFunc(up[about{r.Balancer, r.Node}], func(at int64) bool { return at > written && at <= r.At }) {
				continue
			}
		}
		records = append(records, r)
	}
	return records
}

// reaches is when a process could read what was written to it at a time.
func (j *Judge) reaches(balancer int, at int64) int64 {
	for moved := true; moved; {
		moved = false
		for _, w := range j.holds {
			if w.Balancer == balancer && at >= w.From && at < w.To {
				at, moved = w.To, true
			}
		}
	}
	return at
}

func (j *Judge) excused(balancer int, from, to int64) bool {
	return slices.ContainsFunc(j.excuses, func(w Window) bool { return w.Balancer == balancer && w.From <= to && w.To >= from })
}

// breach notes one. over is by how much a limit of time was passed, in a span from a time on; 0: it is no matter of time.
func (x *run) breach(rule Rule, at int64, balancer int, over, from int64, format string, args ...any) {
	b := Breach{rule, at, balancer, fmt.Sprintf(format, args...)}
	if over > 0 && over <= int64(x.lag(from, at)) {
		x.v.Blurred = append(x.v.Blurred, b)
		return
	}
	x.v.Breaches = append(x.v.Breaches, b)
}

func (x *run) balancer(i int) *balancer {
	b := x.balancers[i]
	if b == nil {
		b = &balancer{leaves: map[int]int64{}}
		x.balancers[i] = b
	}
	return b
}

func ms(ns int64) time.Duration { return time.Duration(ns).Round(time.Millisecond) }

func (x *run) take(r Record) {
	switch r.Kind {
	case Answered:
		x.answer(r)
	case Got:
		x.arrive(r)
	case TurnedOff:
		if q := x.requests[r.ID]; q != nil {
			for _, a := range slices.Backward(q.got) {
				if a.Node == r.Node && !a.turnedOff {
					a.turnedOff = true
					break
				}
			}
		}
	case Ran:
		x.v.Executions++
		if q := x.requests[r.ID]; q != nil {
			q.stamps = append(q.stamps, r.Stamp)
			q.ran++
		}
	case Told:
		b := x.balancer(r.Balancer)
		if _, already := b.leaves[r.Node]; !r.Leaves {
			delete(b.leaves, r.Node)
		} else if !already {
			b.leaves[r.Node] = r.At
		}
	case Due: // to all but those that could not ask all that time
		x.v.Due++
		for i, b := range x.balancers {
			held := slices.ContainsFunc(x.holds, func(w Window) bool { return w.Balancer == i && w.From <= r.At && w.To >= r.Had })
			if _, already := b.leaves[r.Node]; !already && !held && b.bornAt <= r.Had {
				b.leaves[r.Node] = r.At
			}
		}
	case Born:
		x.balancers[r.Balancer] = &balancer{leaves: map[int]int64{}, bornAt: r.At}
	case Died:
		x.balancer(r.Balancer).diedAt = r.At
	case Started:
		x.cold[r.Node] = &coldNode{since: r.At}
	}
}

// arrive judges a request that has come to a node by what its balancer knew when it sent it.
func (x *run) arrive(r Record) {
	slack := int64(x.rules.Slack)
	b := x.balancer(r.Balancer)
	if over := r.SentBegin - b.diedAt - slack; b.diedAt > 0 && over > 0 {
		x.breach(DeadSilent, r.SentBegin, r.Balancer, over, b.diedAt, "request %016x came from b-%d %v after its process had ended", r.ID, r.Balancer, ms(r.SentBegin-b.diedAt))
	}
	if since, leaves := b.leaves[r.Node]; leaves {
		if over := r.SentBegin - since - int64(x.rules.Grace) - slack; over > 0 {
			x.breach(DrainsKept, r.SentBegin, r.Balancer, over, since, "b-%d sent request %016x to n-%d %v after it was told that it leaves", r.Balancer, r.ID, r.Node, ms(r.SentBegin-since))
		}
	}
	x.chill(r)
	q := x.requests[r.ID]
	if q == nil {
		x.breach(RunsOnce, r.SentBegin, r.Balancer, 0, 0, "n-%d got request %016x from b-%d, which no client sent", r.Node, r.ID, r.Balancer)
		return
	}
	q.got = append(q.got, &attempt{Record: r})
}

func (x *run) answer(r Record) {
	q := x.requests[r.ID]
	switch {
	case q == nil:
		x.breach(OneAnswer, r.At, r.Balancer, 0, 0, "an answer to request %016x, which nobody sent", r.ID)
	case q.answered > 0:
		x.breach(OneAnswer, r.At, q.Balancer, 0, 0, "request %016x has a second answer", r.ID)
	default:
		q.answered, q.status, q.lost = r.At, r.Status, r.Status == 0
		q.crossed = q.lost && !r.Fresh
		q.Stamp = r.Stamp
	}
}

// close judges each request as a whole.
func (x *run) close() {
	byFirst := map[uint64][]*request{}
	ids := make([]uint64, 0, len(x.requests))
	for id, q := range x.requests {
		ids = append(ids, id)
		first := cmp.Or(q.First, q.ID)
		byFirst[first] = append(byFirst[first], q)
	}
	slices.SortFunc(ids, func(a, b uint64) int { return cmp.Compare(x.requests[a].At, x.requests[b].At) })
	for _, id := range ids {
		q := x.requests[id]
		x.v.Asked++
		x.v.Ends = append(x.v.Ends, End{q.At, q.status, q.answered - q.At})
		x.outcome(q, byFirst[cmp.Or(q.First, q.ID)])
		x.attempts(q)
	}
	for first, tries := range byFirst {
		ran := 0
		for _, q := range tries {
			ran += q.ran
		}
		if ran > 1 {
			x.v.Twice++
			if tries[0].Effect == event.Keyed {
				x.breach(RunsOnce, tries[0].At, tries[0].Balancer, 0, 0, "keyed request %016x ran %d times", first, ran)
			}
		}
	}
	slices.SortStableFunc(x.v.Breaches, func(a, b Breach) int { return cmp.Compare(a.At, b.At) })
}

// outcome judges the final answer.
func (x *run) outcome(q *request, tries []*request) {
	due := q.At + q.Limit + int64(x.rules.Slack)
	excused := x.excused(q.Balancer, q.At, due)
	mayHaveRun := slices.ContainsFunc(q.got, func(a *attempt) bool { return !a.turnedOff })
	switch {
	case q.answered == 0 && x.end <= due: // its time is not over
		x.v.Lost++
		return
	case q.answered == 0 || q.lost:
		switch {
		case excused:
			x.v.Lost++
		case q.crossed && len(q.got) == 0:
			x.v.Crossed++
		default:
			x.breach(OneAnswer, cmp.Or(q.answered, due), q.Balancer, 0, 0, "request %016x, taken by b-%d, has no answer", q.ID, q.Balancer)
		}
		return
	}
	if over := q.answered - due; over > 0 && !excused {
		x.breach(OneAnswer, q.answered, q.Balancer, over, q.At, "request %016x was answered by b-%d %v after its deadline", q.ID, q.Balancer, ms(q.answered-q.At-q.Limit))
	}
	switch q.status {
	case 200:
		x.v.Served++
		made := slices.Contains(q.stamps, q.Stamp)
		if q.Effect == event.Keyed { // a repeat is answered with what its first try brought
			made = slices.ContainsFunc(tries, func(t *request) bool { return slices.Contains(t.stamps, q.Stamp) })
		}
		if !made {
			x.breach(OneAnswer, q.answered, q.Balancer, 0, 0, "request %016x was served by b-%d with what no node made for it", q.ID, q.Balancer)
		}
	case 429, 503:
		x.v.Refused++
		if mayHaveRun && q.Effect == event.Unsafe {
			x.breach(RunsOnce, q.answered, q.Balancer, 0, 0, "request %016x was refused by b-%d, which promises that it never ran, and came to n-%d", q.ID, q.Balancer, q.got[0].Node)
		}
	default:
		x.v.Failed++
	}
}

// attempts judges what was sent for a request, among itself and against its answer.
func (x *run) attempts(q *request) {
	slack := int64(x.rules.Slack)
	slices.SortFunc(q.got, func(a, b *attempt) int { return cmp.Compare(a.SentEnd, b.SentEnd) })
	for i, a := range q.got {
		if over := a.SentBegin - q.answered - slack; q.answered > 0 && !q.lost && over > 0 {
			x.breach(OneAnswer, a.SentBegin, a.Balancer, over, q.answered, "b-%d sent request %016x to n-%d %v after its final answer, which came %v after it was asked; it came there %v after it was sent", a.Balancer, q.ID, a.Node, ms(a.SentBegin-q.answered), ms(q.answered-q.At), ms(a.At-a.SentBegin))
		}
		if over := a.SentBegin - q.answered - int64(goneWithin) - slack; q.lost && over > 0 && !x.excused(q.Balancer, q.answered, q.answered) {
			x.breach(OneAnswer, a.SentBegin, a.Balancer, over, q.answered, "b-%d sent request %016x to n-%d %v after its client had gone", a.Balancer, q.ID, a.Node, ms(a.SentBegin-q.answered))
		}
		for _, before := range q.got[:i] {
			until := before.OutUntil
			if until == 0 {
				until = math.MaxInt64
			}
			if over := until - a.SentEnd - slack; over > 0 && !before.turnedOff {
				x.breach(RunsOnce, a.SentEnd, a.Balancer, min(over, int64(time.Hour)), a.SentEnd-slack, "request %016x was out at n-%d and n-%d at once", q.ID, before.Node, a.Node)
			}
			if !before.turnedOff && q.Effect == event.Unsafe {
				x.breach(RunsOnce, a.SentEnd, a.Balancer, 0, 0, "request %016x may have run at n-%d and was sent again, to n-%d", q.ID, before.Node, a.Node)
			}
		}
	}
	if q.ran > 1 && q.Effect == event.Unsafe {
		x.breach(RunsOnce, q.At, q.Balancer, 0, 0, "request %016x ran %d times", q.ID, q.ran)
	}
}
