// Jumping ahead in the random source, past draws that were omitted.

package balancer

import (
	"encoding/binary"
	"math/bits"
)

// minJumpDraws is the number of draws from which a jump is faster than drawing.
const minJumpDraws = 16

// The generator of math/rand/v2 is PCG: each draw sets state = state·pcgMul + pcgInc, in 128 bits.
var (
	pcgMul = uint128{2549297995355413924, 4865540595714422341}
	pcgInc = uint128{6364136223846793005, 1442695040888963407}
)

// uint128 is an unsigned 128-bit integer. Its operations wrap around.
type uint128 struct{ hi, lo uint64 }

func (x uint128) times(y uint128) uint128 {
	hi, lo := bits.Mul64(x.lo, y.lo)
	return uint128{hi + x.hi*y.lo + x.lo*y.hi, lo}
}

func (x uint128) plus(y uint128) uint128 {
	lo, carry := bits.Add64(x.lo, y.lo, 0)
	hi, _ := bits.Add64(x.hi, y.hi, carry)
	return uint128{hi, lo}
}

// pcgJump returns the factor and the summand that advance the state by a number of draws at once (F. Brown, Random
// Number Generation with Arbitrary Strides, 1994).
func pcgJump(draws int) (mul, inc uint128) {
	one := uint128{0, 1}
	mul = one
	stepMul, stepInc := pcgMul, pcgInc // for 1, 2, 4, … draws
	for ; draws > 0; draws >>= 1 {
		if draws&1 == 1 {
			mul = mul.times(stepMul)
			inc = inc.times(stepMul).plus(stepInc)
		}
		stepInc = stepInc.times(stepMul.plus(one))
		stepMul = stepMul.times(stepMul)
	}
	return mul, inc
}

// skipDraws advances the random source by a number of draws.
func (b *Balancer) skipDraws(draws int) {
	if draws < minJumpDraws {
		for range draws {
			b.rng.Uint64()
		}
		return
	}
	text, _ := b.rngSource.MarshalBinary() // "pcg:" and the state
	bytes := text[len(text)-16:]
	state := uint128{binary.BigEndian.Uint64(bytes), binary.BigEndian.Uint64(bytes[8:])}
	mul, inc := pcgJump(draws)
	state = state.times(mul).plus(inc)
	binary.BigEndian.PutUint64(bytes, state.hi)
	binary.BigEndian.PutUint64(bytes[8:], state.lo)
	_ = b.rngSource.UnmarshalBinary(text) // can't fail on the output of MarshalBinary
}
