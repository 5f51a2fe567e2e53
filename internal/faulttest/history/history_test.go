package history

import (
	"strings"
	"testing"
	"time"
)

// Each wrong is found, and what could have been is not blamed.
func TestCheck(t *testing.T) {
	write := func(from, to, value int64) Call { return Call{0, "s", Write, value, from, to, false} }
	read := func(from, to, value int64) Call { return Call{1, "s", Read, value, from, to, false} }
	unsure := func(from, value int64) Call { return Call{2, "s", Write, value, from, from, true} }
	for _, c := range []struct {
		name, want string
		calls      []Call
	}{
		{"one after the other", "", []Call{write(1, 2, 7), read(3, 4, 7), write(5, 6, 0), read(7, 8, 0)}},
		{"a stale reading", "fit no order", []Call{write(1, 2, 7), write(3, 4, 8), read(5, 6, 7)}},
		{"at the same time either is right", "", []Call{write(1, 9, 7), write(2, 8, 8), read(10, 11, 7)}},
		{"two readings that disagree on the order", "fit no order", []Call{write(1, 9, 7), write(2, 8, 8), read(10, 11, 7), read(12, 13, 8)}},
		{"unsure and never held", "", []Call{write(1, 2, 7), unsure(3, 8), read(10, 11, 7)}},
		{"unsure and held late", "", []Call{write(1, 2, 7), unsure(3, 8), read(10, 11, 7), read(12, 13, 8)}},
		{"out of nowhere", "fit no order", []Call{write(1, 2, 7), read(3, 4, 9)}},
	} {
		h := New(0)
		for _, x := range c.calls {
			h.Call(x)
		}
		expect(t, c.name, h, c.want)
	}
	lease := func(holder string, asked, from, until int64, fence uint64) Lease {
		return Lease{"b", holder, 2, fence, asked, from, until, 3}
	}
	for _, c := range []struct {
		name, want string
		leases     []Lease
	}{
		{"one after the other", "", []Lease{lease("x", 1, 2, 10, 5), lease("y", 11, 12, 20, 6)}},
		{"two at once", "are held at once", []Lease{lease("x", 1, 2, 10, 5), lease("y", 8, 9, 20, 6)}},
		{"a fence that does not grow", "the fence of b", []Lease{lease("x", 1, 2, 10, 6), lease("y", 11, 12, 20, 6)}},
	} {
		h := New(0)
		for _, l := range c.leases {
			h.Lease(l)
		}
		expect(t, c.name, h, c.want)
	}
	h := New(0)
	h.Slots(Slot{"p", 4, 2, 3}, Slot{"p", 5, 2, 3})
	expect(t, "slots", h, "")
	h.Slots(Slot{"p", 4, 2, 3})
	expect(t, "a second given twice", h, "4 places of second 4")

	h = New(0)
	h.Promised("c", 5)
	h.Unsure("c", 3)
	h.Found("c", 3)
	expect(t, "an unsure one came late", h, "")
	h.Found("c", 4)
	expect(t, "a promise is gone", h, "5 was promised of c, and 4 is held")

	h = New(0)
	h.Call(Call{0, "c", Write, 5, 1, int64(time.Second), false})
	h.Look(Look{"copy", "c", 0, int64(2 * time.Second), 1500 * time.Millisecond})
	expect(t, "an old copy that says so", h, "")
	h.Look(Look{"copy", "c", 0, int64(2 * time.Second), 500 * time.Millisecond})
	expect(t, "an old copy that says it is fresh", h, "of which 5 was promised")
}

func expect(t *testing.T, name string, h *History, want string) {
	t.Helper()
	v := h.Check(10 * time.Second)
	if got := strings.Join(v.Wrong, "; "); (want == "") != (got == "") || !strings.Contains(got, want) {
		t.Errorf("%s: %q, want %q", name, got, want)
	}
}
