package affinity

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// preferred returns the preferred hosts of a key; 0 in hosts stands for one that must not be chosen.
func preferred(key uint64, hosts []uint32, maxHosts int) (names []uint32) {
	for _, i := range PreferredHosts(key, len(hosts), maxHosts,
		func(i int) (uint32, bool) { return hosts[i], hosts[i] != 0 }, nil) {
		names = append(names, hosts[i])
	}
	return names
}

// Dispatchers with the same hosts in any order compute the same preferred hosts. A host that comes or goes moves only
// its own keys, and the keys are spread over all hosts.
func TestPreferredHosts(t *testing.T) {
	var hosts []uint32
	for i := range 50 {
		hosts = append(hosts, uint32(i+1)*2654435761)
	}
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	counts := map[uint32]int{}
	for i := range 3000 {
		key := HashKey(fmt.Sprint(i))
		all := preferred(key, hosts, 3)
		require.Len(t, all, 3)
		require.Equal(t, all, preferred(key, reversed, 3))
		reduced := slices.Clone(hosts)
		reduced[7] = 0 // must not be chosen
		after := preferred(key, reduced, 3)
		require.NotContains(t, after, hosts[7])
		kept := slices.DeleteFunc(slices.Clone(all), func(h uint32) bool { return h == hosts[7] })
		require.Equal(t, kept, after[:len(kept)])
		for _, h := range all {
			counts[h]++
		}
	}
	require.Len(t, counts, 50)
	for h, n := range counts { // 180 on average
		require.InDelta(t, 180, n, 70, h)
	}
	require.Len(t, preferred(1, hosts[:2], 3), 2)
	require.Empty(t, preferred(1, nil, 3))
}

func TestHashKey(t *testing.T) {
	require.Zero(t, HashKey(""))
	require.NotZero(t, HashKey("7f3a9c21e0b4d655"))
	require.NotEqual(t, HashKey("a"), HashKey("b"))
}
