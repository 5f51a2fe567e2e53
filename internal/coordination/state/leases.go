package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Lease grants a holder a number of units of a resource until an end.
type Lease struct {
	Holder       string
	Units        int64
	Until        uint64 // end, in ms of the cluster clock; the holder stops using the lease earlier, by its own clock
	FencingToken uint64 // revision at which the lease was granted; a holder that uses a lower one is outdated
}

func (l *Lease) size() int64 { return entryOverhead + textSize(l.Holder) }

// Leases returns the leases of a resource, sorted by holder.
func (r *Resource) Leases() []Lease {
	return slices.SortedFunc(maps.Values(r.leases), func(a, b Lease) int { return cmp.Compare(a.Holder, b.Holder) })
}

// leasedUnits returns the number of units in all leases of a resource.
func (r *Resource) leasedUnits() int64 {
	sum := int64(0)
	for _, lease := range r.leases {
		sum += lease.Units
	}
	return sum
}

func (s *State) removeLease(resource *Resource, holder string) {
	if lease, ok := resource.leases[holder]; ok {
		s.usedBytes -= lease.size()
		delete(resource.leases, holder)
	}
}

// AcquireLease requests a new lease, or renews the holder's lease that has the given fencing token.
type AcquireLease struct {
	Resource, Holder string
	Units            int64
	Duration         time.Duration
	FencingToken     uint64 // of the lease to renew; 0: a new lease
}

// Check implements Command.
func (c *AcquireLease) Check() error {
	return cmp.Or(
		checkName("bound", c.Resource),
		checkName("holder", c.Holder),
		checkCount("parts", c.Units),
		c.checkDuration(),
	)
}

func (c *AcquireLease) checkDuration() error {
	if c.Duration < MinLeaseDuration || c.Duration > MaxLeaseDuration {
		return fmt.Errorf("for: from %v to %v", MinLeaseDuration, MaxLeaseDuration)
	}
	return nil
}

func (c *AcquireLease) apply(state *State) Result {
	resource, result := state.leasableResource(c.Resource)
	if !result.OK() {
		return result
	}
	current, renewal := resource.leases[c.Holder]
	if result := c.checkFencing(state, current, renewal); !result.OK() {
		return result
	}
	free := resource.Limit - resource.leasedUnits() + current.Units
	if c.Units > free {
		const format = "of %d parts of %s %d are free, and %d are asked"
		result := reject(RejectedNoCapacity, format, resource.Limit, c.Resource, max(0, free), c.Units)
		result.Free = max(0, free)
		return result
	}
	lease := Lease{
		Holder:       c.Holder,
		Units:        c.Units,
		Until:        state.expiryAfter(c.Duration),
		FencingToken: cmp.Or(current.FencingToken, state.revision),
	}
	if !renewal {
		if state.exceedsMaxBytes(lease.size()) {
			return state.rejectStateFull()
		}
		state.usedBytes += lease.size()
	}
	resource.leases[c.Holder] = lease
	state.scheduleExpiry(lease.Until)
	return Result{FencingToken: lease.FencingToken, Free: free - c.Units}
}

// checkFencing rejects a command whose fencing token is not the token of the holder's current lease. A different token
// comes from another incarnation of the holder; the incarnation that has the lease may use it until it ends.
func (c *AcquireLease) checkFencing(state *State, current Lease, exists bool) Result {
	switch {
	case exists && c.FencingToken != current.FencingToken:
		const format = "%s holds it under fence %d until %d ms from now"
		return reject(RejectedFenced, format, c.Holder, current.FencingToken, current.Until-state.clock)
	case !exists && c.FencingToken != 0:
		return reject(RejectedFenced, "the lease under fence %d has ended", c.FencingToken)
	}
	return Result{}
}

// ReleaseLease ends a lease early. It is not rejected if the holder has no lease, so retries are safe.
type ReleaseLease struct {
	Resource, Holder string
	FencingToken     uint64
}

// Check implements Command.
func (c *ReleaseLease) Check() error {
	return cmp.Or(checkName("bound", c.Resource), checkName("holder", c.Holder), c.checkFencingToken())
}

func (c *ReleaseLease) checkFencingToken() error {
	if c.FencingToken == 0 {
		return errors.New("fence: the number of the lease is wanted")
	}
	return nil
}

func (c *ReleaseLease) apply(state *State) Result {
	resource, result := state.leasableResource(c.Resource)
	if !result.OK() {
		return result
	}
	if current, exists := resource.leases[c.Holder]; exists && current.FencingToken != c.FencingToken {
		const format = "%s holds it under fence %d, not %d"
		return reject(RejectedFenced, format, c.Holder, current.FencingToken, c.FencingToken)
	}
	state.removeLease(resource, c.Holder)
	return Result{Free: resource.Limit - resource.leasedUnits()}
}
