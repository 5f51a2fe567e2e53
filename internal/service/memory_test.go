package service

import "testing"

// TestHeadroomIsBounded: the percentage is 400 for a small live heap. For a large one it allows the heap to grow by no
// more bytes than for a small one.
func TestHeadroomIsBounded(t *testing.T) {
	for live, want := range map[uint64]int{
		0:        400,
		1 << 20:  400,
		4 << 20:  400,
		8 << 20:  200,
		16 << 20: 100,
		64 << 20: 25,
		1 << 40:  1,
	} {
		if got := gcPercent(live); got != want {
			t.Errorf("%d bytes live: %d %%, want %d %%", live, got, want)
		}
	}
}
