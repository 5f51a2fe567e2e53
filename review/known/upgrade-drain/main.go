//go:build review

// Command upgrade-drain has a balancer told that an upstream drains, upgrades the balancer while discovery is down, and looks
// whether the draining upstream gets new requests.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"olivearch/review/stand"
)

const (
	clients  = 4
	work     = 20 * time.Millisecond
	outage   = 8 * time.Second
	grace    = time.Second + 50*time.Millisecond // of the settings, and the slack of PROTOCOL
	patience = 1300 * time.Millisecond
)

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	if err := w.StartFleet(3, work); err != nil {
		return 0, err
	}
	config, err := w.Config("n1", w.Listen, w.Discovery.Address, w.Discovery.List())
	if err != nil {
		return 0, err
	}
	old, _, err := w.StartBalancer("old", config)
	if err != nil {
		return 0, err
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	for i := range clients {
		client := stand.NewClient(w.Record, fmt.Sprintf("c-%d", i), w.Listen)
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
					client.Send(0, patience)
				}
			}
		})
	}
	defer group.Wait()
	defer close(stop)
	time.Sleep(time.Second)

	drained := w.Upstreams[1]
	if len(drained.Arrivals(time.Time{})) == 0 {
		return 0, fmt.Errorf("%s got no requests before the drain", drained.ID)
	}
	drained.Draining.Store(true)
	revision := w.Discovery.SetPhase(drained.ID, "draining")
	time.Sleep(2 * time.Second)
	told := w.Discovery.Told(revision)
	if told.IsZero() {
		return 0, fmt.Errorf("the drain was not told to the balancer within 2 s")
	}
	before := len(drained.Arrivals(told.Add(grace)))
	w.Say("before the upgrade: %d requests at %s more than %v after the balancer was told", before, drained.ID, grace)

	if w.Trouble {
		w.Discovery.Down()
	}
	down := time.Now()
	time.Sleep(500 * time.Millisecond)
	if _, _, err := w.StartBalancer("new", config); err != nil {
		return 0, err
	}
	w.Signal(old, syscall.SIGTERM)
	time.Sleep(time.Until(down.Add(outage)))
	if w.Trouble {
		if err := w.Discovery.Up(); err != nil {
			return 0, err
		}
	}
	time.Sleep(4 * time.Second)
	late := drained.Arrivals(told.Add(grace))
	for _, arrival := range late {
		w.Line("BROKEN: request %s came to %s %.3f s after the balancer was told that it drains",
			arrival.ID, drained.ID, arrival.At.Sub(told).Seconds())
	}
	w.Say("%d requests at %s more than %v after the balancer was told that it drains", len(late), drained.ID, grace)
	if len(late) > 0 {
		w.Say("the first %.3f s and the last %.3f s after it", late[0].At.Sub(told).Seconds(),
			late[len(late)-1].At.Sub(told).Seconds())
		return stand.RuleBroken, nil
	}
	return stand.RuleHeld, nil
}
