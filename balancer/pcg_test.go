package balancer

import "testing"

func TestUint128(t *testing.T) {
	const maxUint64 = 1<<64 - 1
	for _, c := range []struct{ x, y, sum, product uint128 }{
		{uint128{0, 2}, uint128{0, 3}, uint128{0, 5}, uint128{0, 6}},
		{uint128{0, maxUint64}, uint128{0, 1}, uint128{1, 0}, uint128{0, maxUint64}},
		{uint128{0, maxUint64}, uint128{0, maxUint64}, uint128{1, maxUint64 - 1}, uint128{maxUint64 - 1, 1}},
		{uint128{1, 0}, uint128{0, 7}, uint128{1, 7}, uint128{7, 0}},
		{uint128{maxUint64, maxUint64}, uint128{0, 1}, uint128{0, 0}, uint128{maxUint64, maxUint64}},
	} {
		if c.x.plus(c.y) != c.sum || c.x.times(c.y) != c.product {
			t.Errorf("%v, %v: sum %v, product %v", c.x, c.y, c.x.plus(c.y), c.x.times(c.y))
		}
	}
}

// A jump over a number of draws must give the same state as the draws.
func TestPCGJump(t *testing.T) {
	state := uint128{0x123456789abcdef0, 0xfedcba9876543210}
	for _, draws := range []int{0, 1, 2, 3, 17, 1000} {
		want := state
		for range draws {
			want = want.times(pcgMul).plus(pcgInc)
		}
		mul, inc := pcgJump(draws)
		if got := state.times(mul).plus(inc); got != want {
			t.Errorf("%d draws: state %x, want %x", draws, got, want)
		}
	}
}
