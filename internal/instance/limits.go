package instance

import (
	"log/slog"
	"runtime/debug"
	"syscall"

	"topazfall/internal/config"
	"topazfall/internal/frontend"
	"topazfall/internal/manage"
)

// The maximum number of file descriptors of each kind that a process needs at a time, besides its connections to
// clients and workers.
const (
	standardStreams = 3 // the log is one of them
	runtimeFiles    = 4 // the poller, its wake-up, and up to two files of the CPU quota
	listeners       = 4 // for clients, operators and handover, and the socket to other dispatchers
	pendingAccepts  = 3 // one for each of the first three listeners, before the connection is counted or closed
	discoveryConns  = 8 // the maximum that internal/discovery opens
	handoverLinks   = 3 // to the predecessor, the successor, and another process that asks meanwhile
	transferred     = 2 // a descriptor received over a link, and its copy
	configFile      = 1 // read at SIGHUP
	memoryFigures   = 1 // the system's figures of the process, read each second

	ownDescriptors = standardStreams + runtimeFiles + listeners + pendingAccepts + discoveryConns + handoverLinks +
		transferred + configFile + memoryFigures + manage.MaxConns
)

// reserved is the number of descriptors that clients cannot use. It is more than ownDescriptors, so that there is
// always one for a call to discovery, the operators, a successor and the handover. Connections to workers, including
// probes, have a share of their own, which clients cannot use either.
//
// While one process replaces another, the connections of both stay within one limit (see handover.updateLimits). Each
// then has half of reserved: the up to 13 descriptors that are open all the time, and the operators' connections. The
// system's limit applies to each process separately, so that each may still have ownDescriptors for a moment.
const reserved = 2 * (13 + manage.MaxConns)

// descriptorLimit returns the number of descriptors that this process may have: the configured number, or the system's
// limit if that is lower. The runtime has already raised the soft limit to the hard limit.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	slog.Warn("main", "state", "fewer descriptors", "told", configured, "allowed", limit.Cur)
	return int(limit.Cur)
}

const (
	programMemory    = 5 << 20 // bytes: of the program itself, beyond a quarter of the smallest configured memory
	ranIDShare       = 32      // of the memory, one part in so many is for the ids of messages that may have run
	minRequestMemory = 1 << 20 // bytes: for some requests of the largest size, whatever the memory
)

// deriveLimits derives the limits on connections and messages from the configured limits on descriptors and memory. A
// quarter of the descriptors is for connections to hosts (workers), the rest for incoming connections: two thirds of
// those for messages in flight, which is more than the third that clients need, and one third for callbacks. A
// connection with a small request takes about 25 kB, so that all connections together take less than half of the
// memory. Larger requests have a quarter of the memory for what they take beyond that, less what the program needs at
// the smallest configured memory.
func deriveLimits(c *config.Config) (maxUpstreamConns int, serverLimits frontend.Options) {
	sockets, memory := max(c.Sockets-reserved, 8), c.MemoryMB
	if memory <= 0 {
		memory = 1 << 10 // in MB: high enough not to limit anything
	}
	conns := min(sockets*3/4, max(memory*16, 6))
	return sockets / 4, frontend.Options{MaxConns: conns, MaxMessages: conns * 2 / 3,
		RequestMemory: max(int64(memory)<<20/4-programMemory, minRequestMemory)}
}

// memoryMargin is kept free of the configured memory, for what the runtime cannot keep within its limit at once.
const memoryMargin = 2 << 20 // bytes

// setMemoryLimit sets the runtime's memory limit to three quarters of the configured limit, or of a share of it, and to
// what the program's own code in memory leaves of it. The runtime cannot detect the limit by itself.
func setMemoryLimit(c *config.Config, share float64) {
	if c.MemoryMB <= 0 {
		return
	}
	configured := int64(c.MemoryMB) << 20
	limit := configured * 3 / 4
	if memory, err := readMemory(); err == nil {
		limit = min(limit, configured-memory.files-memoryMargin)
	}
	debug.SetMemoryLimit(int64(float64(max(limit, configured/4)) * share))
}
