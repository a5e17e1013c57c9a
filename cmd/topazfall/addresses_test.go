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

// stage is the program among stand-ins.
type stage struct {
	*testing.T
	list    *discoveryserver.Server
	hosts   []*host.Host
	program *program.Process
	client  *client.Client
}

var doors = []string{"127.0.0.1:0", "[::1]:0", "unix"}

// enact starts the program and so many hosts with three addresses each: IPv4, IPv6 and a socket file, which is what a
// host is tried by first, before IPv4.
func enact(t *testing.T, hosts int, o program.Options) *stage {
	t.Parallel()
	list, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(list.Close)
	s := &stage{T: t, list: list}
	for i := range hosts {
		h, err := host.Start(host.Options{Name: fmt.Sprintf("s-%d", i), Dir: t.TempDir(), Work: 5 * time.Millisecond,
			Late: 300 * time.Millisecond}, func(body []byte) error { return s.program.CallBack(body) }, doors...)
		require.NoError(t, err)
		t.Cleanup(h.Close)
		s.hosts = append(s.hosts, h)
		list.Set(entry(h))
	}
	o.Path, o.Dir, o.Discovery = os.Args[0], t.TempDir(), list.Address()
	o.Env = append(o.Env, "TOPAZFALL_PLAYED=1")
	s.start(o)
	return s
}

func (s *stage) start(o program.Options) {
	p, err := program.Start(o)
	require.NoError(s, err)
	s.Cleanup(func() {
		p.Kill()
		if s.Failed() {
			s.Log(p.Log())
		}
	})
	s.program = p
	if s.client == nil {
		s.client = client.New(p.Address(), strings.ReplaceAll(s.Name(), "/", "-"))
	}
}

// entry lists a host, by its addresses: the socket file comes first of all, whatever the order.
func entry(h *host.Host) discoveryserver.Entry {
	return discoveryserver.Entry{Host: h.Name(), Addresses: h.Addresses(), Site: "hall-a", Class: "small", Share: 1}
}

func (s *stage) fault(door int, f host.Fault) {
	for _, h := range s.hosts {
		require.NoError(s, h.Set(door, f))
	}
}

// send hands in a message and returns its id and its answer.
func (s *stage) send(class string) (string, client.Answer) {
	id := s.client.NextID()
	return id, s.client.Do(client.Message{ID: id, Class: class, Tenant: "delta-mobile", Wait: 4 * time.Second,
		Body: []byte("x")})
}

// served hands in a message that must be served.
func (s *stage) served(class string) (id string, a client.Answer) {
	id, a = s.send(class)
	require.NoError(s, a.Err)
	require.Equal(s, 200, a.Status, "%s %s: %s", class, id, a.Body)
	return id, a
}

// runs is how often an id has run, and sights on which addresses any of it was seen, over all hosts.
func (s *stage) runs(id string) (runs, sights int) {
	for _, h := range s.hosts {
		runs += h.Runs(id)
		sights += len(h.Seen(id))
	}
	return runs, sights
}

func (s *stage) eventually(what string, condition func() bool) {
	require.Eventually(s, condition, patience, 10*time.Millisecond, what)
}

const (
	four = iota
	six
	local
)

func TestAddressRefuses(t *testing.T) {
	s := enact(t, 1, program.Options{})
	s.fault(local, host.Refuse)
	for i := range 10 {
		id, a := s.served(program.Classes[i%3])
		require.Less(t, a.Took, 200*time.Millisecond)
		seen := s.hosts[0].Seen(id)
		require.Len(t, seen, 1)
		require.Equal(t, four, seen[0].Door)
	}
	figures, err := s.program.Figures()
	require.NoError(t, err)
	require.LessOrEqual(t, figures["app_address_failed_total"], 3., "a refused address is left alone while it rests")
}

func TestAddressIsSilent(t *testing.T) {
	s := enact(t, 1, program.Options{})
	s.fault(local, host.Refuse)
	s.fault(four, host.Silent)
	began := time.Now()
	for i := 0; time.Since(began) < 1500*time.Millisecond; i++ {
		id, a := s.served(program.Classes[i%3])
		require.Equal(t, six, s.hosts[0].Seen(id)[0].Door)
		if time.Since(began) > time.Second {
			require.Less(t, a.Took, 45*time.Millisecond, "nobody pays for it after a second")
		}
	}
}

