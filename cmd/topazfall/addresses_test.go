package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
)

// testbed is the program with a fake discovery service, fake workers (hosts) and a client.
type testbed struct {
	*testing.T
	discovery *discoveryserver.Server
	hosts     []*host.Host
	program   *program.Process
	options   program.Options // of program
	client    *client.Client
}

var listenAddresses = []string{"127.0.0.1:0", "[::1]:0", "unix"}

// startTestbed starts the program and a number of hosts with three addresses each: IPv4, IPv6 and a socket file. The
// program tries the socket file first, then IPv4.
func startTestbed(t *testing.T, hosts int, options program.Options) *testbed {
	t.Parallel()
	list, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(list.Close)
	tb := &testbed{T: t, discovery: list}
	for i := range hosts {
		h, err := host.Start(host.Options{Name: fmt.Sprintf("s-%d", i), SocketDir: t.TempDir(),
			JobDuration: 5 * time.Millisecond, ReadDelay: 300 * time.Millisecond},
			func(body []byte) error { return tb.program.SendCallback(body) },
			listenAddresses...)
		require.NoError(t, err)
		t.Cleanup(h.Close)
		tb.hosts = append(tb.hosts, h)
		list.Update(listEntry(h))
	}
	options.ProgramPath, options.Dir, options.Discovery = os.Args[0], t.TempDir(), list.Address()
	options.Env = append(options.Env, "TOPAZFALL_PLAYED=1")
	tb.start(options)
	return tb
}

func (tb *testbed) start(o program.Options) {
	p, err := program.Start(o)
	require.NoError(tb, err)
	tb.Cleanup(func() {
		p.Kill()
		if tb.Failed() {
			tb.Log(p.Log())
		}
	})
	tb.program, tb.options = p, o
	if tb.client == nil {
		tb.client = client.New(p.Address(), strings.ReplaceAll(tb.Name(), "/", "-"))
	}
}

// listEntry returns the list entry of a host with its addresses. The program tries the socket file first, whatever
// their order.
func listEntry(h *host.Host) discoveryserver.Entry {
	return discoveryserver.Entry{Host: h.Name(), Addresses: h.Addresses(), Site: "hall-a", Class: "small", Share: 1}
}

func (tb *testbed) setFault(address int, f host.Fault) {
	for _, h := range tb.hosts {
		require.NoError(tb, h.SetFault(address, f))
	}
}

// send sends a message and returns its id and its answer.
func (tb *testbed) send(class string) (string, client.Answer) {
	id := tb.client.NextID()
	return id, tb.client.Do(client.Message{ID: id, Class: class, Tenant: "delta-mobile", Timeout: 4 * time.Second,
		Body: []byte("x")})
}

// mustServe sends a message and requires that it is served.
func (tb *testbed) mustServe(class string) (id string, a client.Answer) {
	id, a = tb.send(class)
	require.NoError(tb, a.Err)
	require.Equal(tb, 200, a.Status, "%s %s: %s", class, id, a.Body)
	return id, a
}

// countRuns returns how often an id has run, and how often a request with it has begun to arrive, over all hosts.
func (tb *testbed) countRuns(id string) (runs, sightings int) {
	for _, h := range tb.hosts {
		runs += h.RunCount(id)
		sightings += len(h.Arrivals(id))
	}
	return runs, sightings
}

func (tb *testbed) eventually(what string, condition func() bool) {
	require.Eventually(tb, condition, testTimeout, 10*time.Millisecond, what)
}

// Indices of listenAddresses.
const (
	ipv4Address = iota
	ipv6Address
	unixAddress
)

func TestAddressRefuses(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	tb.setFault(unixAddress, host.Refuse)
	for i := range 10 {
		id, a := tb.mustServe(program.Classes[i%3])
		require.Less(t, a.Latency, 200*time.Millisecond)
		seen := tb.hosts[0].Arrivals(id)
		require.Len(t, seen, 1)
		require.Equal(t, ipv4Address, seen[0].Endpoint)
	}
	metrics, err := tb.program.Metrics()
	require.NoError(t, err)
	require.LessOrEqual(t, metrics["app_address_failed_total"], 3.,
		"a refusing address is not tried during its backoff")
}

