package affinity

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func homes(key uint64, hosts []uint32, most int) (names []uint32) {
	for _, i := range PreferredHosts(key, len(hosts), most, func(i int) (uint32, bool) { return hosts[i], hosts[i] != 0 }, nil) {
		names = append(names, hosts[i])
	}
	return names
}

// All who know the same hosts name the same homes, in whatever order they list them; a host that leaves or comes moves
// no keys but its own, and every host has its part.
func TestHomes(t *testing.T) {
	var hosts []uint32
	for i := range 50 {
		hosts = append(hosts, uint32(i+1)*2654435761)
	}
	turned := slices.Clone(hosts)
	slices.Reverse(turned)
	part := map[uint32]int{}
	for i := range 3000 {
		key := HashKey(fmt.Sprint(i))
		all := homes(key, hosts, 3)
		require.Len(t, all, 3)
		require.Equal(t, all, homes(key, turned, 3))
		less := slices.Clone(hosts)
		less[7] = 0 // may not be chosen
		after := homes(key, less, 3)
		require.NotContains(t, after, hosts[7])
		kept := slices.DeleteFunc(slices.Clone(all), func(h uint32) bool { return h == hosts[7] })
		require.Equal(t, kept, after[:len(kept)])
		for _, h := range all {
			part[h]++
		}
	}
	require.Len(t, part, 50)
	for h, n := range part { // 180 on average
		require.InDelta(t, 180, n, 70, h)
	}
	require.Len(t, homes(1, hosts[:2], 3), 2)
	require.Empty(t, homes(1, nil, 3))
}

func TestKey(t *testing.T) {
	require.Zero(t, HashKey(""))
	require.NotZero(t, HashKey("7f3a9c21e0b4d655"))
	require.NotEqual(t, HashKey("a"), HashKey("b"))
}
