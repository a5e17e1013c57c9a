package gossip

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const noon = int64(1_800_000_000_000_000)

func TestMessageRoundTrip(t *testing.T) {
	for _, op := range []Op{Sent, Ended, Failed} {
		for _, age := range []int64{0, 1_000, 40_000, 1_900_000} {
			data := Message{Op: op, At: noon - age, Host: HostHash("s-1"), Work: age + 70_000}.Append(nil)
			require.Len(t, data, MessageSize)
			got, err := Parse(data, noon)
			require.NoError(t, err)
			require.Equal(t, op, got.Op)
			require.Equal(t, HostHash("s-1"), got.Host)
			require.Equal(t, age+70_000, got.Work)
			require.InDelta(t, noon-age, got.At, timeStep)
			require.LessOrEqual(t, got.At, noon)
		}
	}
}

func TestParseRejectsInvalidMessages(t *testing.T) {
	good := Message{Op: Sent, At: noon, Host: 7}.Append(nil)
	for name, data := range map[string][]byte{
		"length is 0":      nil,
		"length is 3":      good[:3],
		"length is 9":      append(good[:MessageSize:MessageSize], 0),
		"version is 1":     {1<<4 | byte(Sent), good[1], 0, 0, 0, 0, 0, 7},
		"op 0 is unknown":  {formatVersion << 4, good[1], 0, 0, 0, 0, 0, 7},
		"op 15 is unknown": {formatVersion<<4 | 15, good[1], 0, 0, 0, 0, 0, 7},
		"age is 2016000":   Message{Op: Sent, At: noon - MaxAge - timeStep, Host: 7}.Append(nil),
		"age is -64000":    Message{Op: Sent, At: noon + maxClockSkew + timeStep, Host: 7}.Append(nil),
	} {
		_, err := Parse(data, noon)
		require.ErrorContains(t, err, name)
	}
}

// Work that exceeds the field of the message is capped and does not overflow.
func TestWorkIsBounded(t *testing.T) {
	for work, want := range map[int64]int64{-1: 0, 999: 0, 65_535_999: 65_535_000, 1 << 62: 65_535_000} {
		got, err := Parse(Message{Op: Sent, At: noon, Work: work}.Append(nil), noon)
		require.NoError(t, err)
		require.Equal(t, want, got.Work)
	}
}

// A hash identifies one host of a fleet. With 16 bits two of 200 hosts would collide in one fleet of four.
func TestHostHashesOfALargeFleetDiffer(t *testing.T) {
	for fleet := range 50 {
		names := map[uint32]bool{}
		for host := range 200 {
			names[HostHash(fmt.Sprintf("s-%02x%06x", fleet, host*7919))] = true
		}
		require.Len(t, names, 200)
	}
}

// A message about a host goes to all dispatchers that have the host in their subset, and to no others.
func TestForEachSharer(t *testing.T) {
	for _, c := range []struct{ dispatchers, hosts, size int }{{1, 5, 5}, {3, 9, 9}, {80, 60, 6}, {80, 78, 7},
		{5, 200, 120}} {
		visited := 0
		for me := range c.dispatchers {
			for place := range c.hosts {
				ForEachSharer(place, c.hosts, c.size, me, c.dispatchers, func(peer int) {
					visited++
					holds := false
					for i := range c.size {
						holds = holds || (SubsetStart(peer, c.dispatchers, c.hosts)+i)%c.hosts == place
					}
					require.True(t, holds && peer != me)
				})
			}
		}
		require.Equal(t, (c.dispatchers-1)*c.dispatchers*c.size, visited)
	}
	ForEachSharer(-1, 0, 6, 0, 80, func(int) { t.Fatal("visited a dispatcher although there are no hosts") })
}

func TestPeerLoad(t *testing.T) {
	var l PeerLoad
	l.Add(10, 1)
	l.Add(20, 1)
	l.Add(30, -1)
	require.Equal(t, []int{1, 0, -1, 0}, []int{l.Since(0), l.Since(10), l.Since(20), l.Since(30)})
	for i := range int64(10_000) { // many events use bounded memory
		l.Add(100+i, 1)
	}
	require.Equal(t, maxEvents, l.Since(0))
	require.Less(t, cap(l.events), 4*maxEvents)
}

// FuzzParse checks that any input is an error, or a message with a known op that is neither too old nor from the
// future.
func FuzzParse(f *testing.F) {
	f.Add([]byte{}, noon)
	f.Add(Message{Op: Failed, At: noon, Host: 1}.Append(nil), noon)
	f.Add(Message{Op: Ended, At: noon - 3e6, Host: 65535}.Append(nil), noon)
	f.Add([]byte{formatVersion<<4 | 9, 0, 0, 0, 0, 0, 0, 0}, int64(0))
	f.Add([]byte("a datagram of somebody else's"), noon)
	f.Fuzz(func(t *testing.T, data []byte, now int64) {
		if now < 0 {
			return
		}
		w, err := Parse(data, now)
		if err != nil {
			require.Zero(t, w)
			return
		}
		require.Len(t, data, MessageSize)
		require.True(t, w.Op >= Sent && w.Op <= Failed)
		require.True(t, w.At <= now && w.At >= now-MaxAge)
		require.True(t, w.Work >= 0 && w.Work <= 65_535_000)
	})
}
