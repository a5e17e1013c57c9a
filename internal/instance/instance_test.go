package instance

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/config"
)

// What is open keeps within the limits, and leaves the clients the third of the descriptors that they need.
func TestBounds(t *testing.T) {
	for _, sockets := range []int{256, 384, 1024} {
		for _, memory := range []int{32, 64, 192} {
			out, in := bounds(&config.Config{Sockets: sockets, MemoryMB: memory})
			require.LessOrEqual(t, out+in.MaxConns+reserved, sockets)
			require.GreaterOrEqual(t, in.MaxMessages, sockets*32/100, "%d descriptors, %d MB", sockets, memory)
			require.Less(t, in.MaxMessages, in.MaxConns)
			require.LessOrEqual(t, in.MaxConns*25, memory<<10/2, "kB")
			require.LessOrEqual(t, in.MaxLargeRequests*256, memory<<10/4, "kB")
		}
	}
	require.GreaterOrEqual(t, reserved, ownDescriptors, "what the program itself needs is kept for it")
	_, in := bounds(&config.Config{Sockets: 1024})
	require.Equal(t, 736, in.MaxConns, "no limit on memory is given")
}

// The system's limit on descriptors holds where it is lower than the one that the configuration tells.
func TestSystemAllowsFewerDescriptors(t *testing.T) {
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	require.Equal(t, 8, withinSystem(8))
	require.Equal(t, int(limit.Cur), withinSystem(int(limit.Cur)+1))
}

// A leaving process waits for what it has in hand as long as any settings that held allow its clients to wait, and not
// less than it is left alone in any case.
func TestLongestWaitOfAllSettings(t *testing.T) {
	h := &handover{}
	for _, step := range []struct{ deadline, want time.Duration }{
		{time.Second, 3 * time.Second},
		{8 * time.Second, 8 * time.Second},
		{2 * time.Second, 8 * time.Second}, // messages of the longer deadline may still be in hand
	} {
		h.holds(&topazfall.Settings{Classes: []topazfall.Class{{Deadline: step.deadline.Microseconds()}}})
		require.Equal(t, step.want, h.longestWait())
	}
}

// A signal to end comes while the address is still another's: the process goes, and has taken nothing.
func TestToldToEndBeforeItBegan(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	stop := make(chan os.Signal, 1)
	stop <- syscall.SIGTERM
	e, err := enter(filepath.Join(t.TempDir(), "none"), other.Addr().String(), stop)
	require.ErrorIs(t, err, ErrInterrupted)
	require.Nil(t, e.listener)
}
