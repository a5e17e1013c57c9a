package sources

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazfall"
	"topazfall/internal/decide/addresses"
)

const second = int64(1e6)

const jobs = "_jobs._tcp.w.example"

func rec(target string, ip string, more ...uint16) Record {
	a, err := addresses.Parse(fmt.Sprintf("%s:9000", ip))
	if err != nil {
		panic(err)
	}
	r := Record{Target: target, Port: 9000, Weight: 100, Addresses: []addresses.Address{a}, Expires: 1 << 50}
	if len(more) > 0 {
		r.Priority = more[0]
	}
	return r
}

func roster(id, dial string, state topazfall.WorkerState) Entry {
	return Entry{Addr: dial, Worker: topazfall.Worker{ID: id, Zone: "z", Kind: "k", State: state, Weight: 1}}
}

func newMerge(names ...string) *Merger {
	m := New(Defaults)
	set := map[string]NameSettings{}
	for _, n := range append(names, jobs) {
		set[n] = NameSettings{WeightUnit: 100, Kind: "small"}
	}
	m.Configure(Defaults, set)
	return m
}

// ready are the hosts that may get something new, of the list as it is told.
type view map[string]Entry

func (v view) take(changed []Entry) view {
	for _, e := range changed {
		if v[e.ID] = e; e.State == topazfall.Gone {
			delete(v, e.ID)
		}
	}
	return v
}

func (v view) ready() (ids []string) {
	for id, e := range v {
		if e.State == topazfall.Ready {
			ids = append(ids, id)
		}
	}
	return ids
}

// A host that the roster drains or takes away gets nothing new though DNS lists it, before, at and after that; the
// roster's up frees it.
func TestRosterIsCautious(t *testing.T) {
	for _, state := range []topazfall.WorkerState{topazfall.Draining, topazfall.Gone} {
		for _, by := range []string{"name", "name and port", "address"} {
			id := map[string]string{"name": "W1.example.", "name and port": "w1.example:9000", "address": "s-1"}[by]
			m, v := newMerge(), view{}
			m.HandleAnswer(1, jobs, []Record{rec("w1.example", "10.0.0.1"), rec("w2.example", "10.0.0.2")})
			v.take(m.Merge(1))
			require.Len(t, v.ready(), 2)
			m.UpdateRoster(topazfall.ListPatch, []Entry{roster(id, "10.0.0.1:9000", topazfall.Ready)})
			v.take(m.Merge(2))
			require.ElementsMatch(t, []string{id, "w2.example"}, v.ready(), "one host, by its %s", by)
			m.UpdateRoster(topazfall.ListPatch,
				[]Entry{{Worker: topazfall.Worker{ID: id, State: state}, Addr: "10.0.0.1:9000"}})
			v.take(m.Merge(3))
			require.Equal(t, []string{"w2.example"}, v.ready())
			for now := int64(4); now < 10; now++ {
				m.HandleAnswer(now*second, jobs, []Record{rec("w1.example", "10.0.0.1"), rec("w2.example", "10.0.0.2")})
				v.take(m.Merge(now * second))
				require.Equal(t, []string{"w2.example"}, v.ready())
			}
			m.HandleAnswer(11*second, jobs, []Record{rec("w2.example", "10.0.0.2")}) // it vanishes and comes back
			v.take(m.Merge(11 * second))
			m.HandleAnswer(12*second, jobs, []Record{rec("w1.example", "10.0.0.1"), rec("w2.example", "10.0.0.2")})
			v.take(m.Merge(12 * second))
			require.Equal(t, []string{"w2.example"}, v.ready())
			m.UpdateRoster(topazfall.ListPatch, []Entry{roster(id, "10.0.0.1:9000", topazfall.Ready)})
			v.take(m.Merge(13 * second))
			require.ElementsMatch(t, []string{id, "w2.example"}, v.ready())
		}
	}
}

// What a whole list of the roster leaves out is gone; what a stale one does is not.
func TestWholeList(t *testing.T) {
	m, v := newMerge(), view{}
	m.UpdateRoster(topazfall.ListSnapshot,
		[]Entry{roster("a", "10.0.0.1:9000", topazfall.Ready), roster("b", "10.0.0.2:9000", topazfall.Ready)})
	m.HandleAnswer(1, jobs, []Record{rec("w1.example", "10.0.0.1")})
	v.take(m.Merge(1))
	m.UpdateRoster(topazfall.ListRestored, []Entry{roster("b", "10.0.0.2:9000", topazfall.Ready)})
	v.take(m.Merge(2))
	require.Len(t, v.ready(), 2)
	m.UpdateRoster(topazfall.ListSnapshot, []Entry{roster("b", "10.0.0.2:9000", topazfall.Ready)})
	v.take(m.Merge(3))
	require.Equal(t, []string{"b"}, v.ready(), "DNS lists the address still")
}

