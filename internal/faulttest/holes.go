package faulttest

import (
	"net/netip"
	"sync"

	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/standin/fleetsim"
)

const (
	// holesHere is up to how many holes the ground's own process has.
	holesHere = 2000
	// holesEach is how many a process has that does nothing else: half of the descriptors that are usual at most.
	holesEach = 9000
)

// holesWanted is how many links a script's faults cut at once at most.
func holesWanted(f *script.File) (most int) {
	for _, x := range f.Faults {
		if x.Kind != "cut" {
			continue
		}
		sum := 0
		for k, y := range f.Faults { // those that overlap with it
			if y.Kind == "cut" && y.At <= x.At && (y.For == 0 || y.At+y.For > x.At) {
				sum += len(f.Choose(y.From, k)) * len(f.Choose(y.To, k+1<<16))
			}
		}
		most = max(most, sum)
	}
	return most
}

// digger is a process that has holes.
type digger struct {
	*standin
	ready chan struct{}
	has   map[netip.AddrPort]bool
}

// diggers are holes that several processes have.
type diggers struct {
	mu   sync.Mutex
	all  []*digger
	fail func(error)
}

// newDiggers starts as many processes as so many holes want.
func (w *world) newDiggers(wanted int) (*diggers, error) {
	d := &diggers{fail: w.fail}
	for range (wanted + holesEach - 1) / holesEach {
		one := &digger{ready: make(chan struct{}, 1), has: map[netip.AddrPort]bool{}}
		var err error
		one.standin, err = w.summon("holes", fleetsim.Spec{Role: fleetsim.RoleHoles}, func(e event.Event) {
			if e.Kind == event.Ready {
				one.ready <- struct{}{}
			}
		})
		if err != nil {
			return nil, err
		}
		d.all = append(d.all, one)
	}
	return d, nil
}

// Dig deals holes out evenly, the first ones first.
func (d *diggers) Dig(all []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := make([][]netip.AddrPort, len(d.all))
	for i, at := range all {
		k := i % len(parts)
		parts[k] = append(parts[k], at)
		d.all[k].has[at] = true
	}
	d.order(fleetsim.Dig, parts)
}

// Fill tells each process of those that it has.
func (d *diggers) Fill(all []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := make([][]netip.AddrPort, len(d.all))
	for _, at := range all {
		for k, one := range d.all {
			if one.has[at] {
				delete(one.has, at)
				parts[k] = append(parts[k], at)
			}
		}
	}
	d.order(fleetsim.Fill, parts)
}

// order tells processes what to do and waits until it is done. The caller holds the lock.
func (d *diggers) order(verb fleetsim.Verb, parts [][]netip.AddrPort) {
	for k, part := range parts {
		texts := make([]string, len(part))
		for i, at := range part {
			texts[i] = at.String()
		}
		if err := d.all[k].order(fleetsim.Command{Verb: verb, Addresses: texts}); err != nil {
			d.fail(err)
			return
		}
	}
	for _, one := range d.all {
		select {
		case <-one.ready:
		case <-one.process.Ended():
			return
		}
	}
}

// Close leaves the processes to the ground's end.
func (d *diggers) Close() {}
