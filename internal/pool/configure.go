package pool

import "fmt"

// configured is a new Spec, all of which holds from now on.
type configured struct {
	Spec
	done chan<- error
}

func (e configured) apply(l *loop) {
	if err := l.adopt(e.Spec); err != nil {
		e.done <- err
		return
	}
	if l.followed() != e.Discovery {
		l.follow(e.Discovery)
		l.WatchEndpoints(true)
	}
	l.shares.reweigh(e.SharedWeight)
	if l.shares.own != e.OwnDrains {
		l.shares.own = e.OwnDrains
		l.reshare(nil)
	}
	l.settle()
	e.done <- nil
}

// adopt takes the settings and limits of a Spec, or changes nothing.
func (l *loop) adopt(c Spec) error {
	if l.made() {
		if err := l.balancer.Configure(l.now(), c.Settings); err != nil {
			return err
		}
	} else if err := c.Settings.Validate(); err != nil {
		return err
	}
	asked := l.settings.PollDiscovery
	l.limit(c)
	if !l.mayRest() {
		if err := l.make(); err != nil {
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
func (p *Pool) Reload(spec Spec, adopted func()) { p.loop.post(reloaded{spec, adopted}) }

// reloaded is a new configuration of a platform's pool.
type reloaded struct {
	Spec
	adopted func()
}

func (e reloaded) apply(l *loop) {
	if !e.Settings.Equal(l.settings) {
		if err := l.adopt(e.Spec); err != nil {
			l.Log(fmt.Sprintf("configuration: the old settings stay: %v", err))
			return
		}
		e.adopted()
		l.Log(fmt.Sprintf("configuration: new settings hold, with %d classes", len(e.Settings.Classes)))
	}
	if before := l.followed(); e.Discovery != before {
		l.Log(fmt.Sprintf("configuration read again: discovery is at %s, no longer at %s", e.Discovery, before))
		l.follow(e.Discovery)
		if l.stopWatch != nil {
			l.WatchEndpoints(true)
		}
		return
	}
	l.Log("configuration read again: discovery is where it was")
}
