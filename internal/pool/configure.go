package pool

import "fmt"

// specReceived is a new Spec, all of which holds from now on.
type specReceived struct {
	Spec
	done chan<- error
}

func (e specReceived) apply(l *loop) {
	if err := l.applySpec(e.Spec); err != nil {
		e.done <- err
		return
	}
	if l.discoveryAddress() != e.Discovery {
		l.followDiscovery(e.Discovery)
		l.WatchEndpoints(true)
	}
	l.registration.setWeight(e.SharedWeight)
	if l.registration.ownDrainsOnly != e.OwnDrains {
		l.registration.ownDrainsOnly = e.OwnDrains
		l.refreshAllotments(nil)
	}
	l.reportPendingOutcomes()
	e.done <- nil
}

// applySpec takes the settings and limits of a Spec, or changes nothing.
func (l *loop) applySpec(c Spec) error {
	if l.hasBalancer() {
		if err := l.balancer.Configure(l.now(), c.Settings); err != nil {
			return err
		}
	} else if err := c.Settings.Validate(); err != nil {
		return err
	}
	asked := l.settings.PollDiscovery
	l.applyLimits(c)
	if !l.canSuspend() {
		if err := l.createBalancer(); err != nil {
			return err
		}
	}
	if asked != c.Settings.PollDiscovery { // the module has asked by what held before
		l.WatchEndpoints(true)
	}
	return nil
}

// Reload takes the settings of a new Spec and what it says of discovery, all of it or nothing, and does not wait until that holds.
// Requests under way keep the class that they came with. adopted is called, from the pool's goroutine, once new settings hold.
func (p *Pool) Reload(spec Spec, adopted func()) {
	p.loop.enqueue(configurationReloaded{spec, adopted})
}

// configurationReloaded is a new configuration of a platform's pool.
type configurationReloaded struct {
	Spec
	adopted func()
}

func (e configurationReloaded) apply(l *loop) {
	if !e.Settings.Equal(l.settings) {
		if err := l.applySpec(e.Spec); err != nil {
			l.Log(fmt.Sprintf("configuration: the old settings stay: %v", err))
			return
		}
		e.adopted()
		l.Log(fmt.Sprintf("configuration: new settings hold, with %d classes", len(e.Settings.Classes)))
	}
	if before := l.discoveryAddress(); e.Discovery != before {
		l.Log(fmt.Sprintf("configuration read again: discovery is at %s, no longer at %s", e.Discovery, before))
		l.followDiscovery(e.Discovery)
		if l.stopWatch != nil {
			l.WatchEndpoints(true)
		}
		return
	}
	l.Log("configuration read again: discovery is where it was")
}
