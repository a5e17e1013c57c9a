package srv

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"topazfall/internal/decide/sources"
	"topazfall/internal/lab/resolver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const jobs = "_jobs._tcp.w.example"

func newLookup(timeout time.Duration, servers ...*resolver.Resolver) *lookup {
	var addrs []string
	for _, s := range servers {
		addrs = append(addrs, s.Address())
	}
	return &lookup{resolvers: newResolvers(addrs, timeout), least: 100 * time.Millisecond, most: time.Hour,
		places: map[string]place{}}
}

func start(t *testing.T) *resolver.Resolver {
	r, err := resolver.Start()
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

func targets(n int) (list []resolver.Target) {
	for i := range n {
		list = append(list, resolver.Target{Host: fmt.Sprintf("h%d.w", i), Port: 9000, Weight: 100,
			A: []string{fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)}})
	}
	return list
}

func find(l *lookup) (found, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return l.find(ctx, jobs)
}

func TestFind(t *testing.T) {
	r := start(t)
	r.List(jobs, 7, resolver.Target{Host: "W1.Example", Port: 9000, Priority: 1, Weight: 5, A: []string{"10.0.0.1"},
		AAAA: []string{"fd00::1"}})
	for _, bare := range []bool{false, true} {
		r.Bare(bare)
		l := newLookup(time.Second, r)
		f, err := find(l)
		require.NoError(t, err)
		require.Len(t, f.records, 1)
		got := f.records[0]
		require.Equal(t, "w1.example", got.Target)
		require.ElementsMatch(t, []string{"10.0.0.1:9000", "[fd00::1]:9000"},
			[]string{got.Addresses[0].String(), got.Addresses[1].String()})
		require.InDelta(t, 7, f.life.Seconds(), 0.5)
		require.EqualValues(t, 5, got.Weight)
	}
	require.Equal(t, 1, r.Queries("w1.example", "A"))
	require.Equal(t, 2, r.Queries(jobs, "SRV"))
}

func TestAliases(t *testing.T) {
	r := start(t)
	r.List("_real._tcp.w.example", 9, targets(1)...)
	r.Alias(jobs, "a.example", 4)
	r.Alias("a.example", "_real._tcp.w.example", 30)
	f, err := find(newLookup(time.Second, r))
	require.NoError(t, err)
	require.Len(t, f.records, 1)
	require.Equal(t, 4*time.Second, f.life, "the least of the chain")
	r.Alias("a.example", jobs, 30)
	_, err = find(newLookup(time.Second, r))
	require.ErrorContains(t, err, "circle")
	for i := range 12 {
		r.Alias(fmt.Sprintf("c%d.example", i), fmt.Sprintf("c%d.example", i+1), 30)
	}
	r.Alias(jobs, "c0.example", 30)
	_, err = find(newLookup(time.Second, r))
	require.ErrorContains(t, err, "more than 8 aliases")
}

// What is cut is fetched again in full; where that fails, another resolver is asked, and a part is never taken for all.
func TestTruncated(t *testing.T) {
	r, other := start(t), start(t)
	r.List(jobs, 9, targets(1500)...)
	r.Bare(true)
	l := newLookup(time.Second, r)
	f, err := find(l) // larger than a datagram
	require.NoError(t, err)
	require.Len(t, f.records, 1500)
	require.Positive(t, r.OverTCP())

	r.List(jobs, 9, targets(4)...)
	for _, fault := range []resolver.Fault{resolver.TruncateTCPSlow, resolver.TruncateTCPRefuse} {
		r.Set(fault)
		_, err = find(newLookup(200*time.Millisecond, r))
		require.Error(t, err, fault)
		other.List(jobs, 9, targets(4)...)
		f, err = find(newLookup(200*time.Millisecond, r, other))
		require.NoError(t, err, fault)
		require.Len(t, f.records, 4)
	}
	r.Set(resolver.Truncate)
	f, err = find(newLookup(time.Second, r))
	require.NoError(t, err)
	require.Len(t, f.records, 4)
}

// Each fault is an error that names something, and another resolver makes up for it.
func TestFaults(t *testing.T) {
	bad, good := start(t), start(t)
	bad.List(jobs, 9, targets(3)...)
	good.List(jobs, 9, targets(3)...)
	for _, fault := range []resolver.Fault{resolver.Timeout, resolver.Late, resolver.ServFail, resolver.Silent,
		resolver.WrongID,
		resolver.WrongQuestion, resolver.Garbage, resolver.CutName, resolver.Loop, resolver.Circle} {
		bad.Set(fault)
		_, err := find(newLookup(100*time.Millisecond, bad))
		require.Error(t, err, fault)
		if fault == resolver.Silent || fault == resolver.Circle {
			continue // they are answers
		}
		l := newLookup(100*time.Millisecond, bad, good)
		for range 3 {
			f, err := find(l)
			require.NoError(t, err, fault)
			require.Len(t, f.records, 3)
		}
		require.Positive(t, l.list[0].failures, fault)
	}
	for _, fault := range []resolver.Fault{resolver.NXDomain, resolver.Empty} {
		bad.Set(fault)
		f, err := find(newLookup(time.Second, bad))
		require.NoError(t, err, fault)
		require.True(t, f.empty)
		require.Equal(t, time.Second, f.life, "the zone's minimum")
	}
	bad.Set(resolver.FormErr)
	f, err := find(newLookup(time.Second, bad))
	require.NoError(t, err)
	require.Len(t, f.records, 3, "without EDNS0")
	_, err = find(newLookup(time.Second))
	require.Equal(t, errNone, err)
}

