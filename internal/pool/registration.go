package pool

import (
	"iter"

	"olivearch/balancer"
	"olivearch/internal/sharedlimit"
)

// registration is a pool's membership in an EndpointRegistry, owned by the pool's loop; nil for a pool that shares no
// endpoint. Beside the claim it only holds exceptions: by the rule an endpoint is allotted whole to the pool.
type registration struct {
	registry        *EndpointRegistry
	pool            *sharedlimit.Pool // the registry's
	weight          float64
	ownDrainsOnly   bool // which endpoints drain by other pools' lists does not count here
	connectionLimit int  // connections to an endpoint that no other pool lists; 0: not known yet

	// claimed are the listed endpoints by address; true: they drain by the pool's list. The registry reads it too: it is
	// never changed in place.
	claimed     map[string]bool
	claimSerial uint64 // of that claim
	// unconfirmed are the endpoints for which the registry has not answered, by the claim that first had them.
	unconfirmed map[string]uint64
	allotments  map[string]sharedlimit.Allotment // of endpoints that other pools list too
}

// claim tells the registry which endpoints the pool lists, by address; true: they drain by the pool's list. The map
// must not be changed any more.
func (r *registration) claim(endpoints map[string]bool) {
	for address := range r.claimed {
		if _, listed := endpoints[address]; !listed {
			delete(r.unconfirmed, address)
			delete(r.allotments, address)
		}
	}
	r.claimSerial++
	for address := range endpoints {
		if _, wasClaimed := r.claimed[address]; !wasClaimed {
			r.unconfirmed[address] = r.claimSerial
		}
	}
	r.claimed = endpoints
	r.registry.submit(claimCommand(r.pool, r.weight, endpoints, r.claimSerial))
}

// claimCommand is the command for a pool's claim.
func claimCommand(pool *sharedlimit.Pool, weight float64, endpoints map[string]bool, serial uint64) registryCommand {
	return func(state *registryState) {
		registrant := state.registrants[pool]
		if registrant == nil { // it has left
			return
		}
		state.allocator.Claim(pool, weight, endpoints)
		registrant.claimSerial = serial
		state.newlyClaimed[pool] = struct{}{}
	}
}

// setWeight changes the pool's weight on endpoints that other pools list too.
func (r *registration) setWeight(weight float64) {
	if weight != r.weight {
		r.weight = weight
		r.claim(r.claimed)
	}
}

// allotment is what the pool may use of an endpoint; false: the registry has not answered for it, and the pool may use
// nothing.
func (r *registration) allotment(address string) (sharedlimit.Allotment, bool) {
	_, isClaimed := r.claimed[address]
	_, isUnconfirmed := r.unconfirmed[address]
	if !isClaimed || isUnconfirmed {
		return sharedlimit.Allotment{}, false
	}
	if shared, ok := r.allotments[address]; ok {
		return shared, true
	}
	return sharedlimit.Allotment{Fraction: 1, Connections: r.connectionLimit}, true
}

// remove ends the registration.
func (r *registration) remove() {
	if r == nil {
		return
	}
	r.registry.submit(func(state *registryState) {
		state.allocator.Remove(r.pool)
		delete(state.registrants, r.pool)
		delete(state.newlyClaimed, r.pool)
	})
}

// allotmentsChanged is a notification of the registry.
type allotmentsChanged struct {
	changes []sharedlimit.Change
	// claimSerial is of the pool's claim that the registry has. It knows nothing of endpoints that a later one has first.
	claimSerial     uint64
	claimAccepted   bool // the endpoints up to that claim may be used
	connectionLimit int  // connections to an endpoint that no other pool lists, if claimAccepted
}

// applyChanges notes a notification, and calls changed for each address of which the allotment may differ. all tells
// that those of all addresses may.
func (r *registration) applyChanges(update allotmentsChanged, changed func(address string)) (all bool) {
	for _, change := range update.changes {
		_, claimed := r.claimed[change.Address]
		isOfEarlierUse := r.unconfirmed[change.Address] > update.claimSerial
		if !claimed || isOfEarlierUse {
			continue
		}
		if change.Exclusive {
			delete(r.allotments, change.Address)
		} else {
			r.allotments[change.Address] = change.Allotment
		}
		changed(change.Address)
	}
	if !update.claimAccepted {
		return false
	}
	for address, serial := range r.unconfirmed {
		if serial <= update.claimSerial {
			delete(r.unconfirmed, address)
			changed(address)
		}
	}
	all = r.connectionLimit != update.connectionLimit
	r.connectionLimit = update.connectionLimit
	return all
}

func (e allotmentsChanged) apply(l *loop) {
	changed := map[string]struct{}{}
	all := l.registration.applyChanges(e, func(address string) { changed[address] = struct{}{} })
	if all {
		l.refreshAllotments(func(string) bool { return true })
		return
	}
	if len(changed) > 0 {
		l.refreshAllotments(func(address string) bool {
			_, ok := changed[address]
			return ok
		})
	}
}

// refreshAllotments applies to endpoints what the pool may use of them now; concerned tells which, by address.
func (l *loop) refreshAllotments(concerned func(address string) bool) {
	l.counters.endpointsChanged = true
	var changed []balancer.Upstream
	for _, endpoint := range l.endpoints {
		if !concerned(endpoint.address) {
			continue
		}
		if l.refreshChanged(endpoint) {
			changed = append(changed, endpoint.upstream)
		}
		l.evictSurplus(endpoint)
	}
	l.notifyChanged(changed)
	l.reportPendingOutcomes()
}

// claimEndpoints tells the registry which endpoints this pool lists, if these differ from the last claim.
func (l *loop) claimEndpoints() {
	if l.registration == nil || l.isClaimUpToDate() {
		return
	}
	endpoints := make(map[string]bool, len(l.endpoints)+len(l.suspension.dormant.members))
	for address, drains := range l.listedAddresses() { // two at one address drain if one does
		endpoints[address] = endpoints[address] || drains
	}
	l.registration.claim(endpoints)
}

// isClaimUpToDate reports whether the listed endpoints are those of the last claim, without building a map of them.
func (l *loop) isClaimUpToDate() bool {
	count := 0
	for address, drains := range l.listedAddresses() {
		claimedDrains, claimed := l.registration.claimed[address]
		if !claimed || claimedDrains != drains {
			return false
		}
		count++
	}
	return count == len(l.registration.claimed)
}

// listedAddresses are the addresses of the listed endpoints, and whether they drain by this pool's list.
func (l *loop) listedAddresses() iter.Seq2[string, bool] {
	return func(yield func(string, bool) bool) {
		for i := range l.suspension.dormant.members {
			member := &l.suspension.dormant.members[i]
			drains := member.Upstream(0).State == balancer.Draining
			if !yield(member.HostPort, drains) {
				return
			}
		}
		for _, endpoint := range l.endpoints {
			if endpoint.listedState == balancer.Removed {
				continue
			}
			drains := endpoint.listedState == balancer.Draining
			if !yield(endpoint.address, drains) {
				return
			}
		}
	}
}
