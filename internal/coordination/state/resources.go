package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Resource is something of which all balancers together may use a limited amount: as leases of units at any moment,
// or as reserved slots in each second.
type Resource struct {
	Name      string
	PerSecond bool             // Limit is of the slots in each second, else of the units leased at any moment
	Limit     int64            // units, or slots in each second
	leases    map[string]Lease // by holder
	reserved  map[uint64]int64 // second of the cluster's clock -> reserved slots
}

func newResource(name string, slots bool, limit int64) *Resource {
	return &Resource{
		Name:      name,
		PerSecond: slots,
		Limit:     limit,
		leases:    map[string]Lease{},
		reserved:  map[uint64]int64{},
	}
}

func (r *Resource) size() int64 { return entryOverhead + textSize(r.Name) }

// inUse reports whether a part of the resource is leased or reserved.
func (r *Resource) inUse() bool { return len(r.leases) > 0 || len(r.reserved) > 0 }

// Resources returns all resources, by name. They are the state's own and must not be changed.
func (s *State) Resources() []*Resource {
	return slices.SortedFunc(maps.Values(s.resources), func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// leasableResource returns the resource of a name if it is one for leases; else a rejection.
func (s *State) leasableResource(name string) (*Resource, Result) { return s.findResource(name, false) }

// reservableResource returns the resource of a name if it is one for slots; else a rejection.
func (s *State) reservableResource(name string) (*Resource, Result) {
	return s.findResource(name, true)
}

func (s *State) findResource(name string, slots bool) (*Resource, Result) {
	resource, ok := s.resources[name]
	if !ok {
		return nil, reject(RejectedNotFound, "there is no bound %s", name)
	}
	if resource.PerSecond != slots {
		return nil, rejectOtherKind(name)
	}
	return resource, Result{}
}

func rejectOtherKind(name string) Result {
	return reject(RejectedInvalid, "the bound %s is of the other kind: slots and leases do not mix", name)
}

// SetResource creates a resource or changes its limit. A limit of 0 removes it, unless a part of it is leased or
// reserved. What is leased or reserved above a lowered limit stays until it ends, and nothing is granted before.
type SetResource struct {
	Name      string
	PerSecond bool // see Resource
	Limit     int64
}

// Check implements Command.
func (c *SetResource) Check() error { return cmp.Or(checkName("bound", c.Name), c.checkLimit()) }

func (c *SetResource) checkLimit() error {
	if c.Limit < 0 || c.Limit > MaxResourceLimit {
		return fmt.Errorf("limit: from 0 to %d", int64(MaxResourceLimit))
	}
	return nil
}

func (c *SetResource) apply(state *State) Result {
	resource, exists := state.resources[c.Name]
	switch {
	case !exists && c.Limit == 0:
		return Result{}
	case !exists:
		return c.create(state)
	case resource.PerSecond != c.PerSecond:
		return rejectOtherKind(c.Name)
	case c.Limit == 0 && resource.inUse():
		return reject(RejectedNoCapacity, "of the bound %s something is still held", c.Name)
	case c.Limit == 0:
		state.usedBytes -= resource.size()
		delete(state.resources, c.Name)
	default:
		resource.Limit = c.Limit
	}
	return Result{}
}

func (c *SetResource) create(state *State) Result {
	resource := newResource(c.Name, c.PerSecond, c.Limit)
	if state.exceedsCapacity(resource.size()) {
		return state.rejectFull()
	}
	state.resources[c.Name] = resource
	state.usedBytes += resource.size()
	return Result{}
}
