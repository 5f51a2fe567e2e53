package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ReservedSlot is a number of reserved slots in one second of the cluster clock.
type ReservedSlot struct {
	Second uint64
	Count  int64 // slots
}

// reservation is the latest reservation of a holder for a resource. It is stored for reservationRetention so that a
// retry gets the same result.
type reservation struct {
	resource string
	holder   string
	sequence uint64
	slots    []ReservedSlot
	until    uint64 // end of the retention, in ms of the cluster clock
}

// reservationRetention is how long the result of a reservation is stored for retries.
const reservationRetention = 10 * time.Minute

// reservationKey returns the key of a holder's reservation. It is unique because neither name may contain a space.
func reservationKey(resource, holder string) string { return resource + " " + holder }

func (r *reservation) size() int64 {
	return entryOverhead + textSize(r.resource, r.holder) + slotsSize(r.slots)
}

func slotsSize(slots []ReservedSlot) int64 { return slotOverhead * int64(len(slots)) }

// Reserved returns the reserved slots of a resource, sorted by second.
func (r *Resource) Reserved() []ReservedSlot {
	var all []ReservedSlot
	for _, second := range slices.Sorted(maps.Keys(r.reserved)) {
		all = append(all, ReservedSlot{second, r.reserved[second]})
	}
	return all
}

// freeSlots returns the earliest free slots between two seconds, both included, and at most wanted slots in total.
func (r *Resource) freeSlots(from, to uint64, wanted int64) []ReservedSlot {
	var free []ReservedSlot
	for second := from; second <= to && wanted > 0; second++ {
		count := min(wanted, r.Limit-r.reserved[second])
		if count > 0 {
			free = append(free, ReservedSlot{second, count})
			wanted -= count
		}
	}
	return free
}

// Reserve requests slots in future seconds and is granted the earliest free ones, which may be fewer than requested. A
// retry with the same sequence number gets the same slots, for as long as the reservation is retained.
type Reserve struct {
	Resource, Holder string
	Sequence         uint64 // increases with each reservation of the holder
	Slots            int64
	After, Within    uint32 // first and last acceptable second, in seconds from now
}

// Check implements Command.
func (c *Reserve) Check() error {
	return cmp.Or(
		checkName("bound", c.Resource),
		checkName("holder", c.Holder),
		c.checkSequence(),
		checkCount("places", c.Slots),
		c.checkHorizon(),
	)
}

func (c *Reserve) checkSequence() error {
	if c.Sequence == 0 {
		return errors.New("sequence: over 0")
	}
	return nil
}

func (c *Reserve) checkHorizon() error {
	if c.Within > MaxReservationHorizon || c.After > c.Within {
		const format = "after and within: at most %d s ahead, and after no later than within"
		return fmt.Errorf(format, MaxReservationHorizon)
	}
	return nil
}

func (c *Reserve) apply(state *State) Result {
	resource, result := state.reservableResource(c.Resource)
	if !result.OK() {
		return result
	}
	previous, exists := state.reservations[reservationKey(c.Resource, c.Holder)]
	switch {
	case exists && c.Sequence == previous.sequence:
		return Result{Reserved: slices.Clone(previous.slots)}
	case exists && c.Sequence < previous.sequence:
		return reject(RejectedFenced, "%s has booked number %d already", c.Holder, previous.sequence)
	}
	now := state.clock / millisPerSecond
	slots := resource.freeSlots(now+uint64(c.After), now+uint64(c.Within), c.Slots)
	if len(slots) == 0 {
		const format = "no second from %d to %d s ahead has a place left"
		return reject(RejectedNoCapacity, format, c.After, c.Within)
	}
	next := reservation{
		resource: c.Resource,
		holder:   c.Holder,
		sequence: c.Sequence,
		slots:    slots,
		until:    state.expiryAfter(reservationRetention),
	}
	growth := next.size()
	if exists {
		growth -= previous.size()
	}
	if state.exceedsMaxBytes(growth + slotsSize(slots)) {
		return state.rejectStateFull()
	}
	state.reserveSlots(resource, slots)
	state.usedBytes += growth
	state.reservations[reservationKey(c.Resource, c.Holder)] = next
	state.scheduleExpiry(next.until)
	return Result{Reserved: slices.Clone(slots)}
}

func (s *State) reserveSlots(resource *Resource, slots []ReservedSlot) {
	for _, slot := range slots {
		if resource.reserved[slot.Second] == 0 {
			s.usedBytes += slotOverhead
		}
		resource.reserved[slot.Second] += slot.Count
		s.scheduleExpiry(endOfSecond(slot.Second))
	}
}
