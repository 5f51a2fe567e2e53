// Package fleet is a stand-in fleet of nodes, clients that ask through a balancer, and a judge. The judge goes by what it
// sees on the sockets of nodes and clients alone, never by the balancer's own accounting.
package fleet

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Effect says whether a request may run more than once.
type Effect uint8

// The effects.
const (
	Unsafe Effect = iota // must never run twice
	Safe
)

// Rule is one of the four that hold on every path.
type Rule int

// The rules.
const (
	OneAnswer  Rule = 1 + iota // what is taken gets exactly one final answer in the client's time
	RunsOnce                   // nothing that may have run runs again beyond what its class allows, never two attempts at once
	DrainsKept                 // nothing new to a node later than the grace after the balancer was told
	NoTipping                  // no cold node is pushed over
)

var ruleNames = map[Rule]string{OneAnswer: "one answer in time", RunsOnce: "runs once", DrainsKept: "drains kept", NoTipping: "no cold node pushed over"}

func (r Rule) String() string { return ruleNames[r] }

// Breach is one break of a rule.
type Breach struct {
	Rule Rule
	At   time.Duration // since the judge was made
	What string
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d (%s) at %.3f s: %s", b.Rule, b.Rule, b.At.Seconds(), b.What)
}

// Slack is what a final answer may be later than the client's deadline, and a send later than the drain's grace: the
// clocks here and there are read at different moments.
const Slack = 50 * time.Millisecond

// asked is a client's request.
type asked struct {
	effect    Effect
	at        time.Duration
	deadline  time.Duration
	answers   int
	status    int
	mayHave   int // attempts that may have run
	executed  int
	open      []*attempt // attempts that are still out
	bodies    []string
	closedAt  time.Duration
	abandoned bool // its client has gone: nothing is owed
}

// attempt is one arrival of a request at a node.
type attempt struct {
	id, node  string
	overlapAt time.Duration // when another came while this one was out; 0: none did
}

// A balancer that gives up an attempt closes its connection, which the node sees a moment later. An earlier attempt may
// therefore end within Slack after the next has come, but not with an answer later than settled after it.
const settled = 5 * time.Millisecond

// Judge hears of everything that happens at clients and nodes and finds the breaches. Its methods may be called from any
// goroutine.
type Judge struct {
	mu       sync.Mutex
	clock    *processClock
	grace    time.Duration
	asked    map[string]*asked
	told     map[string]time.Duration // nodes that drain, since when
	breaches []Breach
	extra    int // breaches that are not kept one by one
	runs     int
}

// NewJudge returns a Judge that allows sends for the grace after a drain.
func NewJudge(grace time.Duration) *Judge {
	return &Judge{clock: newProcessClock(), grace: grace, asked: map[string]*asked{}, told: map[string]time.Duration{}}
}

// maxBreaches bounds what is kept: one fault may show in every request.
const maxBreaches = 100

// Close releases what the judge holds. Nothing is judged afterwards.
func (j *Judge) Close() { j.clock.stopTicking() }

func (j *Judge) now() time.Duration { return j.clock.now() }

// breach notes a breach. The caller holds the lock.
func (j *Judge) breach(rule Rule, format string, args ...any) {
	if len(j.breaches) >= maxBreaches {
		j.extra++
		return
	}
	j.breaches = append(j.breaches, Breach{rule, j.now(), fmt.Sprintf(format, args...)})
}

// Asked notes that the last byte of a request has left its client.
func (j *Judge) Asked(id string, effect Effect, deadline time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.asked[id] = &asked{effect: effect, at: j.now(), deadline: deadline}
}

// Answered notes a client's final answer, with the body of a served one. Status 0 is a connection that ended with none.
func (j *Judge) Answered(id string, status int, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a, now := j.asked[id], j.now()
	if a == nil {
		j.breach(OneAnswer, "an answer to %s, which nobody asked", id)
		return
	}
	if status == 0 {
		j.breach(OneAnswer, "request %s was lost: its connection ended with no answer", id)
		a.answers, a.closedAt = a.answers+1, now
		return
	}
	if a.answers++; a.answers > 1 {
		j.breach(OneAnswer, "request %s has %d answers", id, a.answers)
		return
	}
	a.status, a.closedAt = status, now
	if late := now - a.at - a.deadline; late > Slack {
		j.breach(OneAnswer, "request %s was answered %v after its deadline", id, late.Round(time.Millisecond))
	}
	switch {
	case status == 200 && !slices.Contains(a.bodies, body):
		j.breach(OneAnswer, "request %s was served with %.60q, which no node answered to it", id, body)
	case (status == 429 || status == 503) && a.effect == Unsafe && a.mayHave > 0:
		j.breach(RunsOnce, "request %s was refused, which promises that it never ran, and may have run", id)
	}
}