func TestAddressIsSilent(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	tb.setFault(unixAddress, host.Refuse)
	tb.setFault(ipv4Address, host.ConnectTimeout)
	began := time.Now()
	for i := 0; time.Since(began) < 1500*time.Millisecond; i++ {
		id, a := tb.mustServe(program.Classes[i%3])
		require.Equal(t, ipv6Address, tb.hosts[0].Arrivals(id)[0].Endpoint)
		if time.Since(began) > time.Second {
			require.Less(t, a.Latency, 45*time.Millisecond, "the silent address delays no message after a second")
		}
	}
}

func TestAllRefuseThenOneComesBack(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	tb.mustServe("lookup")
	for d := range listenAddresses {
		tb.setFault(d, host.Refuse)
	}
	id, a := tb.send("dispute-extract")
	require.NotEqual(t, 200, a.Status)
	runs, sightings := tb.countRuns(id)
	require.Zero(t, runs+sightings)
	tb.setFault(ipv6Address, host.Serve)
	tb.eventually("served again", func() bool {
		_, a := tb.send("lookup")
		return a.Status == 200
	})
	tb.mustServe("lookup")
}

// The first address of one host accepts connections and resets them once it has the whole request. A message of the
// class "lookup", which may run twice, is retried at another address. Of the other classes, which must not run twice,
// one message fails for good, and from then on no more fail.
func TestResetAfterRequest(t *testing.T) {
	for _, class := range program.Classes {
		t.Run(class, func(t *testing.T) {
			tb := startTestbed(t, 2, program.Options{})
			require.NoError(t, tb.hosts[0].SetFault(unixAddress, host.ResetAfterRequest))
			for hit, i := 0, 0; i < 40; i++ {
				id, a := tb.send(class)
				require.NoError(t, a.Err)
				runs, sightings := tb.countRuns(id)
				reset := tb.hosts[0].Arrivals(id)
				switch {
				case len(reset) == 0 || reset[0].Endpoint != unixAddress:
					require.Equal(t, 200, a.Status)
					require.Equal(t, 1, runs)
				case class == "lookup":
					require.Equal(t, 200, a.Status)
					require.Equal(t, 2, runs, "it ran where it was reset, and was retried elsewhere")
				default:
					require.Equal(t, 502, a.Status)
					require.Equal(t, 1, runs)
					require.Equal(t, 1, sightings, "no byte of it was sent to another address")
					hit++
					require.LessOrEqual(t, hit, 1)
				}
			}
			require.NotEmpty(t, tb.hosts[0].AcceptedConns(unixAddress))
		})
	}
}

// An address that has reset a request serves again. The program finds out by a message that may run twice (the class
// "lookup") or by a probe, never by a message that must not run twice.
func TestResetAddressRecovers(t *testing.T) {
	for _, probe := range []bool{false, true} {
		t.Run(fmt.Sprint("probe=", probe), func(t *testing.T) {
			tb := startTestbed(t, 1, program.Options{MayProbe: probe})
			tb.setFault(unixAddress, host.ResetAfterRequest)
			_, a := tb.send("dispute-extract")
			require.Equal(t, 502, a.Status)
			tb.setFault(unixAddress, host.Serve)
			began := time.Now()
			tb.eventually("the socket file is in use again", func() bool {
				id, _ := tb.mustServe("usage-report")
				if !probe {
					tb.mustServe("lookup")
				}
				return tb.hosts[0].Arrivals(id)[0].Endpoint == unixAddress
			})
			require.Less(t, time.Since(began), 2*time.Second)
		})
	}
}

// Each address resets the first request that it gets and so loses at most one message. After that, messages that must
// not run twice fail without a run.
func TestOnlyResets(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	for d := range listenAddresses {
		tb.setFault(d, host.ResetAfterRequest)
	}
	total := 0
	for range 10 {
		id, a := tb.send("dispute-extract")
		require.NotEqual(t, 200, a.Status)
		runs, sightings := tb.countRuns(id)
		require.LessOrEqual(t, sightings, 1)
		total += runs
	}
	require.LessOrEqual(t, total, len(listenAddresses), "each address lost at most one message")
}

