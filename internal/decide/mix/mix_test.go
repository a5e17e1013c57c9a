package mix

import (
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each bit of a number turns about half of the bits of the result, small numbers as well as large ones.
func TestEachBitTurnsHalfOfAll(t *testing.T) {
	for bit := range 64 {
		turned := 0
		for x := range uint64(1000) {
			turned += bits.OnesCount64(Bits(x) ^ Bits(x^1<<bit))
		}
		require.InDelta(t, 32, float64(turned)/1000, 2, bit)
	}
}