func TestAllRefuseThenOneComesBack(t *testing.T) {
	s := enact(t, 1, program.Options{})
	s.served("lookup")
	for d := range doors {
		s.fault(d, host.Refuse)
	}
	id, a := s.send("dispute-extract")
	require.NotEqual(t, 200, a.Status)
	runs, sights := s.runs(id)
	require.Zero(t, runs+sights)
	s.fault(six, host.Serve)
	s.eventually("served again", func() bool {
		_, a := s.send("lookup")
		return a.Status == 200
	})
	s.served("lookup")
}

// One host's first address takes connections, and resets them once the whole request has come. A lookup moves on. What
// must not run twice has one final failure, and from then on no more of it is lost.
func TestResetAfterRequest(t *testing.T) {
	for _, class := range program.Classes {
		t.Run(class, func(t *testing.T) {
			s := enact(t, 2, program.Options{})
			require.NoError(t, s.hosts[0].Set(local, host.ResetWhole))
			for hit, i := 0, 0; i < 40; i++ {
				id, a := s.send(class)
				require.NoError(t, a.Err)
				runs, sights := s.runs(id)
				reset := s.hosts[0].Seen(id)
				switch {
				case len(reset) == 0 || reset[0].Door != local:
					require.Equal(t, 200, a.Status)
					require.Equal(t, 1, runs)
				case class == "lookup":
					require.Equal(t, 200, a.Status)
					require.Equal(t, 2, runs, "it ran where it was reset, and moved on")
				default:
					require.Equal(t, 502, a.Status)
					require.Equal(t, 1, runs)
					require.Equal(t, 1, sights, "no byte of it on another address")
					hit++
					require.LessOrEqual(t, hit, 1)
				}
			}
			require.NotEmpty(t, s.hosts[0].Accepted(local))
		})
	}
}

// An address that resets serves again: a lookup or a probe proves it, never a message that must not run twice.
func TestResetHeals(t *testing.T) {
	for _, probe := range []bool{false, true} {
		t.Run(fmt.Sprint("probe=", probe), func(t *testing.T) {
			s := enact(t, 1, program.Options{Probe: probe})
			s.fault(local, host.ResetWhole)
			_, a := s.send("dispute-extract")
			require.Equal(t, 502, a.Status)
			s.fault(local, host.Serve)
			began := time.Now()
			s.eventually("the socket file is in use again", func() bool {
				id, _ := s.served("usage-report")
				if !probe {
					s.served("lookup")
				}
				return s.hosts[0].Seen(id)[0].Door == local
			})
			require.Less(t, time.Since(began), 2*time.Second)
		})
	}
}

// Where the only way that is left has reset a request, what must not run twice gets a failure, and no run.
func TestOnlyResets(t *testing.T) {
	s := enact(t, 1, program.Options{})
	for d := range doors {
		s.fault(d, host.ResetWhole)
	}
	total := 0
	for range 10 {
		id, a := s.send("dispute-extract")
		require.NotEqual(t, 200, a.Status)
		runs, sights := s.runs(id)
		require.LessOrEqual(t, sights, 1)
		total += runs
	}
	require.LessOrEqual(t, total, len(doors), "each address cost one at the most")
}

// The only host, and its first address takes connections and resets the jobs on them; whatever else is asked, a probe
// or another's lookup, is answered. A lookup moves on to the next address, and no more than three disputes are lost
// there.
func TestOnlyHostResetsAtItsFirstAddress(t *testing.T) {
	for _, f := range []host.Fault{host.ResetWhole, host.ResetJobs} {
		for _, probe := range []bool{false, true} {
			t.Run(fmt.Sprint(f, " probe=", probe), func(t *testing.T) {
				s := enact(t, 1, program.Options{Probe: probe})
				s.fault(local, f)
				lost := 0
				for range 40 {
					id, _ := s.served("lookup")
					runs, _ := s.runs(id)
					require.LessOrEqual(t, runs, 2)
					id, a := s.send("dispute-extract")
					if runs, sights := s.runs(id); a.Status != 200 {
						lost++
						require.Equal(t, []int{502, 1, 1}, []int{a.Status, runs, sights})
					}
					time.Sleep(20 * time.Millisecond) // rests of an address begin with a quarter of a second
				}
				require.LessOrEqual(t, lost, 3)
			})
		}
	}
}