// The first address of the only host accepts connections and resets all requests, or with ResetJobs only jobs, so that
// probes are answered. Messages of the class "lookup", which may run twice, are retried at the next address. Of those
// of the class "dispute-extract", which must not, at most three are lost.
func TestOnlyHostResetsAtItsFirstAddress(t *testing.T) {
	for _, f := range []host.Fault{host.ResetAfterRequest, host.ResetAfterJob} {
		for _, probe := range []bool{false, true} {
			t.Run(fmt.Sprint(f, " probe=", probe), func(t *testing.T) {
				tb := startTestbed(t, 1, program.Options{MayProbe: probe})
				tb.setFault(unixAddress, f)
				lost := 0
				for range 40 {
					id, _ := tb.mustServe("lookup")
					runs, _ := tb.countRuns(id)
					require.LessOrEqual(t, runs, 2)
					id, a := tb.send("dispute-extract")
					if runs, sightings := tb.countRuns(id); a.Status != 200 {
						lost++
						require.Equal(t, []int{502, 1, 1}, []int{a.Status, runs, sightings})
					}
					time.Sleep(20 * time.Millisecond) // the backoff of an address begins with a quarter of a second
				}
				require.LessOrEqual(t, lost, 3)
			})
		}
	}
}

// A connection is reset as soon as it is open, or after a part of a large request. Unless its last byte was written,
// the message cannot have run and may be retried elsewhere.
func TestResetBeforeTheEnd(t *testing.T) {
	for _, f := range []host.Fault{host.ResetOnAccept, host.ResetMidRequest} {
		t.Run(f.String(), func(t *testing.T) {
			tb := startTestbed(t, 2, program.Options{})
			require.NoError(t, tb.hosts[0].SetFault(unixAddress, f))
			lost := 0
			for range 20 {
				id := tb.client.NextID()
				a := tb.client.Do(client.Message{ID: id, Class: "dispute-extract", Tenant: "delta-mobile",
					Timeout: 4 * time.Second, Body: make([]byte, 60<<10)})
				require.NoError(t, a.Err)
				runs, _ := tb.countRuns(id)
				require.LessOrEqual(t, runs, 1)
				if a.Status != 200 { // it was written completely before the reset came, and could have run
					require.Zero(t, runs)
					lost++
				}
			}
			require.LessOrEqual(t, lost, 1)
			require.Positive(t, tb.hosts[0].AcceptedConns(unixAddress))
		})
	}
}

// Only a reset before the 202 counts as a failure. After the 202 the outcome comes by callbacks.
func TestResetAfterAccepted(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	tb.setFault(unixAddress, host.ResetAfterResponse)
	for i := range 9 {
		id, _ := tb.mustServe(program.Classes[i%3])
		runs, _ := tb.countRuns(id)
		require.Equal(t, 1, runs)
	}
}

func TestGarbage(t *testing.T) {
	tb := startTestbed(t, 2, program.Options{})
	require.NoError(t, tb.hosts[0].SetFault(unixAddress, host.Garbage))
	lost := 0
	for i := range 30 {
		id, a := tb.send(program.Classes[i%3])
		runs, _ := tb.countRuns(id)
		require.NoError(t, a.Err)
		if i%3 != 0 {
			require.LessOrEqual(t, runs, 1)
		}
		if a.Status != 200 {
			lost++
		}
	}
	require.LessOrEqual(t, lost, 1, "the first message that got garbage, if it was not a lookup")
}

// A job that is accepted late is served late, and no address counts as faulty for it.
func TestAcceptLate(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	tb.setFault(unixAddress, host.DelayReading)
	for range 3 {
		id, _ := tb.mustServe("dispute-extract")
		require.Equal(t, unixAddress, tb.hosts[0].Arrivals(id)[0].Endpoint)
	}
}

