package program

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What this process burns shows in its usage, and what it allocates in its resident memory.
func TestUsageOf(t *testing.T) {
	before, err := UsageOf(os.Getpid())
	require.NoError(t, err)
	block := make([]byte, 64<<20)
	for began := time.Now(); time.Since(began) < 200*time.Millisecond; {
		for i := range block {
			block[i]++
		}
	}
	after, err := UsageOf(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, after.CPU-before.CPU, 20*time.Millisecond)
	require.Greater(t, after.Resident-before.Resident, int64(60<<20))
	_, err = UsageOf(1 << 30)
	require.Error(t, err)
}
