package state

import (
	"slices"
	"testing"
)

func TestReservations(t *testing.T) {
	s := NewState()
	mustApply(t, s, &SetResource{Name: "p", PerSecond: true, Limit: 5})
	reserve := func(holder string, sequence uint64, slots int64) Result {
		return apply(t, s, &Reserve{
			Resource: "p",
			Holder:   holder,
			Sequence: sequence,
			Slots:    slots,
			After:    10,
			Within:   20,
		})
	}
	wantReserved := func(step string, result Result, want ...ReservedSlot) {
		t.Helper()
		if !slices.Equal(result.Reserved, want) {
			t.Errorf("%s at %d ms: got %v, want %v", step, result.Clock, result.Reserved, want)
		}
	}
	first := reserve("x", 1, 7)
	wantReserved("first reservation", first, ReservedSlot{12, 5}, ReservedSlot{13, 2})
	wantReserved("retry with the same sequence number", reserve("x", 1, 7), first.Reserved...)
	wantReserved("second reservation, from 10 s ahead", reserve("x", 2, 4), ReservedSlot{14, 4})
	wantRejection(t, "earlier sequence number", reserve("x", 1, 7), ErrFenced)

	if result := reserve("y", 1, 1000); len(result.Reserved) == 0 || result.Reserved[0].Second < 16 {
		t.Errorf("more slots than are free: %+v", result)
	}
	if result := reserve("z", 1, 1); !result.OK() {
		t.Errorf("one slot in a later second: %+v", result)
	}
}