// The host begins to drain while connection attempts to its addresses are racing. Nothing is written to it later than
// 500 ms after the change of the list.
func TestDrainDuringRace(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{DialTimeout: 2 * time.Second})
	tb.setFault(unixAddress, host.Refuse)
	tb.setFault(ipv4Address, host.ConnectTimeout)
	tb.setFault(ipv6Address, host.ConnectTimeout)
	var wait sync.WaitGroup
	var ids []string
	for range 5 {
		id := tb.client.NextID()
		ids = append(ids, id)
		wait.Go(func() {
			tb.client.Do(client.Message{ID: id, Class: "lookup", Tenant: "delta-mobile", Timeout: 3 * time.Second,
				Body: []byte("x")})
		})
	}
	time.Sleep(200 * time.Millisecond)
	entry := listEntry(tb.hosts[0])
	entry.Health = "draining"
	drainedAt := time.Now()
	tb.discovery.Update(entry)
	time.Sleep(300 * time.Millisecond)
	tb.setFault(ipv4Address, host.Serve) // the pending connects succeed with the next packet
	tb.setFault(ipv6Address, host.Serve)
	wait.Wait()
	for _, id := range ids {
		for _, seen := range tb.hosts[0].Arrivals(id) {
			require.Less(t, seen.At.Sub(drainedAt), 500*time.Millisecond)
		}
	}
}

// The deadline of a message passes while no connection can be opened. The message is answered in time.
func TestTimeEndsDuringRace(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{DialTimeout: 3 * time.Second})
	tb.setFault(unixAddress, host.Refuse)
	tb.setFault(ipv4Address, host.ConnectTimeout)
	tb.setFault(ipv6Address, host.ConnectTimeout)
	id := tb.client.NextID()
	a := tb.client.Do(client.Message{ID: id, Class: "lookup", Tenant: "delta-mobile", Timeout: 400 * time.Millisecond})
	require.NoError(t, a.Err)
	require.NotEqual(t, 200, a.Status)
	require.Less(t, a.Latency, 600*time.Millisecond)
}

// With so few connections that messages reach the limit, each message is answered, and no address counts as faulty.
func TestConnectionLimitReached(t *testing.T) {
	// 42 are reserved, and eight of the rest are for hosts.
	tb := startTestbed(t, 2, program.Options{MaxSockets: 42 + 32})
	tb.setFault(unixAddress, host.DelayReading) // so that each message keeps its connection for a while
	var wait sync.WaitGroup
	for i := range 14 {
		wait.Go(func() {
			for range 3 {
				id, a := tb.send(program.Classes[i%3])
				if a.Err != nil || a.Status == 0 {
					t.Errorf("%s has no answer: %v", id, a.Err)
				}
				if runs, _ := tb.countRuns(id); runs > 1 && i%3 != 0 {
					t.Errorf("%s has run %d times", id, runs)
				}
			}
		})
	}
	wait.Wait()
	require.Contains(t, tb.program.Log(), "outcome=refused_conn", "the limit was reached")
	require.NotContains(t, tb.program.Log(), "state=refusing")
	require.NotContains(t, tb.program.Log(), "state=silent")
}

// An address that moves to another host belongs to it from that list on: nothing for the previous host is sent there.
func TestAddressMoves(t *testing.T) {
	tb := startTestbed(t, 2, program.Options{})
	a, b := listEntry(tb.hosts[0]), listEntry(tb.hosts[1])
	for range 5 {
		tb.mustServe("lookup")
	}
	socket := a.Addresses[unixAddress]
	a.Addresses, b.Addresses = a.Addresses[:unixAddress], []string{socket}
	b.Health = "draining"
	tb.discovery.Update(b, a) // the new owner is listed first, and drains
	time.Sleep(200 * time.Millisecond)
	for i := range 20 {
		id, _ := tb.mustServe(program.Classes[i%3])
		for _, seen := range tb.hosts[0].Arrivals(id) {
			require.NotEqual(t, unixAddress, seen.Endpoint)
		}
	}
}

