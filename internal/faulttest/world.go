// Package ground is a proving ground: it starts real processes of the program on the loopback interface, puts itself between them
// and the stand-ins of nodes, clients and list service, does to them what a script says, and has a judge look at what came of it.
package faulttest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"olivearch/internal/faulttest/checker"
	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/process"
	"olivearch/internal/faulttest/relay"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/standin/fleetsim"
)

const (
	grace     = time.Second            // after a drain was told
	slack     = 50 * time.Millisecond  // of every limit of time
	keyMemory = 60 * time.Second       // nodes remember keys for longer
	settling  = 300 * time.Millisecond // for what is still on its way once all is answered
	// The relay's callers beside the balancers, and the peers from crowd.FirstPeer on.
	clientCaller, echoCaller = 60000, 60001
	firstVoter, firstAsker   = 62000, 63000
)

var effects = map[string]event.Effect{"unsafe": event.Unsafe, "keyed": event.Keyed, "safe": event.Safe}

// world is a ground that is being played.
type world struct {
	f       *script.File
	program string
	ledger  string
	self    []string
	selfEnv []string
	folder  string
	ctx     context.Context
	cancel  context.CancelCauseFunc

	group       *process.Group
	relay       *relay.Relay
	lag         *relay.Lag
	list        *list
	listService *relay.Service
	balancers   []*balancer
	voters      []*voter
	nodes       *standin
	clients     *standin
	peers       []*standin
	peerService []*relay.Service
	services    []*relay.Service // of nodes
	firstList   []listing        // by balancer: the list as it was when the ground began
	links       *links

	mu        sync.Mutex
	ends      []func()
	over      chan struct{}  // closed when all that clients ask is answered
	booted    map[int]func() // what waits for a node to listen
	judge     *checker.Judge
	arrivals  []arrival
	done      map[doneKey]int64
	cutsShort map[int]func(balancer int) // by fault: what is done as a request has come to a node
	tallies   map[[2]int]*event.Peers
	out       map[int]bool // nodes that staff have taken out through the ledger
	counts    counts
	closing   bool
}

// counts are what the world itself counts.
type counts struct {
	untaken, restarts int
	distrusted        int // voters that ended since they did not trust their disks
	crashes           []string
	faults            map[string]int
	deaths            []checker.Record
}

// arrival is a request that came to a node, and the connection that it came on.
type arrival struct {
	record checker.Record
	conn   *relay.Conn
	begin  int64
	end    int64
	port   uint16
}

// doneKey finds the answer to an arrival.
type doneKey struct {
	id   uint64
	node int
	port uint16
}

func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, f)
}

// fail ends the play: the ground itself can't go on.
func (w *world) fail(err error) { w.cancel(err) }

func (w *world) ending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// build puts all in place but the balancers' processes.
func (w *world) build() error {
	f := w.f
	w.group = process.NewGroup()
	w.atEnd(w.group.Close)
	var holes relay.Holes
	if wanted := holesWanted(f); wanted > holesHere {
		d, err := w.newDiggers(wanted)
		if err != nil {
			return err
		}
		holes = d
	}
	w.relay = relay.New(uint64(f.Seed), f.Relay, holes)
	w.atEnd(w.relay.Close)
	w.links = newLinks(w.relay)
	w.judge = checker.New(checker.Rules{
		Grace: grace, Slack: slack, Cores: f.Nodes.Cores, ColdFrom: f.Nodes.ColdFrom, Ramp: time.Duration(f.Nodes.RampTime),
		TipMultiple: f.Nodes.TipMultiple, TipAfter: time.Duration(f.Nodes.TipAfter),
	}, func(from, to int64) time.Duration { return w.lag.Worst(from, to) })
	var err error
	if w.lag, err = w.relay.Measure(echoCaller); err != nil {
		return err
	}
	w.atEnd(w.lag.Stop)
	members := make([]member, f.Nodes.Count)
	for i := range members {
		members[i] = member{phase: "up", zone: f.Nodes.Zones[i%len(f.Nodes.Zones)], cell: i % len(f.Nodes.Zones)}
		s, err := w.relay.Serve(script.Process{Kind: script.Node, Index: i}.String())
		if err != nil {
			return err
		}
		w.services = append(w.services, s)
	}
	if w.list, err = newList(uint64(f.Seed), members, float64(f.Nodes.Cores), w.services, w.told, w.due); err != nil {
		return err
	}
	w.atEnd(w.list.close)
	w.list.answer(f.List.Answers)
	if w.listService, err = w.relay.Serve(script.ListService); err != nil {
		return err
	}
	if err := w.listService.Point(w.list.address); err != nil {
		return err
	}
	if err := w.bootNodes(); err != nil {
		return err
	}
	if err := w.startPeers(); err != nil {
		return err
	}
	if err := w.buildVoters(); err != nil {
		return err
	}
	for i := range f.Balancers.Count {
		b, err := w.newBalancer(i)
		if err != nil {
			return err
		}
		w.balancers = append(w.balancers, b)
		w.firstList = append(w.firstList, w.list.first(i))
	}
	return nil
}