// A connection that is reset as soon as it is up, or when a part of a large request has come: as long as the last byte
// was not written the message never ran, and may move.
func TestResetBeforeTheEnd(t *testing.T) {
	for _, f := range []host.Fault{host.ResetUnread, host.ResetMidway} {
		t.Run(f.String(), func(t *testing.T) {
			s := enact(t, 2, program.Options{})
			require.NoError(t, s.hosts[0].Set(local, f))
			lost := 0
			for range 20 {
				id := s.client.NextID()
				a := s.client.Do(client.Message{ID: id, Class: "dispute-extract", Tenant: "delta-mobile",
					Wait: 4 * time.Second, Body: make([]byte, 60<<10)})
				require.NoError(t, a.Err)
				runs, _ := s.runs(id)
				require.LessOrEqual(t, runs, 1)
				if a.Status != 200 { // it was handed to the connection whole before the reset came, and could have run
					require.Zero(t, runs)
					lost++
				}
			}
			require.LessOrEqual(t, lost, 1)
			require.Positive(t, s.hosts[0].Accepted(local))
		})
	}
}

// What comes before the 202 is what counts: after it the call-backs tell the rest.
func TestResetAfterAccepted(t *testing.T) {
	s := enact(t, 1, program.Options{})
	s.fault(local, host.ResetAccepted)
	for i := range 9 {
		id, _ := s.served(program.Classes[i%3])
		runs, _ := s.runs(id)
		require.Equal(t, 1, runs)
	}
}

func TestGarbage(t *testing.T) {
	s := enact(t, 2, program.Options{})
	require.NoError(t, s.hosts[0].Set(local, host.Garbage))
	lost := 0
	for i := range 30 {
		id, a := s.send(program.Classes[i%3])
		runs, _ := s.runs(id)
		require.NoError(t, a.Err)
		if i%3 != 0 {
			require.LessOrEqual(t, runs, 1)
		}
		if a.Status != 200 {
			lost++
		}
	}
	require.LessOrEqual(t, lost, 1, "the first that met it, if that was not a lookup")
}

// What is accepted late is served late, and no address is blamed for it.
func TestAcceptLate(t *testing.T) {
	s := enact(t, 1, program.Options{})
	s.fault(local, host.AcceptLate)
	for range 3 {
		id, _ := s.served("dispute-extract")
		require.Equal(t, local, s.hosts[0].Seen(id)[0].Door)
	}
}

// The host drains while a race for it is under way: nothing is written to it 500 ms after the news.
func TestDrainDuringRace(t *testing.T) {
	s := enact(t, 1, program.Options{Dial: 2 * time.Second})
	s.fault(local, host.Refuse)
	s.fault(four, host.Silent)
	s.fault(six, host.Silent)
	var wait sync.WaitGroup
	var ids []string
	for range 5 {
		id := s.client.NextID()
		ids = append(ids, id)
		wait.Go(func() {
			s.client.Do(client.Message{ID: id, Class: "lookup", Tenant: "delta-mobile", Wait: 3 * time.Second,
				Body: []byte("x")})
		})
	}
	time.Sleep(200 * time.Millisecond)
	e := entry(s.hosts[0])
	e.Health = "draining"
	told := time.Now()
	s.list.Set(e)
	time.Sleep(300 * time.Millisecond)
	s.fault(four, host.Serve) // the connects that wait come up with the next packet
	s.fault(six, host.Serve)
	wait.Wait()
	for _, id := range ids {
		for _, seen := range s.hosts[0].Seen(id) {
			require.Less(t, seen.At.Sub(told), 500*time.Millisecond)
		}
	}
}

// The message's time ends while no connection comes up: it is answered in time, and once.
func TestTimeEndsDuringRace(t *testing.T) {
	s := enact(t, 1, program.Options{Dial: 3 * time.Second})
	s.fault(local, host.Refuse)
	s.fault(four, host.Silent)
	s.fault(six, host.Silent)
	id := s.client.NextID()
	a := s.client.Do(client.Message{ID: id, Class: "lookup", Tenant: "delta-mobile", Wait: 400 * time.Millisecond})
	require.NoError(t, a.Err)
	require.NotEqual(t, 200, a.Status)
	require.Less(t, a.Took, 600*time.Millisecond)
}