// Left notes that a client has closed its connection before the answer.
func (j *Judge) Left(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a := j.asked[id]; a != nil {
		a.abandoned = true
	}
}

// arrived notes that a request's last byte has come to a node, which began at the time given.
func (j *Judge) arrived(node, id string, began time.Duration) *attempt {
	j.mu.Lock()
	defer j.mu.Unlock()
	if at, drains := j.told[node]; drains && began > at+j.grace+Slack {
		j.breach(DrainsKept, "request %s began at node %s %v after the balancer was told that it drains", id, node, (began - at).Round(time.Millisecond))
	}
	a := j.asked[id]
	if a == nil {
		j.breach(RunsOnce, "node %s got request %q, which no client sent", node, id)
		return &attempt{id: id, node: node}
	}
	for _, x := range a.open {
		if x.overlapAt == 0 {
			x.overlapAt = j.now()
		}
	}
	if a.mayHave > 0 && a.effect == Unsafe {
		j.breach(RunsOnce, "request %s may have run and was sent again, to node %s", id, node)
	}
	if a.answers > 0 && began > a.closedAt+Slack {
		j.breach(OneAnswer, "request %s came to node %s after its final answer", id, node)
	}
	x := &attempt{id: id, node: node}
	a.open = append(a.open, x)
	a.mayHave++
	return x
}

// notRun notes that a node has turned a request away unseen.
func (j *Judge) notRun(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a := j.asked[id]; a != nil {
		a.mayHave--
	}
}

// executed notes that a node has done a request's work, and what it answers.
func (j *Judge) executed(node, id, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs++
	a := j.asked[id]
	if a == nil {
		return // told when it arrived
	}
	a.bodies = append(a.bodies, body)
	if a.executed++; a.executed > 1 && a.effect == Unsafe {
		j.breach(RunsOnce, "request %s ran %d times, the last time at node %s", id, a.executed, node)
	}
}

// ended notes that an attempt is over: it was answered, or its connection was given up.
func (j *Judge) ended(x *attempt, answered bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.asked[x.id]
	if a == nil {
		return
	}
	a.open = slices.DeleteFunc(a.open, func(y *attempt) bool { return y == x })
	if after := j.now() - x.overlapAt; x.overlapAt > 0 && (after > Slack || (answered && after > settled)) {
		j.breach(RunsOnce, "request %s was out twice at once, first at node %s", x.id, x.node)
	}
}

// Told notes that the balancer has been told that nodes drain or are gone.
func (j *Judge) Told(nodes ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, node := range nodes {
		if _, already := j.told[node]; !already {
			j.told[node] = j.now()
		}
	}
}

// Back notes that nodes are listed as up again.
func (j *Judge) Back(nodes ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, node := range nodes {
		delete(j.told, node)
	}
}

// tipped notes that a cold node was sent more than it can bear.
func (j *Judge) tipped(node string, sent, bears float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach(NoTipping, "cold node %s was sent %.2f core seconds of work in the window and bears %.2f", node, sent, bears)
}

// Summary counts what became of requests.
type Summary struct {
	Asked, Served, Refused, Failed int
	InAim                          int // served within the aim, by the client's clock
	Executions                     int
	PerRequest                     float64 // executions by served requests
	Breaches                       []Breach
	Further                        int // breaches that were not kept one by one
}

// Verdict ends the judging: what has no answer by now is lost if its client's time is over.
func (j *Judge) Verdict(aim time.Duration) Summary {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Summary{Asked: len(j.asked), Executions: j.runs}
	now := j.now()
	for id, a := range j.asked {
		switch {
		case a.answers == 0 && !a.abandoned && now > a.at+a.deadline+Slack:
			j.breach(OneAnswer, "request %s has no answer", id)
		case a.status == 429 || a.status == 503:
			s.Refused++
		case a.status >= 200 && a.status < 300:
			s.Served++
			if a.closedAt-a.at <= aim {
				s.InAim++
			}
		default:
			s.Failed++
		}
	}
	if s.Served > 0 {
		s.PerRequest = float64(s.Executions) / float64(s.Served)
	}
	s.Breaches, s.Further = slices.Clone(j.breaches), j.extra
	return s
}