// Resolvers that fail take nothing away for as long as lifetime and hold; then one host at a time drains. An answer
// brings all back.
func TestHoldThenOneByOne(t *testing.T) {
	m, v := newMerge(), view{}
	var records []Record
	for i := range 10 {
		r := rec(fmt.Sprintf("w%d.example", i), fmt.Sprintf("10.0.0.%d", i+1))
		r.Expires = 10 * second
		records = append(records, r)
	}
	m.HandleAnswer(1, jobs, records)
	v.take(m.Merge(1))
	end := 10*second + Defaults.Hold
	for now := second; now < end; now += 7 * second {
		m.HandleFailure(jobs, "timeout")
		v.take(m.Merge(now))
		require.Len(t, v.ready(), 10)
	}
	require.Equal(t, end, m.NextChange(end-second))
	for i := range 10 {
		v.take(m.Merge(end + int64(i)*Defaults.DrainEvery))
		require.Len(t, v.ready(), 9-i)
		require.Len(t, v, 10, "they finish what they have")
		v.take(m.Merge(end + int64(i)*Defaults.DrainEvery + 1))
		require.Len(t, v.ready(), 9-i, "one at a time")
	}
	for i := range records {
		records[i].Expires = end + 1000*second
	}
	m.HandleAnswer(end+100*second, jobs, records)
	v.take(m.Merge(end + 100*second))
	require.Len(t, v.ready(), 10)
}

// A name that vanishes is believed after some answers in a row; a failure between them begins the count anew.
func TestEmpty(t *testing.T) {
	m, v := newMerge(), view{}
	m.HandleAnswer(1, jobs, []Record{rec("w1.example", "10.0.0.1")})
	v.take(m.Merge(1))
	require.False(t, m.HandleEmptyAnswer(2, jobs))
	require.False(t, m.HandleEmptyAnswer(3, jobs))
	m.HandleFailure(jobs, "timeout")
	require.False(t, m.HandleEmptyAnswer(4, jobs))
	require.False(t, m.HandleEmptyAnswer(5, jobs))
	v.take(m.Merge(5))
	require.Len(t, v.ready(), 1)
	require.True(t, m.HandleEmptyAnswer(6, jobs))
	v.take(m.Merge(6))
	require.Empty(t, v)
}

// A group of higher number is offered only while none of the lower is eligible: drained by the roster, or vanished.
func TestPriority(t *testing.T) {
	m, v := newMerge(), view{}
	m.HandleAnswer(1, jobs,
		[]Record{rec("a.example", "10.0.0.1", 1), rec("b.example", "10.0.0.2", 1), rec("c.example", "10.0.0.3", 2)})
	v.take(m.Merge(1))
	require.ElementsMatch(t, []string{"a.example", "b.example"}, v.ready())
	m.UpdateRoster(topazfall.ListPatch,
		[]Entry{roster("s-a", "10.0.0.1:9000", topazfall.Draining), roster("s-b", "10.0.0.2:9000", topazfall.Draining)})
	v.take(m.Merge(2))
	require.Equal(t, []string{"c.example"}, v.ready())
	m.UpdateRoster(topazfall.ListPatch, []Entry{roster("s-a", "10.0.0.1:9000", topazfall.Ready)})
	v.take(m.Merge(3))
	require.Equal(t, []string{"s-a"}, v.ready())
}

func TestWeightsPlacesAndNames(t *testing.T) {
	m, v := newMerge("other"), view{}
	m.Configure(Defaults, map[string]NameSettings{jobs: {WeightUnit: 50, Zone: "far", Kind: "small",
		Places: []Place{{".hall-a.example", "hall-a", "large"}}}, "other": {WithPort: true, WeightUnit: 100}})
	a, b := rec("w1.hall-a.example", "10.0.0.1"), rec("w2.example", "10.0.0.2")
	b.Weight = 0
	second := b
	second.Port = 9001
	second.Addresses = nil
	m.HandleAnswer(1, jobs, []Record{a, b, second})
	m.HandleAnswer(1, "other", []Record{rec("alias.example", "10.0.0.1"), rec("w3.example", "10.0.0.3")})
	v.take(m.Merge(1))
	require.ElementsMatch(t, []string{"w1.hall-a.example", "w2.example", "w3.example:9000"}, v.ready(),
		"two names list one address: one host")
	require.Equal(t, 2., v["w1.hall-a.example"].Weight)
	require.Equal(t, "large", v["w1.hall-a.example"].Kind)
	require.Equal(t, "far", v["w2.example"].Zone)
	require.Less(t, v["w2.example"].Weight, 0.01)
	require.Equal(t, 1., v["w3.example:9000"].Weight)
	require.Equal(t, []string{"srv:" + jobs, "srv:other"}, m.Hosts()[0].Sources)
}

// A host that comes later may be cold; one that was there at the first answer is not taken for new.
func TestNewHostsAreCold(t *testing.T) {
	m, v := newMerge(), view{}
	m.HandleAnswer(second, jobs, []Record{rec("a.example", "10.0.0.1")})
	m.HandleAnswer(2*second, jobs, []Record{rec("a.example", "10.0.0.1"), rec("b.example", "10.0.0.2")})
	v.take(m.Merge(2 * second))
	require.Zero(t, v["a.example"].StartedAt)
	require.Equal(t, 2*second, v["b.example"].StartedAt)
}

