package program

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// CPU time and memory that this process uses show up in its usage; a process that does not exist has none.
func TestReadUsage(t *testing.T) {
	before, err := ReadUsage(os.Getpid())
	require.NoError(t, err)
	block := make([]byte, 64<<20)
	for began := time.Now(); time.Since(began) < 200*time.Millisecond; {
		for i := range block {
			block[i]++
		}
	}
	after, err := ReadUsage(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, after.CPU-before.CPU, 20*time.Millisecond)
	require.Greater(t, after.ResidentBytes-before.ResidentBytes, int64(60<<20))
	_, err = ReadUsage(1 << 30)
	require.Error(t, err)
}