func TestLifetimes(t *testing.T) {
	r := start(t)
	l := newLookup(time.Second, r)
	for ttl, want := range map[uint32]time.Duration{0: 100 * time.Millisecond, 1: time.Second,
		1 << 31: 100 * time.Millisecond, 1<<31 - 1: time.Hour} {
		r.List(jobs, ttl, targets(1)...)
		f, err := find(l)
		require.NoError(t, err)
		require.InDelta(t, want.Seconds(), f.life.Seconds(), 0.05, "%d", ttl)
	}
	r.List(jobs, 5, resolver.Target{Host: ".", Port: 0})
	f, err := find(l)
	require.NoError(t, err)
	require.True(t, f.empty, "decidedly not there")
}

// sink keeps what it is told.
type sink struct {
	mu     sync.Mutex
	events []string
	when   []time.Time
}

func (s *sink) add(e string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.when = append(s.events, e), append(s.when, time.Now())
}
func (s *sink) Now() int64 { return time.Now().UnixMicro() }
func (s *sink) ApplyAnswer(_ string, records []sources.Record) {
	s.add(fmt.Sprintf("answer %d", len(records)))
}
func (s *sink) ApplyEmptyAnswer(string)       { s.add("empty") }
func (s *sink) RecordFailure(_, fault string) { s.add("failed " + fault) }
func (s *sink) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events)
}

// A name is asked for again before its lifetime ends, and not more often than that wants; through an outage it is asked
// with growing pauses, and its end is soon seen.
func TestFollow(t *testing.T) {
	r := start(t)
	r.List(jobs, 1, targets(2)...)
	k := &sink{}
	s := New(k)
	s.Configure(Options{Resolvers: []string{r.Address()}, Timeout: 100 * time.Millisecond,
		MinLifetime: 100 * time.Millisecond, MaxLifetime: time.Hour}, []string{jobs})
	time.Sleep(4200 * time.Millisecond)
	n := r.Queries(jobs, "SRV")
	require.GreaterOrEqual(t, n, 4)
	require.LessOrEqual(t, n, 6)
	r.Set(resolver.Timeout)
	require.Eventually(t, func() bool { e := k.all(); return strings.HasPrefix(e[len(e)-1], "failed") }, 5*time.Second,
		10*time.Millisecond)
	time.Sleep(time.Second)
	require.LessOrEqual(t, r.Queries(jobs, "SRV")-n, 8)
	r.Set(resolver.Answer)
	require.Eventually(t, func() bool { e := k.all(); return e[len(e)-1] == "answer 2" }, 6*time.Second,
		10*time.Millisecond)
	s.Close()
	n = r.Queries(jobs, "SRV")
	time.Sleep(1200 * time.Millisecond)
	require.Equal(t, n, r.Queries(jobs, "SRV"), "closed")
}

// 48 dispatchers that start together, and have the same lifetimes, do not ask at one moment, at first or later.
func TestManyAreSpread(t *testing.T) {
	r := start(t)
	r.List(jobs, 1, targets(2)...)
	var all []*Source
	for range 48 {
		s := New(&sink{})
		s.Configure(Options{Resolvers: []string{r.Address()}, Timeout: time.Second, MinLifetime: time.Second,
			MaxLifetime: time.Hour}, []string{jobs})
		all = append(all, s)
	}
	time.Sleep(3 * time.Second)
	for _, s := range all {
		s.Close()
	}
	moments := r.Moments()
	slices.SortFunc(moments, time.Time.Compare)
	require.Greater(t, len(moments), 100)
	for i := 0; i+24 < len(moments); i++ {
		require.Greater(t, moments[i+24].Sub(moments[i]), 10*time.Millisecond, "25 of 48 within 10 ms")
	}
}

// FuzzParse: an answer of whatever bytes is read whole, or is an error.
func FuzzParse(f *testing.F) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(jobs), dns.TypeSRV)
	q.Id = 7
	m := new(dns.Msg)
	m.SetReply(q)
	m.Answer = []dns.RR{&dns.SRV{Hdr: dns.RR_Header{Name: dns.Fqdn(jobs), Rrtype: dns.TypeSRV, Class: dns.ClassINET,
		Ttl: 5}, Port: 1, Target: "a.example."}}
	whole, err := m.Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(append(slices.Clone(whole[:12]), 0xc0, 12, 0, 33, 0, 1))
	m.Truncated = true
	cut, _ := m.Pack()
	f.Add(cut[:40])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		if got, err := parse(text, q); err == nil {
			require.Equal(t, q.Id, got.Id)
			require.True(t, got.Response)
			require.True(t, strings.EqualFold(got.Question[0].Name, q.Question[0].Name))
		}
	})
}

// 1,000 hostile answers: each is an error, or an answer to what was asked.
func TestHostileAnswers(t *testing.T) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(jobs), dns.TypeSRV)
	m := new(dns.Msg)
	m.SetReply(q)
	for _, target := range targets(20) {
		m.Answer = append(m.Answer,
			&dns.SRV{Hdr: dns.RR_Header{Name: dns.Fqdn(jobs), Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: 5},
				Port: 1, Target: dns.Fqdn(target.Host)})
	}
	whole, err := m.Pack()
	require.NoError(t, err)
	errors := 0
	for i := range 1000 {
		text := slices.Clone(whole)
		if i%2 == 0 {
			text = text[:i*len(text)/1000]
		} else {
			text[(i*7919)%len(text)] ^= byte(i)
			text[i%12] ^= byte(1 << (i % 8))
		}
		if _, err := parse(text, q); err != nil {
			require.NotEmpty(t, err.Error())
			errors++
		}
	}
	require.Greater(t, errors, 700)
}
