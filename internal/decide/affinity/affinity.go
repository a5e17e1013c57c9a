// Package affinity says which hosts should hold what the jobs of a key need. It does no I/O and reads no clock.
//
// A host keeps the programs or data of some keys, and fetches those of others while a job waits for them. Dispatchers
// that share hosts and see a key now and then cannot learn who holds it, so all go by the same rule: of the hosts that
// are there each key has those with its highest hashes. When hosts come or go only their own keys move.
package affinity

import (
	"hash/fnv"

	"topazfall/internal/decide/mix"
)

// PreferredHosts appends to out the places of the key's hosts, most hosts at most. name gives a host's own number and whether it
// may be chosen, for places from 0 to n-1.
func PreferredHosts(key uint64, n, most int, name func(int) (uint32, bool), out []int) []int {
	first := len(out)
	var scores [8]uint64
	most = min(most, len(scores))
	for i := range n {
		id, may := name(i)
		if !may {
			continue
		}
		score, at := mix.Bits(key^mix.Bits(uint64(id)+1)), len(out)
		for at > first && scores[at-first-1] < score {
			at--
		}
		if at-first >= most {
			continue
		}
		if len(out)-first < most {
			out = append(out, 0)
		}
		copy(out[at+1:], out[at:])
		copy(scores[at-first+1:most], scores[at-first:])
		out[at], scores[at-first] = i, score
	}
	return out
}

// HashKey is a key as a number, the same at every dispatcher; 0 stands for none.
func HashKey(text string) uint64 {
	if text == "" {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return max(h.Sum64(), 1)
}