// With so few places for connections that messages meet the bound, each is answered, and no address is blamed.
func TestConnectionsAtTheirBound(t *testing.T) {
	s := enact(t, 2, program.Options{Sockets: 42 + 32}) // 42 are set aside, of the rest eight are for hosts
	s.fault(local, host.AcceptLate)                     // a message holds its connection for a while
	var wait sync.WaitGroup
	for i := range 14 {
		wait.Go(func() {
			for range 3 {
				id, a := s.send(program.Classes[i%3])
				if a.Err != nil || a.Status == 0 {
					t.Errorf("%s has no answer: %v", id, a.Err)
				}
				if runs, _ := s.runs(id); runs > 1 && i%3 != 0 {
					t.Errorf("%s has run %d times", id, runs)
				}
			}
		})
	}
	wait.Wait()
	require.Contains(t, s.program.Log(), "outcome=refused_conn", "the bound was met")
	require.NotContains(t, s.program.Log(), "state=refusing")
	require.NotContains(t, s.program.Log(), "state=silent")
}

// An address that moves to another host is that host's from the list on: nothing for the one before goes there.
func TestAddressMoves(t *testing.T) {
	s := enact(t, 2, program.Options{})
	a, b := entry(s.hosts[0]), entry(s.hosts[1])
	for range 5 {
		s.served("lookup")
	}
	socket := a.Addresses[local]
	a.Addresses, b.Addresses = a.Addresses[:local], []string{socket}
	b.Health = "draining"
	s.list.Set(b, a) // the new owner comes first, and takes nothing
	time.Sleep(200 * time.Millisecond)
	for i := range 20 {
		id, _ := s.served(program.Classes[i%3])
		for _, seen := range s.hosts[0].Seen(id) {
			require.NotEqual(t, local, seen.Door)
		}
	}
}

// An address that goes up and down every second costs a bounded number of connections, and no message.
func TestFlappingAddress(t *testing.T) {
	s := enact(t, 1, program.Options{})
	sent, began := 0, time.Now()
	for i := 0; time.Since(began) < 6*time.Second; i++ {
		f := host.Serve
		if int(time.Since(began).Seconds())%2 == 0 {
			f = host.Refuse
		}
		s.fault(local, f)
		s.served(program.Classes[i%3])
		sent++
		time.Sleep(5 * time.Millisecond)
	}
	figures, err := s.program.Figures()
	require.NoError(t, err)
	require.LessOrEqual(t, figures["app_address_failed_total"], 8.)
	require.LessOrEqual(t, figures["app_address_trials_total"], 12.)
	require.Greater(t, sent, 100)
}

// What was learned of addresses goes over to the process that replaces this one.
func TestAddressesAreHandedOver(t *testing.T) {
	s := enact(t, 1, program.Options{})
	s.fault(local, host.ResetWhole)
	_, a := s.send("dispute-extract")
	require.Equal(t, 502, a.Status)
	old := s.program
	o := program.Options{Path: os.Args[0], Dir: t.TempDir(), Discovery: s.list.Address(), Listen: old.Address(),
		Env: []string{"TOPAZFALL_PLAYED=1"}}
	o.Dir = old.Dir()
	s.start(o)
	require.NoError(t, old.Term())
	require.NoError(t, old.Wait(patience))
	for range 5 {
		id, _ := s.served("dispute-extract")
		require.NotEqual(t, local, s.hosts[0].Seen(id)[0].Door)
	}
}

// Odd lists cost what is odd in them: one log line each, and the rest serves.
func TestOddAddresses(t *testing.T) {
	s := enact(t, 2, program.Options{})
	a, b := entry(s.hosts[0]), entry(s.hosts[1])
	a.Addresses = append([]string{"localhost:1", "127.0.0.1:0"}, a.Addresses...)
	a.Addresses = append(a.Addresses, a.Addresses[2])
	b.Addresses = append(b.Addresses, a.Addresses[3])
	s.list.Set(a, b)
	s.eventually("the log tells", func() bool { return strings.Count(s.program.Log(), "odd=address") >= 4 })
	require.Equal(t, 4, strings.Count(s.program.Log(), "odd=address"), "two unreadable, one twice, one of another host")
	for i := range 10 {
		s.served(program.Classes[i%3])
	}
}
