package instance

import (
	"runtime/debug"

	"topazfall/internal/config"
	"topazfall/internal/manage"
	"topazfall/internal/north"
)

// reserved are the descriptors of the log, the listeners, discovery, the runtime and the second address, for two
// processes, as when one replaces the other.
const reserved = 2 * (13 + manage.Places)

// bounds derives what may be open and in hand from the limits. Of the descriptors a quarter is for connections
// to hosts, the rest for what connects to us: two thirds of that for messages in hand, which is more than the
// third that clients need, one for call-backs. A connection that is read takes some 25 kB, so that a crowd of
// them may have less than half of the memory; a large request takes a quarter of a MiB, all a quarter of it.
func bounds(c *config.Config) (out int, in north.Options) {
	sockets, memory := max(c.Sockets-reserved, 8), c.MemoryMB
	if memory <= 0 {
		memory = 1 << 10 // as good as unlimited
	}
	conns := min(sockets*3/4, max(memory*16, 6))
	return sockets / 4, north.Options{Conns: conns, Messages: conns * 2 / 3, Large: memory}
}

// within keeps the runtime within the limit on memory, or a share of it: it cannot see that by itself.
func within(c *config.Config, share float64) {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(int64(c.MemoryMB)<<20) * 3 / 4 * share))
	}
}
