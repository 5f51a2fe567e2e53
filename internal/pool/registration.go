package pool

import (
	"iter"

	"olivearch/balancer"
	"olivearch/internal/sharedlimit"
)

// registration is a pool's registration with an EndpointRegistry, owned by the pool's loop; nil without a registry.
// Besides the claim it stores only exceptions: an endpoint that no other pool lists is allotted to the pool in full.
type registration struct {
	registry        *EndpointRegistry
	pool            *sharedlimit.Pool // identifies the pool to the registry
	weight          float64
	ownDrainsOnly   bool // drains in other pools' lists are ignored
	connectionLimit int  // for an endpoint that no other pool lists; 0: not known yet

	// claimed is the last claim: the listed endpoints by address; true: draining in the pool's own list. The
	// registry reads the map too, so it is never modified in place.
	claimed     map[string]bool
	claimSerial uint64 // serial number of the last claim
	// unconfirmed holds the endpoints for which the registry has not answered, with the serial number of the first
	// claim that has them.
	unconfirmed map[string]uint64
	allotments  map[string]sharedlimit.Allotment // by address; only endpoints that other pools list too
}

// claim tells the registry which endpoints the pool lists, by address; true: draining in the pool's list. The caller
// must not modify the map afterwards.
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
	r.registry.submit(newClaimCommand(r.pool, r.weight, endpoints, r.claimSerial))
}

// newClaimCommand returns the command that passes a pool's claim to the allocator.
func newClaimCommand(pool *sharedlimit.Pool, weight float64, endpoints map[string]bool, serial uint64) registryCommand {
	return func(state *registryState) {
		registrant := state.registrants[pool]
		if registrant == nil { // the pool has been removed
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

// allotment returns what the pool may use of an endpoint. It returns false if the registry has not answered for the
// endpoint; the pool must not use it then.
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

// allotmentsChanged is a notification from the registry.
type allotmentsChanged struct {
	changes []sharedlimit.Change
	// claimSerial is the serial number of the pool's last claim that the registry had processed. The notification
	// does not cover endpoints that were first claimed later.
	claimSerial     uint64
	claimAccepted   bool // endpoints up to that claim may be used
	connectionLimit int  // for an endpoint that no other pool lists; set if claimAccepted
}

// applyChanges stores the contents of a notification, and calls changed with each address whose allotment may have
// changed. It returns true if all allotments may have changed.
func (r *registration) applyChanges(update allotmentsChanged, changed func(address string)) (all bool) {
	for _, change := range update.changes {
		_, claimed := r.claimed[change.Address]
		isOutdated := r.unconfirmed[change.Address] > update.claimSerial
		if !claimed || isOutdated {
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

// refreshAllotments refreshes the endpoints whose address is affected by changed allotments.
func (l *loop) refreshAllotments(affected func(address string) bool) {
	l.counters.endpointsChanged = true
	var changed []balancer.Upstream
	for _, endpoint := range l.endpoints {
		if !affected(endpoint.address) {
			continue
		}
		if l.refreshAndCompare(endpoint) {
			changed = append(changed, endpoint.upstream)
		}
		l.evictSurplus(endpoint)
	}
	l.notifyChanged(changed)
	l.reportPendingOutcomes()
}

// claimEndpoints claims the listed endpoints, unless they are the same as in the last claim.
func (l *loop) claimEndpoints() {
	if l.registration == nil || l.isClaimUpToDate() {
		return
	}
	endpoints := make(map[string]bool, len(l.endpoints)+len(l.suspension.dormant.members))
	for address, drains := range l.listedAddresses() { // an address drains if any of its endpoints does
		endpoints[address] = endpoints[address] || drains
	}
	l.registration.claim(endpoints)
}

// isClaimUpToDate reports whether the last claim has the listed endpoints. It builds no map, unlike claimEndpoints.
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

// listedAddresses yields the addresses of the listed endpoints, and whether each is draining in this pool's list.
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
