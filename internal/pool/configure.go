package pool

import (
	"fmt"
	"reflect"
)

// configured is a new Spec, all of which holds from now on.
type configured struct {
	Spec
	done chan<- error
}

func (e configured) apply(l *loop) {
	if err := l.balancer.Configure(l.now(), e.Settings); err != nil {
		e.done <- err
		return
	}
	l.limit(e.Spec)
	if l.followed() != e.Discovery {
		l.follow(e.Discovery)
		l.Watch(true)
	}
	if s := l.shares; s.weight != e.Share || s.own != e.OwnDrains {
		s.weight, s.own, s.claimed = e.Share, e.OwnDrains, nil
		l.claim()
	}
	l.settle()
	e.done <- nil
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
	if !reflect.DeepEqual(e.Settings, l.settings) {
		if err := l.balancer.Configure(l.now(), e.Settings); err != nil {
			l.Log(fmt.Sprintf("configuration: the old settings stay: %v", err))
			return
		}
		l.limit(e.Spec)
		e.adopted()
		l.Log(fmt.Sprintf("configuration: new settings hold, with %d classes", len(e.Settings.Classes)))
	}
	if before := l.followed(); e.Discovery != before {
		l.Log(fmt.Sprintf("configuration read again: discovery is at %s, no longer at %s", e.Discovery, before))
		l.follow(e.Discovery)
		if l.stopWatch != nil {
			l.Watch(true)
		}
		return
	}
	l.Log("configuration read again: discovery is where it was")
}
