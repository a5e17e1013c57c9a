package socket

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minUnreadTime is the shortest time that UnreadTime returns. The system counts in ticks of up to 10 ms.
	minUnreadTime = 20 * time.Millisecond
	// maxUnreadTime is the longest time that UnreadTime takes for real. Some systems do not keep the time.
	maxUnreadTime = time.Minute
)

// UnreadTime returns how long ago the last data of a TCP connection arrived, which is how long unread data has waited
// at least. It is 0 for a time under 20 ms, and if the system does not know.
func UnreadTime(fd uintptr) time.Duration {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	elapsed := time.Duration(info.Last_data_recv) * time.Millisecond
	if elapsed < minUnreadTime || elapsed > maxUnreadTime {
		return 0
	}
	return elapsed
}
