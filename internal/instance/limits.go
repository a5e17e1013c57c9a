package instance

import (
	"log/slog"
	"runtime/debug"
	"syscall"

	"topazfall/internal/config"
	"topazfall/internal/frontend"
	"topazfall/internal/manage"
)

// What one process needs descriptors for beside its connections with clients and workers: the most of each at a moment.
const (
	standardStreams = 3 // the log is one of them
	runtimeFiles    = 4 // the poller, its wake-up, and up to two files of the processor's quota
	listeners       = 4 // clients', operators', the hand-over's, and the socket to other dispatchers
	justAccepted    = 3 // one by each of the first three listeners, before it has a place or is closed
	discoveryConns  = 8 // as many as internal/discovery opens at most
	handoverLinks   = 3 // to the predecessor, to the successor, and to another process that asks meanwhile
	passedOn        = 2 // a descriptor that comes over a link, and its copy
	configFile      = 1 // read at SIGHUP

	ownDescriptors = standardStreams + runtimeFiles + listeners + justAccepted + discoveryConns + handoverLinks +
		passedOn + configFile + manage.Places
)

// reserved are the descriptors that are kept for the program itself, whatever clients do: more than ownDescriptors, so
// that there is always one for a call to discovery, the operators, a successor and what is passed to it. Connections to
// workers, probes among them, have a share of their own, which clients cannot take either.
//
// While one process replaces another the connections of both keep within one limit (see handover.share). Of reserved,
// each has half then: the 13 or less that are open all the time, and the places of the operators. The system's limit
// holds for each process by itself, so that either may still have ownDescriptors for a moment.
const reserved = 2 * (13 + manage.Places)

// withinSystem is how many descriptors this process may have: as many as it is told, or as the system allows if that is
// less. The runtime has raised the soft limit to the hard one by now.
func withinSystem(told int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(told) {
		return told
	}
	slog.Warn("main", "state", "fewer descriptors", "told", told, "allowed", limit.Cur)
	return int(limit.Cur)
}

// bounds derives what may be open and in hand from the limits. Of the descriptors a quarter is for connections
// to hosts, the rest for what connects to us: two thirds of that for messages in hand, which is more than the
// third that clients need, one for call-backs. A connection that is read takes some 25 kB, so that a crowd of
// them may have less than half of the memory; a large request takes a quarter of a MiB, all a quarter of it.
func bounds(c *config.Config) (out int, in frontend.Options) {
	sockets, memory := max(c.Sockets-reserved, 8), c.MemoryMB
	if memory <= 0 {
		memory = 1 << 10 // as good as unlimited
	}
	conns := min(sockets*3/4, max(memory*16, 6))
	return sockets / 4, frontend.Options{Conns: conns, Messages: conns * 2 / 3, Large: memory}
}

// within keeps the runtime within the limit on memory, or a share of it: it cannot see that by itself.
func within(c *config.Config, share float64) {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(int64(c.MemoryMB)<<20) * 3 / 4 * share))
	}
}
