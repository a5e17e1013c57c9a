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

const srvName = "_jobs._tcp.w.example"

func newLookup(timeout time.Duration, servers ...*resolver.Resolver) *lookup {
	var addrs []string
	for _, server := range servers {
		addrs = append(addrs, server.Address())
	}
	return &lookup{resolverPool: newResolverPool(addrs, timeout), minLifetime: 100 * time.Millisecond,
		maxLifetime: time.Hour, cache: map[string]targetAddrs{}}
}

func startResolver(t *testing.T) *resolver.Resolver {
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

func findHosts(l *lookup) (hostSet, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return l.find(ctx, srvName)
}

func TestFind(t *testing.T) {
	r := startResolver(t)
	r.SetRecords(srvName, 7, resolver.Target{Host: "W1.Example", Port: 9000, Priority: 1, Weight: 5,
		A: []string{"10.0.0.1"}, AAAA: []string{"fd00::1"}})
	for _, bare := range []bool{false, true} {
		r.OmitAdditional(bare)
		l := newLookup(time.Second, r)
		result, err := findHosts(l)
		require.NoError(t, err)
		require.Len(t, result.records, 1)
		got := result.records[0]
		require.Equal(t, "w1.example", got.Target)
		require.ElementsMatch(t, []string{"10.0.0.1:9000", "[fd00::1]:9000"},
			[]string{got.Addresses[0].String(), got.Addresses[1].String()})
		require.InDelta(t, 7, result.lifetime.Seconds(), 0.5)
		require.EqualValues(t, 5, got.Weight)
	}
	require.Equal(t, 1, r.QueryCount("w1.example", "A"))
	require.Equal(t, 2, r.QueryCount(srvName, "SRV"))
}

func TestAliases(t *testing.T) {
	r := startResolver(t)
	r.SetRecords("_real._tcp.w.example", 9, targets(1)...)
	r.SetAlias(srvName, "a.example", 4)
	r.SetAlias("a.example", "_real._tcp.w.example", 30)
	result, err := findHosts(newLookup(time.Second, r))
	require.NoError(t, err)
	require.Len(t, result.records, 1)
	require.Equal(t, 4*time.Second, result.lifetime, "the minimum of the chain")
	r.SetAlias("a.example", srvName, 30)
	_, err = findHosts(newLookup(time.Second, r))
	require.ErrorContains(t, err, "form a loop")
	for i := range 12 {
		r.SetAlias(fmt.Sprintf("c%d.example", i), fmt.Sprintf("c%d.example", i+1), 30)
	}
	r.SetAlias(srvName, "c0.example", 30)
	_, err = findHosts(newLookup(time.Second, r))
	require.ErrorContains(t, err, "more than 8 aliases")
}

// A truncated answer is fetched again over TCP. If that fails another resolver is queried, and a truncated answer is
// never taken for the complete one.
func TestTruncated(t *testing.T) {
	r, other := startResolver(t), startResolver(t)
	r.SetRecords(srvName, 9, targets(1500)...)
	r.OmitAdditional(true)
	l := newLookup(time.Second, r)
	result, err := findHosts(l) // larger than a datagram
	require.NoError(t, err)
	require.Len(t, result.records, 1500)
	require.Positive(t, r.TCPQueryCount())

	r.SetRecords(srvName, 9, targets(4)...)
	for _, fault := range []resolver.Fault{resolver.TruncateTCPSlow, resolver.TruncateTCPRefuse} {
		r.SetFault(fault)
		_, err = findHosts(newLookup(200*time.Millisecond, r))
		require.Error(t, err, fault)
		other.SetRecords(srvName, 9, targets(4)...)
		result, err = findHosts(newLookup(200*time.Millisecond, r, other))
		require.NoError(t, err, fault)
		require.Len(t, result.records, 4)
	}
	r.SetFault(resolver.Truncate)
	result, err = findHosts(newLookup(time.Second, r))
	require.NoError(t, err)
	require.Len(t, result.records, 4)
}

// Each fault of a resolver gives an error. If the fault is not a well-formed answer, the lookup succeeds with another
// resolver.
func TestFaults(t *testing.T) {
	bad, good := startResolver(t), startResolver(t)
	bad.SetRecords(srvName, 9, targets(3)...)
	good.SetRecords(srvName, 9, targets(3)...)
	for _, fault := range []resolver.Fault{resolver.Timeout, resolver.Late, resolver.ServFail, resolver.EmptyWithoutSOA,
		resolver.WrongID,
		resolver.WrongQuestion, resolver.Garbage, resolver.TruncatedName, resolver.PointerLoop, resolver.AliasLoop} {
		bad.SetFault(fault)
		_, err := findHosts(newLookup(100*time.Millisecond, bad))
		require.Error(t, err, fault)
		if fault == resolver.EmptyWithoutSOA || fault == resolver.AliasLoop {
			continue // well-formed answers, after which no other resolver is queried
		}
		l := newLookup(100*time.Millisecond, bad, good)
		for range 3 {
			result, err := findHosts(l)
			require.NoError(t, err, fault)
			require.Len(t, result.records, 3)
		}
		require.Positive(t, l.nameservers[0].failures, fault)
	}
	for _, fault := range []resolver.Fault{resolver.NXDomain, resolver.Empty} {
		bad.SetFault(fault)
		result, err := findHosts(newLookup(time.Second, bad))
		require.NoError(t, err, fault)
		require.True(t, result.empty)
		require.Equal(t, time.Second, result.lifetime, "the zone's minimum")
	}
	bad.SetFault(resolver.FormErr)
	result, err := findHosts(newLookup(time.Second, bad))
	require.NoError(t, err)
	require.Len(t, result.records, 3, "without EDNS0")
	_, err = findHosts(newLookup(time.Second))
	require.Equal(t, errNoResolvers, err)
}

func TestLifetimes(t *testing.T) {
	r := startResolver(t)
	l := newLookup(time.Second, r)
	for ttl, want := range map[uint32]time.Duration{0: 100 * time.Millisecond, 1: time.Second,
		1 << 31: 100 * time.Millisecond, 1<<31 - 1: time.Hour} {
		r.SetRecords(srvName, ttl, targets(1)...)
		result, err := findHosts(l)
		require.NoError(t, err)
		require.InDelta(t, want.Seconds(), result.lifetime.Seconds(), 0.05, "%d", ttl)
	}
	r.SetRecords(srvName, 5, resolver.Target{Host: ".", Port: 0})
	result, err := findHosts(l)
	require.NoError(t, err)
	require.True(t, result.empty, `the target "." means that the service is not available`)
}

// recordingSink records the results it receives and when.
type recordingSink struct {
	mu     sync.Mutex
	events []string
	times  []time.Time
}

func (s *recordingSink) add(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.times = append(s.events, event), append(s.times, time.Now())
}
func (s *recordingSink) Now() int64 { return time.Now().UnixMicro() }
func (s *recordingSink) ApplyAnswer(_ string, records []sources.Record) {
	s.add(fmt.Sprintf("answer %d", len(records)))
}
func (s *recordingSink) ApplyEmptyAnswer(string)       { s.add("empty") }
func (s *recordingSink) RecordFailure(_, fault string) { s.add("failed " + fault) }
func (s *recordingSink) snapshot() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.events)
}

