package main

import (
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
)

// descriptors is how many a process has open.
func descriptors(t *testing.T, p *program.Process) int {
	open, err := p.Descriptors()
	require.NoError(t, err)
	return open
}

// figure asks the operators' address for one figure. It has to answer within a second; as the machine may be busy with
// other things just then, the fastest of a few calls is what counts.
func (s *stage) figure(name string) (value float64) {
	fastest := time.Hour
	for range 3 {
		began := time.Now()
		figures, err := s.program.Figures()
		require.NoError(s, err)
		value, fastest = figures[name], min(fastest, time.Since(began))
		if fastest < time.Second {
			return value
		}
	}
	require.Less(s, fastest, time.Second, "the operators' address")
	return value
}

// servedAmongCrowd hands in a message on a connection of its own; one whose connection is shut unread comes again.
func (s *stage) servedAmongCrowd() {
	s.eventually("served", func() bool {
		c := client.New(s.program.Address(), s.client.NextID())
		m := client.Message{ID: c.NextID(), Class: "lookup", Tenant: "delta-mobile", Wait: 4 * time.Second}
		return c.Do(m).Status == 200
	})
}

// sendAmongCrowd hands in a message that must not run twice, and returns its id and its answer.
func (s *stage) sendAmongCrowd() (id string, a client.Answer) {
	s.eventually("answered", func() bool {
		id = s.client.NextID()
		c := client.New(s.program.Address(), "")
		a = c.Do(client.Message{ID: id, Class: "dispute-extract", Tenant: "delta-mobile", Wait: 4 * time.Second})
		return a.Err == nil
	})
	return id, a
}

// probedAmongCrowd lets the first address of the only worker reset a job, and serve again: nothing but a probe, as no
// message that may run twice is sent, can show that.
func (s *stage) probedAmongCrowd() {
	s.fault(local, host.ResetWhole)
	_, a := s.sendAmongCrowd()
	require.Equal(s, 502, a.Status, a.Body)
	s.fault(local, host.Serve)
	s.eventually("probed", func() bool {
		id, a := s.sendAmongCrowd()
		seen := s.hosts[0].Seen(id)
		return a.Status == 200 && len(seen) > 0 && seen[0].Door == local
	})
}

// longWork is what a job takes that is in hand while its connection goes to another process.
const longWork = 400 * time.Millisecond

// sender is a client that sends one message after the other on one connection.
type sender struct {
	mu      sync.Mutex
	answers []client.Answer
	stop    chan struct{}
	done    chan struct{}
}

func (s *stage) keepSending() *sender {
	k := &sender{stop: make(chan struct{}), done: make(chan struct{})}
	c := client.New(s.program.Address(), s.client.NextID())
	go func() {
		defer close(k.done)
		for {
			a := c.Do(client.Message{ID: c.NextID(), Class: "usage-report", Tenant: "delta-mobile",
				Wait: 4 * time.Second})
			k.mu.Lock()
			k.answers = append(k.answers, a)
			k.mu.Unlock()
			select {
			case <-k.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	s.Cleanup(k.end)
	return k
}

func (k *sender) end() {
	select {
	case <-k.stop:
	default:
		close(k.stop)
	}
	<-k.done
}

func (k *sender) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.answers)
}

// await waits for another answer, so that the connection has proved good.
func (k *sender) await(t *testing.T) {
	before := k.count()
	require.Eventually(t, func() bool { return k.count() > before }, patience, time.Millisecond)
}

// spanned ends the sending. Every answer that came has to be a good one; it tells whether one came after that moment
// to a message that was sent before.
func (k *sender) spanned(t *testing.T, moment time.Time) (some bool) {
	k.end()
	for _, a := range k.answers {
		if a.Err == nil { // a resting connection may be shut
			require.Equal(t, 200, a.Status, a.Body)
			some = some || a.Sent.Before(moment) && a.Sent.Add(a.Took).After(moment)
		}
	}
	return some
}

// Idle clients take all the descriptors that they are left, while discovery is down. What the program itself needs them
// for goes on: the operators are answered, a message is brought to a worker and its call-back taken, a worker is
// probed, a new list is read as soon as discovery is back, the configuration is read again, another process takes over,
// with a connection on which a message is in hand, and both end when told to.
func TestCrowdLeavesDescriptorsForTheProgram(t *testing.T) {
	for _, d := range []struct {
		name           string
		limit, sockets int
		fault          discoveryserver.Fault
		clients        int
	}{
		{"the smallest limit", 256, 256, discoveryserver.Silent, 400},
		{"the system's limit is the smaller one", 256, 1024, discoveryserver.Refuse, 400},
		{"less than the smallest", 96, 256, discoveryserver.Silent, 200},
	} {
		t.Run(d.name, func(t *testing.T) {
			o := program.Options{Sockets: d.sockets, Descriptors: d.limit, Probe: true}
			s := enact(t, 1, o)
			s.servedAmongCrowd()
			s.list.SetFault(d.fault)
			c := client.Gather(s.program.Address(), d.clients)
			t.Cleanup(c.Disperse)
			s.eventually("the descriptors are as full as they get", func() bool {
				return descriptors(t, s.program) > d.limit/2
			})
			s.servedAmongCrowd()
			s.probedAmongCrowd()
			require.NoError(t, s.program.Signal(syscall.SIGHUP))
			s.eventually("the configuration is read", func() bool { return s.figure("app_sighup_applied_total") == 1 })

			second, err := host.Start(host.Options{Name: "s-9", Dir: t.TempDir(), Work: longWork},
				s.program.CallBack, doors...) // to the address, whoever has it
			require.NoError(t, err)
			t.Cleanup(second.Close)
			first := entry(s.hosts[0])
			first.Health = "draining"
			s.list.Set(entry(second), first)
			s.list.SetFault(discoveryserver.None)
			back := time.Now()
			s.eventually("the list is read", func() bool { return s.figure("app_discovered") == 2 })
			require.Less(t, time.Since(back), 6*time.Second)
			s.servedAmongCrowd()

			s.list.SetFault(d.fault)
			old, steady := s.program, s.keepSending()
			o.Path, o.Dir, o.Listen, o.Discovery = os.Args[0], old.Dir(), old.Address(), s.list.Address()
			o.Env = []string{"TOPAZFALL_PLAYED=1"}
			s.start(o)
			s.servedAmongCrowd()
			held, holds := descriptors(t, old), descriptors(t, s.program)
			t.Logf("descriptors of the two: %d and %d of %d", held, holds, d.limit)
			require.LessOrEqual(t, held+holds, d.limit, "of both together")
			steady.await(t)
			time.Sleep(longWork / 2) // the next is in hand
			termed := time.Now()
			require.NoError(t, old.Term())
			require.NoError(t, old.Wait(patience))
			require.Zero(t, old.ExitCode())
			steady.await(t)
			require.True(t, steady.spanned(t, termed), "no message was in hand when its connection was passed on")
			s.servedAmongCrowd()
			require.NoError(t, s.program.Term())
			require.NoError(t, s.program.Wait(patience))
			require.Zero(t, s.program.ExitCode())
			c.Disperse()
			require.NotContains(t, old.Log()+s.program.Log(), "too many open files")
		})
	}
}
