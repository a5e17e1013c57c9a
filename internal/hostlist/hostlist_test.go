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

type nothing struct{}

func (nothing) Send(*exchange.Relay)                  {}
func (nothing) CallOff(*exchange.Relay)               {}
func (nothing) Probe(*exchange.Host)                  {}
func (nothing) Readdress(string, []addresses.Address) {}
func (nothing) Follow()                               {}
func (nothing) Fetch()                                {}

const jobs = "_jobs._tcp.w.example"

func start(t testing.TB) (*dispatch.Core, *List) {
	core, err := dispatch.New(topazfall.Settings{Dispatchers: 1, Zone: "z", Zones: []string{"z"}, Tick: 4000,
		Classes: []topazfall.Class{{Name: "a", Deadline: 60e6, Aim: 60e6}},
		Allowed: topazfall.Allowed{Attempts: 4, DialTimeout: 250e3}}, &metrics.Metrics{})
	require.NoError(t, err)
	go core.Run(nothing{}, nothing{})
	l := New(core)
	l.Configure(sources.Defaults, map[string]sources.Name{jobs: {WeightUnit: 100, Zone: "z", Kind: "k"}})
	return core, l
}

func records(from, n int) (list []sources.Record) {
	for i := from; i < from+n; i++ {
		a, _ := addresses.Parse(fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255))
		list = append(list, sources.Record{Target: fmt.Sprintf("w%d.example", i), Port: 9000, Weight: 100,
			Addresses: []addresses.Address{a}, Expires: 1 << 60})
	}
	return list
}

// BenchmarkReplace replaces 500 of 2,000 hosts, through the merge and the dispatch goroutine.
func BenchmarkReplace(b *testing.B) {
	core, l := start(b)
	l.Answer(jobs, records(0, 2000))
	for i := 1; b.Loop(); i++ {
		l.Answer(jobs, records(500*i, 2000))
		core.Sync()
	}
}

// order keeps what the core is told.
type order struct {
	told [][]dispatch.Entry
	sync int
}

func (o *order) Now() int64 { return 1 }
func (o *order) Sync()      { o.sync++ }
func (o *order) List(_ topazfall.EventKind, entries []dispatch.Entry) {
	o.told = append(o.told, entries)
}

// The core gets small portions, with a turn for others after each, and what gets nothing new any more comes first.
func TestPortions(t *testing.T) {
	o := &order{}
	l := New(o)
	defer l.Close()
	l.Configure(sources.Defaults, map[string]sources.Name{jobs: {WeightUnit: 100}})
	l.Answer(jobs, records(0, 100))
	l.List(topazfall.ListPatch,
		[]dispatch.Entry{{Addr: "10.0.0.7:9000", Worker: topazfall.Worker{ID: "s", State: topazfall.Draining}}})
	last := o.told[len(o.told)-1]
	require.Equal(t, topazfall.Gone, last[0].State, "w7.example, which is s")
	require.Equal(t, topazfall.Draining, last[1].State)
	l.Answer(jobs, records(50, 100))
	gone := 0
	for _, entries := range o.told[len(o.told)-25:] {
		require.LessOrEqual(t, len(entries), portion)
		for _, e := range entries {
			if e.State == topazfall.Gone {
				gone++
			} else {
				require.Equal(t, 49, gone, "those of before first; one is the roster's")
			}
		}
	}
	require.Equal(t, len(o.told), o.sync)
	before := len(o.told)
	l.List(topazfall.ListBroken, nil)
	require.Len(t, o.told, before+1)
	l.Close()
	l.Answer(jobs, nil)
	require.Len(t, o.told, before+1, "closed")
}
