package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Resource is a shared resource with a limit for all balancers together. The limit is on leased units or, if PerSecond
// is set, on reserved slots in each second.
type Resource struct {
	Name      string
	PerSecond bool             // Limit applies to reserved slots in each second, else to units leased at the same time
	Limit     int64            // units, or slots per second
	leases    map[string]Lease // by holder
	reserved  map[uint64]int64 // second of the cluster clock -> reserved slots
}

func newResource(name string, perSecond bool, limit int64) *Resource {
	return &Resource{
		Name:      name,
		PerSecond: perSecond,
		Limit:     limit,
		leases:    map[string]Lease{},
		reserved:  map[uint64]int64{},
	}
}

func (r *Resource) size() int64 { return entryOverhead + textSize(r.Name) }

// inUse reports whether units are leased or slots are reserved.
func (r *Resource) inUse() bool { return len(r.leases) > 0 || len(r.reserved) > 0 }

// Resources returns all resources, sorted by name. The caller must not change them.
func (s *State) Resources() []*Resource {
	return slices.SortedFunc(maps.Values(s.resources), func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// leasableResource returns a resource by name, or a rejection if there is no such resource for leases.
func (s *State) leasableResource(name string) (*Resource, Result) { return s.findResource(name, false) }

// reservableResource returns a resource by name, or a rejection if there is no such resource for reservations.
func (s *State) reservableResource(name string) (*Resource, Result) {
	return s.findResource(name, true)
}

func (s *State) findResource(name string, perSecond bool) (*Resource, Result) {
	resource, ok := s.resources[name]
	if !ok {
		return nil, reject(RejectedNotFound, "there is no bound %s", name)
	}
	if resource.PerSecond != perSecond {
		return nil, rejectOtherKind(name)
	}
	return resource, Result{}
}

func rejectOtherKind(name string) Result {
	return reject(RejectedInvalid, "the bound %s is of the other kind: slots and leases do not mix", name)
}

// SetResource creates a resource or changes its limit. A limit of 0 removes the resource, and is rejected while units
// are leased or slots are reserved. Leases and reservations above a lowered limit stay until they end; until then
// nothing more is granted.
type SetResource struct {
	Name      string
	PerSecond bool // see Resource; it can't be changed later
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
	if state.exceedsMaxBytes(resource.size()) {
		return state.rejectStateFull()
	}
	state.resources[c.Name] = resource
	state.usedBytes += resource.size()
	return Result{}
}
