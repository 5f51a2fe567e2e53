package pool

import "olivearch/balancer"

// endpointFacts are what decides the state in which the balancer sees a listed endpoint. The states are the balancer's:
// Active, Draining (no new requests) and Removed.
type endpointFacts struct {
	// listed is the state by the pool's own list.
	listed balancer.State
	// allotmentUnknown: the registry has not answered for the endpoint. Other pools must have heard first that they share
	// it.
	allotmentUnknown bool
	// drainsElsewhere: it drains by another pool's list, which counts here.
	drainsElsewhere bool
	// outOfService: operators have taken it out of service.
	outOfService bool
}

// state is the listed one, but an active endpoint drains for each reason that keeps it from getting requests.
func (f endpointFacts) state() balancer.State {
	keptOut := f.allotmentUnknown || f.drainsElsewhere || f.outOfService
	if f.listed == balancer.Active && keptOut {
		return balancer.Draining
	}
	return f.listed
}