// A name is looked up again before its lifetime ends, and not more often than needed. During an outage it is retried
// with growing delays, and the end of the outage is noticed soon.
func TestPoll(t *testing.T) {
	r := startResolver(t)
	r.SetRecords(srvName, 1, targets(2)...)
	sink := &recordingSink{}
	source := New(sink)
	source.Configure(Options{Resolvers: []string{r.Address()}, Timeout: 100 * time.Millisecond,
		MinLifetime: 100 * time.Millisecond, MaxLifetime: time.Hour}, []string{srvName})
	time.Sleep(4200 * time.Millisecond)
	n := r.QueryCount(srvName, "SRV")
	require.GreaterOrEqual(t, n, 4)
	require.LessOrEqual(t, n, 6)
	r.SetFault(resolver.Timeout)
	require.Eventually(t, func() bool { e := sink.snapshot(); return strings.HasPrefix(e[len(e)-1], "failed") },
		5*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second)
	require.LessOrEqual(t, r.QueryCount(srvName, "SRV")-n, 8)
	r.SetFault(resolver.Answer)
	require.Eventually(t, func() bool { e := sink.snapshot(); return e[len(e)-1] == "answer 2" },
		6*time.Second, 10*time.Millisecond)
	source.Close()
	n = r.QueryCount(srvName, "SRV")
	time.Sleep(1200 * time.Millisecond)
	require.Equal(t, n, r.QueryCount(srvName, "SRV"), "closed")
}

// The queries of 48 dispatchers that start together and see the same lifetimes are spread in time, at first and later.
func TestPollsAreSpread(t *testing.T) {
	r := startResolver(t)
	r.SetRecords(srvName, 1, targets(2)...)
	var all []*Source
	for range 48 {
		source := New(&recordingSink{})
		source.Configure(Options{Resolvers: []string{r.Address()}, Timeout: time.Second, MinLifetime: time.Second,
			MaxLifetime: time.Hour}, []string{srvName})
		all = append(all, source)
	}
	time.Sleep(3 * time.Second)
	for _, source := range all {
		source.Close()
	}
	moments := r.QueryTimes()
	slices.SortFunc(moments, time.Time.Compare)
	require.Greater(t, len(moments), 100)
	for i := 0; i+24 < len(moments); i++ {
		require.Greater(t, moments[i+24].Sub(moments[i]), 10*time.Millisecond, "25 of 48 within 10 ms")
	}
}

// FuzzParse checks that arbitrary bytes are an error or parse as an answer to the query.
func FuzzParse(f *testing.F) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(srvName), dns.TypeSRV)
	q.Id = 7
	m := new(dns.Msg)
	m.SetReply(q)
	m.Answer = []dns.RR{&dns.SRV{Hdr: dns.RR_Header{Name: dns.Fqdn(srvName), Rrtype: dns.TypeSRV, Class: dns.ClassINET,
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
		if got, err := parseAnswer(text, q); err == nil {
			require.Equal(t, q.Id, got.Id)
			require.True(t, got.Response)
			require.True(t, strings.EqualFold(got.Question[0].Name, q.Question[0].Name))
		}
	})
}

// TestHostileAnswers parses 1,000 truncated or altered answers. Most must give an error, and none may cause a panic.
func TestHostileAnswers(t *testing.T) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(srvName), dns.TypeSRV)
	m := new(dns.Msg)
	m.SetReply(q)
	for _, target := range targets(20) {
		m.Answer = append(m.Answer,
			&dns.SRV{Hdr: dns.RR_Header{Name: dns.Fqdn(srvName), Rrtype: dns.TypeSRV, Class: dns.ClassINET, Ttl: 5},
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
		if _, err := parseAnswer(text, q); err != nil {
			require.NotEmpty(t, err.Error())
			errors++
		}
	}
	require.Greater(t, errors, 700)
}
