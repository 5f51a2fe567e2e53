package state

import (
	"cmp"
	"fmt"

	"olivearch/internal/protomsg"
)

// Fields of Reserve.
const (
	fieldReserveResource = 1
	fieldReserveHolder   = 2
	fieldReserveSequence = 3
	fieldReserveSlots    = 4
	fieldReserveAfter    = 5
	fieldReserveWithin   = 6
)

func (c *Reserve) encode(w *protomsg.Writer) {
	w.String(fieldReserveResource, c.Resource)
	w.String(fieldReserveHolder, c.Holder)
	w.Uint(fieldReserveSequence, c.Sequence)
	w.Int(fieldReserveSlots, c.Slots)
	w.Uint(fieldReserveAfter, uint64(c.After))
	w.Uint(fieldReserveWithin, uint64(c.Within))
}

func (c *Reserve) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldReserveResource:
		return field.Text(&c.Resource, MaxName)
	case fieldReserveHolder:
		return field.Text(&c.Holder, MaxName)
	case fieldReserveSequence:
		c.Sequence = field.Uint
	case fieldReserveSlots:
		c.Slots = field.Int()
	case fieldReserveAfter:
		c.After = decodeSecondsAhead(field)
	case fieldReserveWithin:
		c.Within = decodeSecondsAhead(field)
	}
	return nil
}

// decodeSecondsAhead decodes a number of seconds. It limits large numbers, which may not fit uint32, to one that Check
// rejects.
func decodeSecondsAhead(field protomsg.Field) uint32 {
	const tooFar = 1 << 20
	return uint32(min(field.Uint, tooFar))
}

// Fields of a reserved slot.
const (
	fieldReservedSlotSecond = 1
	fieldReservedSlotCount  = 2
)

// EncodeReserved appends reserved slots to a message, each as a nested message with the given field number.
func EncodeReserved(w *protomsg.Writer, field protomsg.Number, slots []ReservedSlot) {
	for _, slot := range slots {
		w.Message(field, func(nested *protomsg.Writer) {
			nested.Uint(fieldReservedSlotSecond, slot.Second)
			nested.Int(fieldReservedSlotCount, slot.Count)
		})
	}
}

// DecodeReserved decodes one nested message that EncodeReserved wrote. The error wraps protomsg.ErrMalformed.
func DecodeReserved(encoded []byte) (ReservedSlot, error) {
	var slot ReservedSlot
	err := protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case fieldReservedSlotSecond:
			slot.Second = field.Uint
		case fieldReservedSlotCount:
			slot.Count = field.Int()
		}
		return nil
	})
	return slot, err
}

// Fields of a stored reservation.
const (
	fieldReservationResource = 1
	fieldReservationHolder   = 2
	fieldReservationSequence = 3
	fieldReservationUntil    = 4
	fieldReservationSlot     = 5 // repeated
)

func (r *reservation) encode(w *protomsg.Writer) {
	w.String(fieldReservationResource, r.resource)
	w.String(fieldReservationHolder, r.holder)
	w.Uint(fieldReservationSequence, r.sequence)
	w.Uint(fieldReservationUntil, r.until)
	EncodeReserved(w, fieldReservationSlot, r.slots)
}

func (r *reservation) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldReservationResource:
		return field.Text(&r.resource, MaxName)
	case fieldReservationHolder:
		return field.Text(&r.holder, MaxName)
	case fieldReservationSequence:
		r.sequence = field.Uint
	case fieldReservationUntil:
		r.until = field.Uint
	case fieldReservationSlot:
		slot, err := DecodeReserved(field.Raw)
		r.slots = append(r.slots, slot)
		return err
	}
	return nil
}

// decodeReservation decodes a stored reservation and adds it to the state.
func (s *State) decodeReservation(encoded []byte) error {
	var stored reservation
	err := protomsg.EachField(encoded, stored.decode)
	err = cmp.Or(err, checkName("stored resource", stored.resource), checkName("holder", stored.holder))
	if err != nil {
		return err
	}
	key := reservationKey(stored.resource, stored.holder)
	if _, exists := s.reservations[key]; exists {
		return fmt.Errorf("%w: two reservations of %s", protomsg.ErrMalformed, stored.holder)
	}
	s.reservations[key] = stored
	s.usedBytes += stored.size()
	return nil
}
