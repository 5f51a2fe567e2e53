package pool

// specChanged is a new Spec, all of which holds from now on.
type specChanged struct {
	spec Spec
	done chan<- error
}

func (e specChanged) apply(l *loop) {
	if err := l.applySpec(e.spec); err != nil {
		e.done <- err
		return
	}
	if l.source.address() != e.spec.Discovery {
		l.followDiscovery(e.spec.Discovery)
		l.WatchEndpoints(true)
	}
	l.updateRegistration(e.spec)
	l.reportPendingOutcomes()
	e.done <- nil
}

// updateRegistration applies what a Spec says of endpoints that other pools list too.
func (l *loop) updateRegistration(spec Spec) {
	l.registration.setWeight(spec.SharedWeight)
	if l.registration.ownDrainsOnly != spec.IgnoreDrainsOfOthers {
		l.registration.ownDrainsOnly = spec.IgnoreDrainsOfOthers
		l.refreshAllotments(func(string) bool { return true })
	}
}

// applySpec applies the settings and limits of a Spec, or changes nothing.
func (l *loop) applySpec(spec Spec) error {
	if err := l.applySettings(spec); err != nil {
		return err
	}
	polledBefore := l.settings.PollDiscovery
	l.applyLimits(spec)
	if !l.canSuspend() {
		if err := l.createBalancer(); err != nil {
			return err
		}
	}
	if polledBefore != spec.Settings.PollDiscovery { // the balancer has asked by the settings before
		l.WatchEndpoints(true)
	}
	return nil
}

// applySettings configures the balancer, or checks the settings where there is none.
func (l *loop) applySettings(spec Spec) error {
	if !l.hasBalancer() {
		return spec.Settings.Validate()
	}
	return l.balancer.Configure(l.now(), spec.Settings)
}

// Reload applies a new Spec's settings and its address of discovery, all of it or nothing, and does not wait until that
// holds. Requests under way keep the class that they came with. adopted is called, from the pool's goroutine, once
// settings that differ hold.
func (p *Pool) Reload(spec Spec, adopted func()) {
	p.loop.enqueue(configurationReloaded{spec: spec, adopted: adopted})
}

// configurationReloaded is a Spec by a configuration that was read again.
type configurationReloaded struct {
	spec    Spec
	adopted func()
}

func (e configurationReloaded) apply(l *loop) {
	if !e.spec.Settings.Equal(l.settings) {
		if err := l.applySpec(e.spec); err != nil {
			l.logInfo("settings not applied", "err", err)
			return
		}
		e.adopted()
		l.logInfo("settings applied", "classes", len(e.spec.Settings.Classes))
	}
	l.moveDiscovery(e.spec.Discovery)
}

// moveDiscovery makes discovery at another address the list's source, and goes on watching if the last one was watched.
func (l *loop) moveDiscovery(address string) {
	previous := l.source.address()
	if address == previous {
		l.logInfo("discovery address kept", "address", address)
		return
	}
	l.logInfo("discovery address changed", "address", address, "previous", previous)
	l.followDiscovery(address)
	if l.source.stopWatch != nil {
		l.WatchEndpoints(true)
	}
}