// One that comes and goes is taken back ever later.
func TestFlapping(t *testing.T) {
	m, v := newMerge(), view{}
	with, without := []Record{rec("a.example", "10.0.0.1"), rec("b.example", "10.0.0.2")},
		[]Record{rec("b.example", "10.0.0.2")}
	now := second
	for range Defaults.Flaps {
		m.HandleAnswer(now, jobs, with)
		v.take(m.Merge(now))
		require.Len(t, v.ready(), 2)
		now += second
		m.HandleAnswer(now, jobs, without)
		v.take(m.Merge(now))
		require.Len(t, v.ready(), 1, "that it vanished is believed at once")
		now += second
	}
	m.HandleAnswer(now, jobs, with)
	v.take(m.Merge(now))
	require.Len(t, v.ready(), 1)
	require.Equal(t, now+Defaults.FlapHold, m.NextChange(now))
	v.take(m.Merge(now + Defaults.FlapHold))
	require.Len(t, v.ready(), 2)
}

// The records known before a restart are held from then on.
func TestOld(t *testing.T) {
	m, v := newMerge(), view{}
	r := rec("a.example", "10.0.0.1")
	r.Expires = 1
	m.Restore(1000*second, jobs, []Record{r})
	v.take(m.Merge(1000 * second))
	require.Len(t, v.ready(), 1)
	v.take(m.Merge(1000*second + Defaults.Hold - 1))
	require.Len(t, v.ready(), 1)
	v.take(m.Merge(1000*second + Defaults.Hold))
	require.Empty(t, v.ready())
}

// In any order of any news: what the roster last said drains or is gone is not ready, under its own name or DNS's; the
// changes that are told add up to the list that is shown; what is not listed by anybody is not there.
func TestProperties(t *testing.T) {
	ips := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	rapid.Check(t, func(t *rapid.T) {
		m, v := newMerge("other"), view{}
		said := map[string]topazfall.WorkerState{} // by address
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*second).Draw(t, "pause")
			name := rapid.SampledFrom([]string{jobs, "other"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				var list []Record
				for i, ip := range ips {
					if rapid.Bool().Draw(t, "listed") {
						r := rec(fmt.Sprintf("w%d.example", i), ip, uint16(rapid.IntRange(0, 1).Draw(t, "priority")))
						r.Expires = now + rapid.Int64Range(0, 60*second).Draw(t, "life")
						list = append(list, r)
					}
				}
				m.HandleAnswer(now, name, list)
			case 1:
				m.HandleEmptyAnswer(now, name)
			case 2:
				m.HandleFailure(name, "x")
			default:
				i := rapid.IntRange(0, len(ips)-1).Draw(t, "host")
				state := rapid.SampledFrom([]topazfall.WorkerState{topazfall.Ready, topazfall.Draining,
					topazfall.Gone}).Draw(t, "state")
				m.UpdateRoster(topazfall.ListPatch, []Entry{roster(fmt.Sprintf("s-%d", i), ips[i]+":9000", state)})
				said[ips[i]+":9000"] = state
			}
			v.take(m.Merge(now))
			shown := m.Hosts()
			if len(shown) != len(v) {
				t.Fatalf("%d hosts are shown and %d were told", len(shown), len(v))
			}
			for _, i := range shown {
				if !same(i.Entry, v[i.ID]) {
					t.Fatalf("%s is not as it was told", i.ID)
				}
				dial := i.Addr
				if dial == "" {
					dial = i.Addrs[0].String()
				}
				if state, known := said[dial]; known && state != topazfall.Ready && i.State == topazfall.Ready {
					t.Fatalf("%s is ready, and the roster said %d of %s", i.ID, state, dial)
				}
			}
		}
	})
}

// 2,000 hosts, of which 500 are replaced, are merged within 10 ms.
func TestMany(t *testing.T) {
	m, v := newMerge(), view{}
	list := func(from int) (records []Record) {
		for i := from; i < from+2000; i++ {
			records = append(records,
				rec(fmt.Sprintf("w%d.example", i), fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)))
		}
		return records
	}
	m.HandleAnswer(1, jobs, list(0))
	v.take(m.Merge(1))
	require.Len(t, v.ready(), 2000)
	best := time.Hour
	for i := range 5 { // the best of some: other tests run beside
		began := time.Now()
		m.HandleAnswer(second, jobs, list(500*(i+1)))
		changed := m.Merge(second)
		best = min(best, time.Since(began))
		require.Len(t, changed, 1000)
		require.Equal(t, topazfall.Gone, changed[0].State, "first those that get nothing new")
		v.take(changed)
		require.Len(t, v.ready(), 2000)
	}
	require.Less(t, best, 100*time.Millisecond,
		"the bound of 10 ms is checked by topazlab dns, where nothing runs beside")
}
