// Package affinity decides which hosts should hold the programs or data that the jobs of a key need. A host is a worker
// as the network code knows it. The package does no I/O and reads no clock.
//
// A host keeps the programs or data of some keys and fetches those of others while a job waits. Dispatchers that share
// hosts and see a key only now and then cannot learn which hosts hold it, so all use rendezvous hashing: each key
// belongs to those of the available hosts that have its highest hashes. When a host comes or goes only its own keys
// move.
package affinity

import (
	"hash/fnv"

	"topazfall/internal/decide/mix"
)

// PreferredHosts appends to out the indexes of the key's hosts, the highest hash first, at most maxHosts of them and at
// most eight. host returns the ID of the host at an index from 0 to n-1, and whether the host may be chosen.
func PreferredHosts(key uint64, n, maxHosts int, host func(int) (uint32, bool), out []int) []int {
	start := len(out)
	var scores [8]uint64
	maxHosts = min(maxHosts, len(scores))
	for i := range n {
		id, eligible := host(i)
		if !eligible {
			continue
		}
		score, at := mix.Bits(key^mix.Bits(uint64(id)+1)), len(out)
		for at > start && scores[at-start-1] < score {
			at--
		}
		if at-start >= maxHosts {
			continue
		}
		if len(out)-start < maxHosts {
			out = append(out, 0)
		}
		copy(out[at+1:], out[at:])
		copy(scores[at-start+1:maxHosts], scores[at-start:])
		out[at], scores[at-start] = i, score
	}
	return out
}

// HashKey returns the hash of a key, which is the same at every dispatcher, or 0 for the empty key.
func HashKey(text string) uint64 {
	if text == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return max(h.Sum64(), 1)
}