// Guards against an address that goes to another host at a replacement: the host that had it first, and lists it still,
// keeps it in the next process, whatever the names of the two.
func TestOwnerOfAnAddressOutlastsAReplacement(t *testing.T) {
	tb := startTestbed(t, 2, program.Options{})
	other, owner := listEntry(tb.hosts[0]), listEntry(tb.hosts[1])
	contested := owner.Addresses[unixAddress]
	other.Addresses = append(other.Addresses[:unixAddress:unixAddress], contested)
	tb.discovery.Update(other)
	conflict := fmt.Sprintf("odd=address host=%s address=%s owner=%s", other.Host, contested, owner.Host)
	require.Eventually(t, func() bool { return strings.Contains(tb.program.Log(), conflict) }, testTimeout,
		time.Millisecond)
	for range 2 {
		options := tb.options
		options.Listen = tb.program.Address()
		next := launchProgram(t, options)
		_, err := next.AwaitReady(testTimeout)
		require.NoError(t, err)
		require.NoError(t, tb.program.Terminate())
		require.NoError(t, tb.program.Wait(testTimeout))
		tb.program = next
		require.Contains(t, next.Log(), "owner="+owner.Host)
		require.NotContains(t, next.Log(), "owner="+other.Host)
		for i := range 20 {
			tb.mustServe(program.Classes[i%3])
		}
	}
}

// An address that changes between up and down every second costs a limited number of connections and no message.
func TestFlappingAddress(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	sent, began := 0, time.Now()
	for i := 0; time.Since(began) < 6*time.Second; i++ {
		fault := host.Serve
		if int(time.Since(began).Seconds())%2 == 0 {
			fault = host.Refuse
		}
		tb.setFault(unixAddress, fault)
		tb.mustServe(program.Classes[i%3])
		sent++
		time.Sleep(5 * time.Millisecond)
	}
	metrics, err := tb.program.Metrics()
	require.NoError(t, err)
	require.LessOrEqual(t, metrics["app_address_failed_total"], 8.)
	require.LessOrEqual(t, metrics["app_address_trials_total"], 12.)
	require.Greater(t, sent, 100)
}

// What a process has learned about addresses is handed over to its successor.
func TestAddressesAreHandedOver(t *testing.T) {
	tb := startTestbed(t, 1, program.Options{})
	tb.setFault(unixAddress, host.ResetAfterRequest)
	_, a := tb.send("dispute-extract")
	require.Equal(t, 502, a.Status)
	predecessor := tb.program
	options := program.Options{ProgramPath: os.Args[0], Dir: t.TempDir(), Discovery: tb.discovery.Address(),
		Listen: predecessor.Address(), Env: []string{"TOPAZFALL_PLAYED=1"}}
	options.Dir = predecessor.Dir()
	tb.start(options)
	require.NoError(t, predecessor.Terminate())
	require.NoError(t, predecessor.Wait(testTimeout))
	for range 5 {
		id, _ := tb.mustServe("dispute-extract")
		require.NotEqual(t, unixAddress, tb.hosts[0].Arrivals(id)[0].Endpoint)
	}
}

// Each invalid address of a list is logged once, and the valid ones are used.
func TestInvalidAddresses(t *testing.T) {
	tb := startTestbed(t, 2, program.Options{})
	a, b := listEntry(tb.hosts[0]), listEntry(tb.hosts[1])
	a.Addresses = append([]string{"localhost:1", "127.0.0.1:0"}, a.Addresses...)
	a.Addresses = append(a.Addresses, a.Addresses[2])
	b.Addresses = append(b.Addresses, a.Addresses[3])
	tb.discovery.Update(a, b)
	tb.eventually("the faults are logged", func() bool { return strings.Count(tb.program.Log(), "odd=address") >= 4 })
	require.Equal(t, 4, strings.Count(tb.program.Log(), "odd=address"),
		"two invalid, one listed twice, one of another host")
	for i := range 10 {
		tb.mustServe(program.Classes[i%3])
	}
}
