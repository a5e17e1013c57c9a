package mix

import (
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// Flipping any one bit of a number flips about half of the bits of the result.
func TestEachBitFlipsHalfOfTheResult(t *testing.T) {
	for bit := range 64 {
		flipped := 0
		for x := range uint64(1000) {
			flipped += bits.OnesCount64(Bits(x) ^ Bits(x^1<<bit))
		}
		require.InDelta(t, 32, float64(flipped)/1000, 2, bit)
	}
}
