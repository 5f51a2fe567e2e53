package pool

// specChanged is a call of Pool.Configure.
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

// updateRegistration applies the parts of a Spec that concern endpoints that other pools list too.
func (l *loop) updateRegistration(spec Spec) {
	l.registration.setWeight(spec.SharedWeight)
	if l.registration.ownDrainsOnly != spec.IgnoreDrainsOfOthers {
		l.registration.ownDrainsOnly = spec.IgnoreDrainsOfOthers
		l.refreshAllotments(func(string) bool { return true })
	}
}

// applySpec applies the settings and limits of a Spec. If it fails, nothing has changed.
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
	if polledBefore != spec.Settings.PollDiscovery { // the balancer's own WatchEndpoints call used the old value
		l.WatchEndpoints(true)
	}
	return nil
}

// applySettings configures the balancer. Without a balancer it only validates the settings.
func (l *loop) applySettings(spec Spec) error {
	if !l.hasBalancer() {
		return spec.Settings.Validate()
	}
	return l.balancer.Configure(l.now(), spec.Settings)
}

// Reload applies the settings and the discovery address of a new Spec without waiting for them to take effect. If the
// settings are not valid, nothing changes. Requests in flight keep their class. If the settings differ from the current
// ones, adopted is called on the pool's goroutine once they are in effect.
func (p *Pool) Reload(spec Spec, adopted func()) {
	p.loop.enqueue(configurationReloaded{spec: spec, adopted: adopted})
}

// configurationReloaded is a call of Pool.Reload.
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

// moveDiscovery switches the list source to discovery at another address, and watches it if the previous address was
// being watched.
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
