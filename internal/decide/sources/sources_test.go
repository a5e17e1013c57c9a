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

func newRecord(target string, ip string, more ...uint16) Record {
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

func rosterEntry(id, dial string, state topazfall.WorkerState) Entry {
	return Entry{Addr: dial, Worker: topazfall.Worker{ID: id, Zone: "z", Kind: "k", State: state, Weight: 1}}
}

func newMerger(names ...string) *Merger {
	m := New(Defaults)
	set := map[string]NameSettings{}
	for _, n := range append(names, jobs) {
		set[n] = NameSettings{WeightUnit: 100, Kind: "small"}
	}
	m.Configure(Defaults, set)
	return m
}

// view is the merged list as its reader sees it: the sum of all changes.
type view map[string]Entry

func (v view) apply(changed []Entry) view {
	for _, e := range changed {
		if v[e.ID] = e; e.State == topazfall.Gone {
			delete(v, e.ID)
		}
	}
	return v
}

// ready returns the hosts that may get new requests.
func (v view) ready() (ids []string) {
	for id, e := range v {
		if e.State == topazfall.Ready {
			ids = append(ids, id)
		}
	}
	return ids
}

// A host that is draining or gone in the roster gets no new requests even if DNS lists it, before or after that change,
// until the roster lists it as up.
func TestRosterOverridesDNS(t *testing.T) {
	for _, state := range []topazfall.WorkerState{topazfall.Draining, topazfall.Gone} {
		for _, by := range []string{"name", "name and port", "address"} {
			id := map[string]string{"name": "W1.example.", "name and port": "w1.example:9000", "address": "s-1"}[by]
			m, v := newMerger(), view{}
			m.HandleAnswer(1, jobs,
				[]Record{newRecord("w1.example", "10.0.0.1"), newRecord("w2.example", "10.0.0.2")})
			v.apply(m.Merge(1))
			require.Len(t, v.ready(), 2)
			m.UpdateRoster(topazfall.ListPatch, []Entry{rosterEntry(id, "10.0.0.1:9000", topazfall.Ready)})
			v.apply(m.Merge(2))
			require.ElementsMatch(t, []string{id, "w2.example"}, v.ready(), "one host, recognized by its %s", by)
			m.UpdateRoster(topazfall.ListPatch,
				[]Entry{{Worker: topazfall.Worker{ID: id, State: state}, Addr: "10.0.0.1:9000"}})
			v.apply(m.Merge(3))
			require.Equal(t, []string{"w2.example"}, v.ready())
			for now := int64(4); now < 10; now++ {
				m.HandleAnswer(now*second, jobs,
					[]Record{newRecord("w1.example", "10.0.0.1"), newRecord("w2.example", "10.0.0.2")})
				v.apply(m.Merge(now * second))
				require.Equal(t, []string{"w2.example"}, v.ready())
			}
			// The record vanishes and returns.
			m.HandleAnswer(11*second, jobs, []Record{newRecord("w2.example", "10.0.0.2")})
			v.apply(m.Merge(11 * second))
			m.HandleAnswer(12*second, jobs,
				[]Record{newRecord("w1.example", "10.0.0.1"), newRecord("w2.example", "10.0.0.2")})
			v.apply(m.Merge(12 * second))
			require.Equal(t, []string{"w2.example"}, v.ready())
			m.UpdateRoster(topazfall.ListPatch, []Entry{rosterEntry(id, "10.0.0.1:9000", topazfall.Ready)})
			v.apply(m.Merge(13 * second))
			require.ElementsMatch(t, []string{id, "w2.example"}, v.ready())
		}
	}
}

// A host that a snapshot of the roster leaves out is gone; one that a restored list leaves out is not.
func TestWholeList(t *testing.T) {
	m, v := newMerger(), view{}
	m.UpdateRoster(topazfall.ListSnapshot,
		[]Entry{rosterEntry("a", "10.0.0.1:9000", topazfall.Ready), rosterEntry("b", "10.0.0.2:9000", topazfall.Ready)})
	m.HandleAnswer(1, jobs, []Record{newRecord("w1.example", "10.0.0.1")})
	v.apply(m.Merge(1))
	m.UpdateRoster(topazfall.ListRestored, []Entry{rosterEntry("b", "10.0.0.2:9000", topazfall.Ready)})
	v.apply(m.Merge(2))
	require.Len(t, v.ready(), 2)
	m.UpdateRoster(topazfall.ListSnapshot, []Entry{rosterEntry("b", "10.0.0.2:9000", topazfall.Ready)})
	v.apply(m.Merge(3))
	require.Equal(t, []string{"b"}, v.ready(), "the host is gone although DNS still lists its address")
}

// While resolvers fail, all hosts stay until their lifetime and the hold have ended; then one host at a time drains. An
// answer restores all of them.
func TestHoldThenOneByOne(t *testing.T) {
	m, v := newMerger(), view{}
	var records []Record
	for i := range 10 {
		r := newRecord(fmt.Sprintf("w%d.example", i), fmt.Sprintf("10.0.0.%d", i+1))
		r.Expires = 10 * second
		records = append(records, r)
	}
	m.HandleAnswer(1, jobs, records)
	v.apply(m.Merge(1))
	end := 10*second + Defaults.Hold
	for now := second; now < end; now += 7 * second {
		m.HandleFailure(jobs, "timeout")
		v.apply(m.Merge(now))
		require.Len(t, v.ready(), 10)
	}
	require.Equal(t, end, m.NextChange(end-second))
	for i := range 10 {
		v.apply(m.Merge(end + int64(i)*Defaults.DrainEvery))
		require.Len(t, v.ready(), 9-i)
		require.Len(t, v, 10, "draining hosts stay on the list")
		v.apply(m.Merge(end + int64(i)*Defaults.DrainEvery + 1))
		require.Len(t, v.ready(), 9-i, "more than one host drained")
	}
	for i := range records {
		records[i].Expires = end + 1000*second
	}
	m.HandleAnswer(end+100*second, jobs, records)
	v.apply(m.Merge(end + 100*second))
	require.Len(t, v.ready(), 10)
}

// An empty answer is believed after several in a row; a failure between them restarts the count.
func TestEmptyAnswers(t *testing.T) {
	m, v := newMerger(), view{}
	m.HandleAnswer(1, jobs, []Record{newRecord("w1.example", "10.0.0.1")})
	v.apply(m.Merge(1))
	require.False(t, m.HandleEmptyAnswer(2, jobs))
	require.False(t, m.HandleEmptyAnswer(3, jobs))
	m.HandleFailure(jobs, "timeout")
	require.False(t, m.HandleEmptyAnswer(4, jobs))
	require.False(t, m.HandleEmptyAnswer(5, jobs))
	v.apply(m.Merge(5))
	require.Len(t, v.ready(), 1)
	require.True(t, m.HandleEmptyAnswer(6, jobs))
	v.apply(m.Merge(6))
	require.Empty(t, v)
}

// Hosts of a higher priority number are used only while no host of a lower one is eligible, because all of them are
// drained by the roster or have vanished.
func TestPriority(t *testing.T) {
	m, v := newMerger(), view{}
	m.HandleAnswer(1, jobs, []Record{newRecord("a.example", "10.0.0.1", 1), newRecord("b.example", "10.0.0.2", 1),
		newRecord("c.example", "10.0.0.3", 2)})
	v.apply(m.Merge(1))
	require.ElementsMatch(t, []string{"a.example", "b.example"}, v.ready())
	m.UpdateRoster(topazfall.ListPatch,
		[]Entry{rosterEntry("s-a", "10.0.0.1:9000", topazfall.Draining),
			rosterEntry("s-b", "10.0.0.2:9000", topazfall.Draining)})
	v.apply(m.Merge(2))
	require.Equal(t, []string{"c.example"}, v.ready())
	m.UpdateRoster(topazfall.ListPatch, []Entry{rosterEntry("s-a", "10.0.0.1:9000", topazfall.Ready)})
	v.apply(m.Merge(3))
	require.Equal(t, []string{"s-a"}, v.ready())
}

func TestWeightsPlacesAndNames(t *testing.T) {
	m, v := newMerger("other"), view{}
	m.Configure(Defaults, map[string]NameSettings{jobs: {WeightUnit: 50, Zone: "far", Kind: "small",
		Places: []Place{{".hall-a.example", "hall-a", "large"}}}, "other": {WithPort: true, WeightUnit: 100}})
	a, b := newRecord("w1.hall-a.example", "10.0.0.1"), newRecord("w2.example", "10.0.0.2")
	b.Weight = 0
	second := b
	second.Port = 9001
	second.Addresses = nil
	m.HandleAnswer(1, jobs, []Record{a, b, second})
	m.HandleAnswer(1, "other", []Record{newRecord("alias.example", "10.0.0.1"), newRecord("w3.example", "10.0.0.3")})
	v.apply(m.Merge(1))
	require.ElementsMatch(t, []string{"w1.hall-a.example", "w2.example", "w3.example:9000"}, v.ready(),
		"a host whose address two SRV names list appears once")
	require.Equal(t, 2., v["w1.hall-a.example"].Weight)
	require.Equal(t, "large", v["w1.hall-a.example"].Kind)
	require.Equal(t, "far", v["w2.example"].Zone)
	require.Less(t, v["w2.example"].Weight, 0.01)
	require.Equal(t, 1., v["w3.example:9000"].Weight)
	require.Equal(t, []string{"srv:" + jobs, "srv:other"}, m.Hosts()[0].Sources)
}

// A host that is added later counts as cold; one that was in the first answer does not.
func TestNewHostsAreCold(t *testing.T) {
	m, v := newMerger(), view{}
	m.HandleAnswer(second, jobs, []Record{newRecord("a.example", "10.0.0.1")})
	m.HandleAnswer(2*second, jobs, []Record{newRecord("a.example", "10.0.0.1"), newRecord("b.example", "10.0.0.2")})
	v.apply(m.Merge(2 * second))
	require.Zero(t, v["a.example"].StartedAt)
	require.Equal(t, 2*second, v["b.example"].StartedAt)
}

// A host that vanishes and returns repeatedly is held back for longer each time.
func TestFlapping(t *testing.T) {
	m, v := newMerger(), view{}
	with, without := []Record{newRecord("a.example", "10.0.0.1"), newRecord("b.example", "10.0.0.2")},
		[]Record{newRecord("b.example", "10.0.0.2")}
	now := second
	for range Defaults.Flaps {
		m.HandleAnswer(now, jobs, with)
		v.apply(m.Merge(now))
		require.Len(t, v.ready(), 2)
		now += second
		m.HandleAnswer(now, jobs, without)
		v.apply(m.Merge(now))
		require.Len(t, v.ready(), 1, "a host that vanished is gone at once")
		now += second
	}
	m.HandleAnswer(now, jobs, with)
	v.apply(m.Merge(now))
	require.Len(t, v.ready(), 1)
	require.Equal(t, now+Defaults.FlapHold, m.NextChange(now))
	v.apply(m.Merge(now + Defaults.FlapHold))
	require.Len(t, v.ready(), 2)
}

// The hold of records that were known before a restart begins at the restart.
func TestRestore(t *testing.T) {
	m, v := newMerger(), view{}
	r := newRecord("a.example", "10.0.0.1")
	r.Expires = 1
	m.Restore(1000*second, jobs, []Record{r})
	v.apply(m.Merge(1000 * second))
	require.Len(t, v.ready(), 1)
	v.apply(m.Merge(1000*second + Defaults.Hold - 1))
	require.Len(t, v.ready(), 1)
	v.apply(m.Merge(1000*second + Defaults.Hold))
	require.Empty(t, v.ready())
}

// With random changes of all sources in any order: a host that was last draining or gone in the roster is not ready,
// under its roster ID or its DNS name, and the reported changes add up to the list that Hosts returns.
func TestProperties(t *testing.T) {
	ips := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	rapid.Check(t, func(t *rapid.T) {
		m, v := newMerger("other"), view{}
		rosterState := map[string]topazfall.WorkerState{} // by address
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*second).Draw(t, "pause")
			name := rapid.SampledFrom([]string{jobs, "other"}).Draw(t, "name")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				var list []Record
				for i, ip := range ips {
					if rapid.Bool().Draw(t, "listed") {
						r := newRecord(fmt.Sprintf("w%d.example", i), ip,
							uint16(rapid.IntRange(0, 1).Draw(t, "priority")))
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
				m.UpdateRoster(topazfall.ListPatch, []Entry{rosterEntry(fmt.Sprintf("s-%d", i), ips[i]+":9000", state)})
				rosterState[ips[i]+":9000"] = state
			}
			v.apply(m.Merge(now))
			hosts := m.Hosts()
			if len(hosts) != len(v) {
				t.Fatalf("Hosts returns %d hosts, the changes add up to %d", len(hosts), len(v))
			}
			for _, host := range hosts {
				if !sameEntry(host.Entry, v[host.ID]) {
					t.Fatalf("%s differs from the reported changes", host.ID)
				}
				dial := host.Addr
				if dial == "" {
					dial = host.Addrs[0].String()
				}
				if state, known := rosterState[dial]; known && state != topazfall.Ready &&
					host.State == topazfall.Ready {
					t.Fatalf("%s is ready, although the roster lists state %d for %s", host.ID, state, dial)
				}
			}
		}
	})
}

// A change that replaces 500 of 2,000 hosts is merged within 10 ms.
func TestMergeLargeList(t *testing.T) {
	m, v := newMerger(), view{}
	list := func(from int) (records []Record) {
		for i := from; i < from+2000; i++ {
			records = append(records,
				newRecord(fmt.Sprintf("w%d.example", i), fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)))
		}
		return records
	}
	m.HandleAnswer(1, jobs, list(0))
	v.apply(m.Merge(1))
	require.Len(t, v.ready(), 2000)
	best := time.Hour
	for i := range 5 { // the best of five: other tests run at the same time
		began := time.Now()
		m.HandleAnswer(second, jobs, list(500*(i+1)))
		changed := m.Merge(second)
		best = min(best, time.Since(began))
		require.Len(t, changed, 1000)
		require.Equal(t, topazfall.Gone, changed[0].State, "hosts that get no new requests come first")
		v.apply(changed)
		require.Len(t, v.ready(), 2000)
	}
	require.Less(t, best, 100*time.Millisecond,
		"the bound of 10 ms is checked by topazlab dns, where nothing else runs")
}
