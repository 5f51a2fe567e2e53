package emulator

import (
	"time"

	"olivearch/internal/lbpolicy"
	"olivearch/internal/stats"
)

// triesMost bounds how often a plain proxy asks on for a request that never ran, or may run again.
const triesMost = 3

// plain is a plain proxy: a picker and a queue. It repeats what never ran, and safe requests whose connection was lost.
type plain struct {
	w     *world
	d     *lbpolicy.Dispatch
	nodes []*node // by the dispatch's number
	open  map[uint64]*request
	tries map[uint64]int
}

func newPlain(w *world, name string, seed uint64) (simulatedBalancer, error) {
	p, err := lbpolicy.New(name, seed)
	if err != nil {
		return nil, err
	}
	return &plain{w: w, d: lbpolicy.NewDispatch(p, w.file.Connections), open: map[uint64]*request{}, tries: map[uint64]int{}}, nil
}

func (p *plain) list(nodes []*node) {
	var names []string
	for _, n := range nodes {
		if !n.draining {
			names = append(names, n.name)
		}
	}
	numbers := p.d.List(names)
	byName := map[string]*node{}
	for _, n := range nodes {
		byName[n.name] = n
	}
	for i, k := range numbers {
		for len(p.nodes) <= k {
			p.nodes = append(p.nodes, nil)
		}
		p.nodes[k] = byName[names[i]]
	}
	p.turn()
}

func (p *plain) take(r *request) {
	if p.d.Waiting() >= p.w.file.Queue {
		r.end(stats.Refused)
		return
	}
	p.open[r.id] = r
	p.w.after(r.deadline-p.w.now, func() {
		if !r.ended {
			p.d.Gone(r.id)
			p.close(r, stats.Failed)
		}
	})
	if k, ok := p.d.Arrive(p.w.now, r.id); ok {
		p.send(r, k)
	}
	p.probe()
}

func (p *plain) close(r *request, e stats.End) {
	delete(p.open, r.id)
	delete(p.tries, r.id)
	r.end(e)
}

// send makes an attempt. One that is out at the deadline gives its place up then.
func (p *plain) send(r *request, k int) {
	w, n, at, done := p.w, p.nodes[k], p.w.now, false
	p.tries[r.id]++
	end := func(o lbpolicy.Outcome, x report) {
		done = true
		p.d.Done(w.now, k, w.now-at, o, lbpolicy.Report{Known: x.known, Util: x.util, Rate: x.qps})
	}
	w.after(r.deadline-w.now, func() {
		if !done {
			end(lbpolicy.Failed, report{})
			p.turn()
		}
	})
	back := func(v reply, x report) {
		w.after(hop+time.Duration(n.Delay), func() {
			if done {
				return
			}
			o := lbpolicy.Answered
			if v == refused || v == reset {
				o = lbpolicy.Failed
			}
			end(o, x)
			switch again := p.tries[r.id] < triesMost; {
			case r.ended:
			case v == answered:
				p.close(r, stats.Served)
			case v == full:
				p.close(r, stats.Refused)
			case again && (v == refused || r.load.Repeat == "safe"):
				if k, ok := p.d.Again(w.now); ok {
					p.send(r, k)
					break
				}
				p.close(r, stats.Failed)
			default:
				p.close(r, stats.Failed)
			}
			p.turn()
		})
	}
	w.after(hop+time.Duration(n.Delay), func() { n.take(&job{request: r, size: r.size, back: back}) })
}

// turn sends what waits while there is room.
func (p *plain) turn() {
	for {
		id, k, ok := p.d.Next(p.w.now)
		if !ok {
			return
		}
		p.send(p.open[id], k)
	}
}

// probe asks nodes for their load, if the picker wants it.
func (p *plain) probe() {
	for _, k := range p.d.Probes(p.w.now) {
		n := p.nodes[k]
		way := hop + time.Duration(n.Delay)
		p.w.after(way, func() {
			if n.down || n.stalled || n.hole {
				return
			}
			inflight, latency := n.inflight(), n.recent.At(n.inflight())
			p.w.after(way, func() { p.d.Probed(p.w.now, k, inflight, latency) })
		})
	}
}

func (p *plain) sample(*node, *stats.NodeSample) {}
