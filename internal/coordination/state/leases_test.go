package state

import (
	"testing"
	"time"
)

func TestLeases(t *testing.T) {
	s := NewState()
	acquire := func(holder string, units int64, fencingToken uint64) Result {
		return apply(t, s, &AcquireLease{
			Resource:     "b",
			Holder:       holder,
			Units:        units,
			Duration:     10 * time.Second,
			FencingToken: fencingToken,
		})
	}
	wantRejection(t, "resource that does not exist", acquire("x", 1, 0), ErrNotFound)
	mustApply(t, s, &SetResource{Name: "b", Limit: 10})

	granted := acquire("x", 6, 0)
	tooMany := acquire("y", 5, 0)
	wantRejection(t, "over the limit", tooMany, ErrNoCapacity)
	if tooMany.Free != 4 {
		t.Errorf("over the limit: %d units are free, want 4", tooMany.Free)
	}
	wantRejection(t, "lease of another incarnation that has not ended", acquire("x", 6, 0), ErrFenced)
	renewed := acquire("x", 7, granted.FencingToken)
	if !renewed.OK() || renewed.FencingToken != granted.FencingToken || renewed.Free != 3 {
		t.Errorf("renewing: %+v", renewed)
	}
	release := &ReleaseLease{Resource: "b", Holder: "x", FencingToken: granted.FencingToken + 1}
	wantRejection(t, "released under another fencing token", apply(t, s, release), ErrFenced)

	for range 10 {
		mustApply(t, s, &AdvanceClock{})
	}
	wantRejection(t, "renewed after its end", acquire("x", 7, granted.FencingToken), ErrFenced)
	if next := acquire("y", 10, 0); !next.OK() || next.FencingToken <= granted.FencingToken {
		t.Errorf("lease of the next holder: %+v after %+v", next, granted)
	}

	wantRejection(t, "removed while leased", apply(t, s, &SetResource{Name: "b", Limit: 0}), ErrNoCapacity)
	mustApply(t, s, &SetResource{Name: "b", Limit: 3})
	wantRejection(t, "granted over a lowered limit", acquire("z", 1, 0), ErrNoCapacity)
}
