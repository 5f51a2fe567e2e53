package faulttest

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"olivearch/internal/faulttest/checker"
	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/relay"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/loadspread"
)

// This file takes what stand-ins, relay and list service saw, and makes records for the judge of it.

func (w *world) record(r checker.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judge.Add(r)
}

func (w *world) heardClients(e event.Event) {
	switch e.Kind {
	case event.Asked:
		w.record(checker.Record{Kind: checker.Asked, At: e.At, ID: e.ID, First: e.First, Balancer: int(e.Balancer), Effect: e.Effect, Limit: e.Limit})
	case event.Answered:
		w.record(checker.Record{Kind: checker.Answered, At: e.At, ID: e.ID, Balancer: int(e.Balancer), Status: int(e.Status), Stamp: e.Stamp, Fresh: e.Fresh})
	case event.Untaken:
		w.mu.Lock()
		w.counts.untaken++
		w.mu.Unlock()
	case event.Over:
		close(w.over)
	case event.Error:
		w.fail(fmt.Errorf("clients: %s", e.Text))
	}
}

func (w *world) heardNodes(e event.Event) {
	node := int(e.Node)
	switch e.Kind {
	case event.Ready:
		w.listens(node, e)
	case event.Got:
		w.got(node, e)
	case event.TurnedOff:
		w.record(checker.Record{Kind: checker.TurnedOff, At: e.At, ID: e.ID, Node: node})
	case event.Ran:
		w.record(checker.Record{Kind: checker.Ran, At: e.At, ID: e.ID, Node: node, Stamp: e.Stamp})
	case event.Done:
		w.mu.Lock()
		w.done[doneKey{e.ID, node, e.Conn}] = e.End
		w.mu.Unlock()
	case event.Error:
		w.fail(fmt.Errorf("nodes: %s", e.Text))
	}
}

// listens opens the way to a node that has begun.
func (w *world) listens(node int, e event.Event) {
	if err := w.services[node].Point(netip.AddrPortFrom(loopback, e.Port).String()); err != nil {
		w.fail(err)
		return
	}
	w.mu.Lock()
	then := w.booted[node]
	delete(w.booted, node)
	w.mu.Unlock()
	if then != nil {
		then()
	}
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// got notes a request's arrival, and does what waits for one.
func (w *world) got(node int, e event.Event) {
	b := int(e.Balancer)
	a := arrival{
		record: checker.Record{Kind: checker.Got, At: e.At, ID: e.ID, Node: node, Balancer: b, Work: e.Work, SentBegin: e.At, SentEnd: e.At},
		conn:   w.services[node].Find(b, e.Conn), begin: e.Begin, end: e.End, port: e.Conn,
	}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	var do []func(int)
	for _, f := range w.cutsShort {
		do = append(do, f)
	}
	w.mu.Unlock()
	for _, f := range do {
		f(b)
	}
}

// told notes what the list service has written to a balancer.
func (w *world) told(caller, node int, leaves bool) {
	w.record(checker.Record{Kind: checker.Told, At: event.Now(), Balancer: caller, Node: node, Leaves: leaves})
}

// due notes that all balancers count as told that a node leaves, which the list service has had for so long that they had to ask.
func (w *world) due(node int, had int64) {
	w.record(checker.Record{Kind: checker.Due, At: event.Now(), Had: had, Balancer: -1, Node: node, Leaves: true})
}

func (w *world) born(balancer int) {
	w.record(checker.Record{Kind: checker.Born, At: event.Now(), Balancer: balancer})
}

func (w *world) died(balancer int, at int64) {
	r := checker.Record{Kind: checker.Died, At: at, Balancer: balancer}
	w.record(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts.deaths = append(w.counts.deaths, r)
}

func (w *world) crashed(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closing {
		w.counts.crashes = append(w.counts.crashes, what)
	}
}

// heardPeer opens the way to a peer, and keeps its counts.
func (w *world) heardPeer(s *relay.Service, e event.Event, ready func()) {
	switch e.Kind {
	case event.Ready:
		at := netip.AddrPortFrom(loopback, e.Port)
		d, err := s.Carry(at)
		if err == nil {
			w.atEnd(d.Close)
			err = s.Point(at.String())
		}
		if err != nil {
			w.fail(err)
		}
		ready()
	case event.Tally:
		w.mu.Lock()
		defer w.mu.Unlock()
		// Sent is told by the sender, the rest by the receiver; each pair is kept from sender to receiver.
		if e.Peers.Sent > 0 {
			w.tally(int(e.Node), int(e.Balancer)).Sent = e.Peers.Sent
			return
		}
		x := w.tally(int(e.Balancer), int(e.Node))
		sent := x.Sent
		*x = e.Peers
		x.Sent = sent
	case event.Error:
		w.fail(fmt.Errorf("%s: %s", s.Name, e.Text))
	}
}

func (w *world) tally(from, to int) *event.Peers {
	key := [2]int{from, to}
	if w.tallies[key] == nil {
		w.tallies[key] = &event.Peers{}
	}
	return w.tallies[key]
}

// verdict gives the judge what nodes got, with the times at which balancers sent it and had their answers, and asks it. It counts
// the processes too that ended between a request's arrival at a node and its answer.
func (w *world) verdict(began int64) (v checker.Verdict, deathsInFlight int, even *loadspread.Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	even = loadspread.New(w.f.Nodes.Count)
	out := map[int][]checker.Record{}
	for _, a := range w.arrivals {
		r := a.record
		if c := a.conn; c != nil {
			r.SentBegin, r.SentEnd = cmp.Or(c.SentAt(a.begin), r.At), cmp.Or(c.SentAt(a.end), r.At)
			var answered int64
			if end, ok := w.done[doneKey{r.ID, r.Node, a.port}]; ok {
				answered = c.DeliveredAt(end)
			}
			for _, at := range []int64{answered, c.LeftAt(), c.ResetAt()} {
				if at > 0 && (r.OutUntil == 0 || at < r.OutUntil) {
					r.OutUntil = at
				}
			}
		}
		w.judge.Add(r)
		out[r.Balancer] = append(out[r.Balancer], r)
		even.Add(r.Node, time.Duration(r.At-began))
	}
	for _, d := range w.counts.deaths {
		if slices.ContainsFunc(out[d.Balancer], func(r checker.Record) bool {
			return r.At <= d.At && (r.OutUntil == 0 || r.OutUntil > d.At-int64(slack))
		}) {
			deathsInFlight++
		}
	}
	w.arrivals = nil
	return w.judge.Verdict(event.Now()), deathsInFlight, even
}

// name is how a process is called.
func name(kind string, i int) string { return script.Process{Kind: kind, Index: i}.String() }
