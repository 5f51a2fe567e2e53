// Package crowd has the stand-ins of a proving ground, each kind in one process of its own: many nodes, many clients, and peers that
// talk to each other. They are lean (hundreds of nodes and thousands of requests a second take part of a core), are told what to do
// by commands on standard input, and tell what they see by events on standard output.
package fleetsim

import (
	"encoding/gob"
	"fmt"
	"io"
	"time"

	"olivearch/internal/faulttest/event"
)

// The kinds of process.
const (
	RoleNodes   = "ground-nodes"
	RoleClients = "ground-clients"
	RolePeer    = "ground-peer"
	RoleHoles   = "ground-holes"
)

// FirstPeer is the number of the first peer among the relay's callers; balancers begin at 0.
const FirstPeer = 61000

// Verb is what a command says.
type Verb uint8

// The verbs. In brackets stand the fields that count.
const (
	Boot      Verb = iota // a node begins [Node, Cold]
	Crash                 // a node's process dies [Node]
	Stall                 // a node takes requests and answers none [Node, On]
	Slow                  // a node's work takes so many times longer [Node, Factor]
	Duplicate             // a share of a node's responses comes a second time [Node, Share, Delay, Jitter]
	Targets               // where balancers are reached [Addresses]
	Ask                   // clients begin
	Mates                 // where a peer reaches the others [Addresses]
	Dig                   // addresses at which no connection may come up; Ready follows [Addresses]
	Fill                  // addresses at which they may again; Ready follows [Addresses]
)

// Command is what a stand-in is told.
type Command struct {
	Verb      Verb
	Node      int32
	Cold      bool
	On        bool
	Factor    float64
	Share     float64
	Delay     time.Duration
	Jitter    time.Duration
	Addresses []string
}

// Spec is what a stand-in is told at its start.
type Spec struct {
	Role string
	Seed uint64
	// Nodes.
	Count   int
	Cores   int
	Queue   int
	Reports time.Duration
	Late    time.Duration // how old a report is when it is told
	// A node's cold start.
	ColdFrom float64
	Ramp     time.Duration
	// Clients, and peers.
	Balancers int
	Rate      float64   // of peers
	Rates     []float64 // of clients, a second, by balancer
	Length    time.Duration
	Effect    event.Effect
	Work      time.Duration
	Deadline  time.Duration
	Retries   int
	// A peer's own number.
	Rank int
}

// Run is a stand-in's whole life: it ends when its input does.
func Run(in io.Reader, out io.Writer) error {
	commands := gob.NewDecoder(in)
	var s Spec
	if err := commands.Decode(&s); err != nil {
		return fmt.Errorf("reading what to be: %w", err)
	}
	tell := event.NewWriter(out)
	var obey func(Command) error
	switch s.Role {
	case RoleNodes:
		obey = newNodes(s, tell).obey
	case RoleClients:
		obey = newClients(s, tell).obey
	case RoleHoles:
		obey = newHoles(tell).obey
	case RolePeer:
		p, err := newPeer(s, tell)
		if err != nil {
			return err
		}
		obey = p.obey
	default:
		return fmt.Errorf("there is no stand-in %q", s.Role)
	}
	for {
		var c Command
		switch err := commands.Decode(&c); err {
		case nil:
			if err := obey(c); err != nil {
				tell.Tell(event.Event{Kind: event.Error, Text: err.Error()})
				return tell.Flush()
			}
		case io.EOF:
			return tell.Flush()
		default:
			return fmt.Errorf("reading commands: %w", err)
		}
	}
}
