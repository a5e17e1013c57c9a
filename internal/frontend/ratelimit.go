package frontend

import (
	"sync"
	"time"
)

// maxLogsPerSecond is the number of log entries of one kind that faulty input can cause in a second.
const maxLogsPerSecond = 20

// rateLimiter allows maxLogsPerSecond events a second. It keeps a client that sends malformed requests at full speed
// from filling the log.
type rateLimiter struct {
	mu     sync.Mutex
	second int64
	count  int
}

// faultLogLimiter limits the log entries about faulty input that have no limiter of their kind.
var faultLogLimiter = &rateLimiter{}

// allow reports whether the event is within the limit for the current second.
func (l *rateLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second, l.count = now, 0
	}
	l.count++
	return l.count <= maxLogsPerSecond
}
