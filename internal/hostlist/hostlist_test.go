package hostlist

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/decide/sources"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

// noUpstream is an upstream and a discovery client that do nothing.
type noUpstream struct{}

func (noUpstream) Send(*exchange.Relay)                     {}
func (noUpstream) Cancel(*exchange.Relay)                   {}
func (noUpstream) Probe(*exchange.Host)                     {}
func (noUpstream) SetAddresses(string, []addresses.Address) {}
func (noUpstream) Follow()                                  {}
func (noUpstream) Fetch()                                   {}

const srvName = "_jobs._tcp.w.example"

func startCore(t testing.TB) (*dispatch.Core, *List) {
	core, err := dispatch.New(topazfall.Settings{Dispatchers: 1, Zone: "z", Zones: []string{"z"}, Tick: 4000,
		Classes: []topazfall.Class{{Name: "a", Deadline: 60e6, Aim: 60e6}},
		Allowed: topazfall.Allowed{Attempts: 4, DialTimeout: 250e3}}, &metrics.Metrics{})
	require.NoError(t, err)
	go core.Run(noUpstream{}, noUpstream{})
	list := New(core)
	list.Configure(sources.Defaults, map[string]sources.NameSettings{srvName: {WeightUnit: 100, Zone: "z", Kind: "k"}})
	return core, list
}

func records(from, n int) (list []sources.Record) {
	for i := from; i < from+n; i++ {
		a, _ := addresses.Parse(fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255))
		list = append(list, sources.Record{Target: fmt.Sprintf("w%d.example", i), Port: 9000, Weight: 100,
			Addresses: []addresses.Address{a}, Expires: 1 << 60})
	}
	return list
}

// BenchmarkReplace replaces 500 of 2,000 workers, through the merge and the dispatch goroutine.
func BenchmarkReplace(b *testing.B) {
	core, list := startCore(b)
	list.ApplyAnswer(srvName, records(0, 2000))
	for i := 1; b.Loop(); i++ {
		list.ApplyAnswer(srvName, records(500*i, 2000))
		core.Sync()
	}
}

// recordingCore records the batches that the core receives, and its number of syncs.
type recordingCore struct {
	batches [][]dispatch.Entry
	syncs   int
}

func (c *recordingCore) Now() int64 { return 1 }
func (c *recordingCore) Sync()      { c.syncs++ }
func (c *recordingCore) ApplyList(_ topazfall.EventKind, entries []dispatch.Entry) {
	c.batches = append(c.batches, entries)
}

// The core receives small batches with a sync after each, and workers that get no new messages come first.
func TestBatches(t *testing.T) {
	core := &recordingCore{}
	list := New(core)
	defer list.Close()
	list.Configure(sources.Defaults, map[string]sources.NameSettings{srvName: {WeightUnit: 100}})
	list.ApplyAnswer(srvName, records(0, 100))
	list.ApplyList(topazfall.ListPatch,
		[]dispatch.Entry{{Addr: "10.0.0.7:9000", Worker: topazfall.Worker{ID: "s", State: topazfall.Draining}}})
	last := core.batches[len(core.batches)-1]
	require.Equal(t, topazfall.Gone, last[0].State, "w7.example, the same worker as s")
	require.Equal(t, topazfall.Draining, last[1].State)
	list.ApplyAnswer(srvName, records(50, 100))
	gone := 0
	for _, entries := range core.batches[len(core.batches)-25:] {
		require.LessOrEqual(t, len(entries), maxBatchEntries)
		for _, e := range entries {
			if e.State == topazfall.Gone {
				gone++
			} else {
				require.Equal(t, 49, gone, "removed workers come first, and one of the 50 is on the roster")
			}
		}
	}
	require.Equal(t, len(core.batches), core.syncs)
	count := len(core.batches)
	list.ApplyList(topazfall.ListFailed, nil)
	require.Len(t, core.batches, count+1)
	list.Close()
	list.ApplyAnswer(srvName, nil)
	require.Len(t, core.batches, count+1, "closed")
}