func (w *world) spec(role string) fleetsim.Spec {
	f := w.f
	return fleetsim.Spec{
		Role: role, Seed: uint64(f.Seed), Count: f.Nodes.Count, Cores: f.Nodes.Cores, Queue: f.Nodes.Queue, Reports: time.Duration(f.Nodes.Reports), Late: time.Duration(f.Nodes.Late),
		ColdFrom: f.Nodes.ColdFrom, Ramp: time.Duration(f.Nodes.RampTime), Balancers: f.Balancers.Count, Rates: f.Rates(), Length: time.Duration(f.Length),
		Effect: effects[f.Load.Repeat], Work: time.Duration(f.Load.Work), Deadline: time.Duration(f.Load.Deadline), Retries: f.Load.Retries,
	}
}

// bootNodes starts the nodes and waits until all listen.
func (w *world) bootNodes() error {
	var err error
	if w.nodes, err = w.summon("nodes", w.spec(fleetsim.RoleNodes), w.heardNodes); err != nil {
		return err
	}
	var all sync.WaitGroup
	for i := range w.f.Nodes.Count {
		all.Add(1)
		if err := w.boot(i, false, all.Done); err != nil {
			return err
		}
	}
	return w.wait(&all, "nodes")
}

// boot starts a node's process; then is called once it listens.
func (w *world) boot(node int, cold bool, then func()) error {
	w.mu.Lock()
	w.booted[node] = then
	w.mu.Unlock()
	return w.nodes.order(fleetsim.Command{Verb: fleetsim.Boot, Node: int32(node), Cold: cold})
}

// standinsIn bounds how long stand-ins may take to be there.
const standinsIn = 30 * time.Second

func (w *world) wait(all *sync.WaitGroup, what string) error {
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	case <-time.After(standinsIn):
		return fmt.Errorf("the %s are not there after %v", what, standinsIn)
	}
}

// startPeers starts the peers and tells them of each other.
func (w *world) startPeers() error {
	n := w.f.Peers.Count
	var all sync.WaitGroup
	for i := range n {
		s, err := w.relay.Serve(script.Process{Kind: script.Peer, Index: i}.String())
		if err != nil {
			return err
		}
		w.peerService = append(w.peerService, s)
		x := w.spec(fleetsim.RolePeer)
		x.Rank, x.Rate = i, w.f.Peers.Rate
		all.Add(1)
		p, err := w.summon(s.Name, x, func(e event.Event) { w.heardPeer(s, e, all.Done) })
		if err != nil {
			return err
		}
		w.peers = append(w.peers, p)
	}
	if n == 0 {
		return nil
	}
	return w.wait(&all, "peers")
}

// start starts all balancers, at once or spread as the script says, and returns when all are ready.
func (w *world) start() error {
	if err := w.startVoters(); err != nil {
		return err
	}
	n := len(w.balancers)
	failed := make(chan error, n)
	for i, b := range w.balancers {
		go func() {
			select {
			case <-time.After(time.Duration(w.f.Balancers.Start) * time.Duration(i) / time.Duration(n)):
				failed <- b.start(w.ctx)
			case <-w.ctx.Done():
				failed <- context.Cause(w.ctx)
			}
		}()
	}
	var errs []error
	for range n {
		errs = append(errs, <-failed)
	}
	return errors.Join(errs...)
}

// load lets clients and peers begin.
func (w *world) load() error {
	addresses := make([]string, len(w.balancers))
	for i, b := range w.balancers {
		addresses[i] = b.service.At(clientCaller)
	}
	var err error
	if w.clients, err = w.summon("clients", w.spec(fleetsim.RoleClients), w.heardClients); err != nil {
		return err
	}
	if err := errors.Join(w.clients.order(fleetsim.Command{Verb: fleetsim.Targets, Addresses: addresses}), w.clients.order(fleetsim.Command{Verb: fleetsim.Ask})); err != nil {
		return err
	}
	for i, p := range w.peers {
		mates := make([]string, len(w.peers))
		for k, s := range w.peerService {
			mates[k] = s.At(fleetsim.FirstPeer + i)
		}
		if err := p.order(fleetsim.Command{Verb: fleetsim.Mates, Addresses: mates}); err != nil {
			return err
		}
	}
	return nil
}

// close ends everything that the ground has started.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	ends := w.ends
	w.mu.Unlock()
	for _, h := range w.hosts() {
		h.mu.Lock()
		h.wanted = false
		h.mu.Unlock()
	}
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

// restart starts a machine's process again, in a goroutine of its own.
func (w *world) restart(h *host, then func()) {
	w.mu.Lock()
	w.counts.restarts++
	w.mu.Unlock()
	go func() {
		if err := h.start(w.ctx); err != nil && w.ctx.Err() == nil && !w.ending() {
			w.fail(err)
		}
		then()
	}()
}

func (w *world) clean() error { return os.RemoveAll(filepath.Clean(w.folder)) }
