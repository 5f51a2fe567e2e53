package pool

import "olivearch/balancer"

// endpointConditions determine the state in which the balancer sees a listed endpoint: Active, Draining (no new
// requests) or Removed.
type endpointConditions struct {
	// listed is the state according to the pool's own list.
	listed balancer.State
	// allotmentUnknown: the registry has not yet answered the pool's claim to the endpoint. The pools that already
	// use the endpoint must be told first that it is shared.
	allotmentUnknown bool
	// drainsElsewhere: the endpoint is draining in another pool's list, which this pool does not ignore.
	drainsElsewhere bool
	// outOfService: an operator has taken the endpoint out of service.
	outOfService bool
}

// state returns the listed state, or Draining for an active endpoint that must not get requests.
func (c endpointConditions) state() balancer.State {
	excluded := c.allotmentUnknown || c.drainsElsewhere || c.outOfService
	if c.listed == balancer.Active && excluded {
		return balancer.Draining
	}
	return c.listed
}
