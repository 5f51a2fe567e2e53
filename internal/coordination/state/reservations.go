package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// ReservedSlot is a number of slots in one second of the cluster's clock.
type ReservedSlot struct {
	Second uint64
	Count  int64 // slots
}

// reservation is the last one of a holder. It is stored for reservationRetention so that a retry gets the same
// answer.
type reservation struct {
	resource string
	holder   string
	sequence uint64
	slots    []ReservedSlot
	until    uint64 // end of the retention in ms of the cluster's clock
}

// reservationRetention is for how long the answer to a reservation is stored for retries.
const reservationRetention = 10 * time.Minute

// reservationKey is the key of a holder's reservation. It is unique since neither name contains a space.
func reservationKey(resource, holder string) string { return resource + " " + holder }

func (r *reservation) size() int64 {
	return entryOverhead + textSize(r.resource, r.holder) + slotsSize(r.slots)
}

func slotsSize(slots []ReservedSlot) int64 { return slotOverhead * int64(len(slots)) }

// Reserved returns the reserved slots of a resource, by second.
func (r *Resource) Reserved() []ReservedSlot {
	var all []ReservedSlot
	for _, second := range slices.Sorted(maps.Keys(r.reserved)) {
		all = append(all, ReservedSlot{second, r.reserved[second]})
	}
	return all
}

// freeSlots returns the earliest free slots from one second to another, both included, up to a number of slots.
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

// Reserve asks for slots in the seconds to come, the earliest first. It may grant fewer than asked. Sent again with
// the same sequence number it brings the same answer.
type Reserve struct {
	Resource, Holder string
	Sequence         uint64 // grows with each of the holder's reservations
	Slots            int64  // slots
	After, Within    uint32 // the first and the last second that will do, from now
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
		until:    state.deadline(reservationRetention),
	}
	growth := next.size()
	if exists {
		growth -= previous.size()
	}
	if state.exceedsCapacity(growth + slotsSize(slots)) {
		return state.rejectFull()
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
