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

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(t *testing.T, p *program.Process) int {
	open, err := p.OpenDescriptors()
	require.NoError(t, err)
	return open
}

// metric returns one metric from the management address, which has to answer within a second. As the machine may be
// busy, the fastest of up to three calls counts.
func (tb *testbed) metric(name string) (value float64) {
	fastest := time.Hour
	for range 3 {
		began := time.Now()
		metrics, err := tb.program.Metrics()
		require.NoError(tb, err)
		value, fastest = metrics[name], min(fastest, time.Since(began))
		if fastest < time.Second {
			return value
		}
	}
	require.Less(tb, fastest, time.Second, "the management address is slow")
	return value
}

// mustServeOnNewConnection sends a message on a new connection, and retries until one is served: connections of clients
// may be closed before anything is read from them.
func (tb *testbed) mustServeOnNewConnection() {
	tb.eventually("served", func() bool {
		connection := client.New(tb.program.Address(), tb.client.NextID())
		m := client.Message{ID: connection.NextID(), Class: "lookup", Tenant: "delta-mobile", Timeout: 4 * time.Second}
		return connection.Do(m).Status == 200
	})
}

// sendOnNewConnection sends a message that must not run twice on a new connection, and retries until there is an
// answer. It returns the id and the answer.
func (tb *testbed) sendOnNewConnection() (id string, a client.Answer) {
	tb.eventually("answered", func() bool {
		id = tb.client.NextID()
		connection := client.New(tb.program.Address(), "")
		a = connection.Do(client.Message{ID: id, Class: "dispute-extract", Tenant: "delta-mobile",
			Timeout: 4 * time.Second})
		return a.Err == nil
	})
	return id, a
}

// resetAndProbe lets the first address of the only worker reset a job and then serve again. As no message that may run
// twice is sent, only a probe can show that it serves.
func (tb *testbed) resetAndProbe() {
	tb.setFault(unixAddress, host.ResetAfterRequest)
	_, a := tb.sendOnNewConnection()
	require.Equal(tb, 502, a.Status, a.Body)
	tb.setFault(unixAddress, host.Serve)
	tb.eventually("probed", func() bool {
		id, a := tb.sendOnNewConnection()
		seen := tb.hosts[0].Arrivals(id)
		return a.Status == 200 && len(seen) > 0 && seen[0].Endpoint == unixAddress
	})
}

// longJobTime is how long a job takes that is in progress while its client's connection moves to another process.
const longJobTime = 400 * time.Millisecond

// repeatingClient sends one message after the other on one connection.
type repeatingClient struct {
	mu      sync.Mutex
	answers []client.Answer
	stop    chan struct{}
	done    chan struct{}
}

// keepSending starts a repeatingClient.
func (tb *testbed) keepSending() *repeatingClient {
	repeating := &repeatingClient{stop: make(chan struct{}), done: make(chan struct{})}
	connection := client.New(tb.program.Address(), tb.client.NextID())
	go func() {
		defer close(repeating.done)
		for {
			a := connection.Do(client.Message{ID: connection.NextID(), Class: "usage-report", Tenant: "delta-mobile",
				Timeout: 4 * time.Second})
			repeating.mu.Lock()
			repeating.answers = append(repeating.answers, a)
			repeating.mu.Unlock()
			select {
			case <-repeating.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	tb.Cleanup(repeating.halt)
	return repeating
}

func (c *repeatingClient) halt() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	<-c.done
}

func (c *repeatingClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers)
}

// awaitAnswer waits for another answer, which shows that the connection works.
func (c *repeatingClient) awaitAnswer(t *testing.T) {
	count := c.count()
	require.Eventually(t, func() bool { return c.count() > count }, testTimeout, time.Millisecond)
}

// closeAndCheck stops the client and requires that each answer has status 200. It reports whether a message was in
// progress at the given moment.
func (c *repeatingClient) closeAndCheck(t *testing.T, moment time.Time) (spanned bool) {
	c.halt()
	for _, a := range c.answers {
		if a.Err == nil { // an idle connection may have been closed
			require.Equal(t, 200, a.Status, a.Body)
			spanned = spanned || a.Sent.Before(moment) && a.Sent.Add(a.Latency).After(moment)
		}
	}
	return spanned
}

// Idle clients use all descriptors available to clients while discovery is down. The program must have enough left for
// its own work: it answers the management address, relays messages and accepts callbacks, probes a worker, reads a new
// list as soon as discovery is back and reloads the configuration. A successor takes over, along with a connection on
// which a message is in progress, and both processes end on SIGTERM.
func TestIdleClientsLeaveDescriptorsForTheProgram(t *testing.T) {
	for _, test := range []struct {
		name           string
		limit, sockets int
		fault          discoveryserver.Fault
		clients        int
	}{
		{"the smallest limit", 256, 256, discoveryserver.Unresponsive, 400},
		{"the system's limit is the smaller one", 256, 1024, discoveryserver.Unavailable, 400},
		{"less than the smallest", 96, 256, discoveryserver.Unresponsive, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			options := program.Options{MaxSockets: test.sockets, DescriptorLimit: test.limit, MayProbe: true}
			tb := startTestbed(t, 1, options)
			tb.mustServeOnNewConnection()
			tb.discovery.SetFault(test.fault)
			idle := client.StartIdleClients(tb.program.Address(), test.clients)
			t.Cleanup(idle.Stop)
			tb.eventually("the idle clients use their descriptors", func() bool {
				return openDescriptors(t, tb.program) > test.limit/2
			})
			tb.mustServeOnNewConnection()
			tb.resetAndProbe()
			require.NoError(t, tb.program.Signal(syscall.SIGHUP))
			tb.eventually("the configuration is read", func() bool {
				return tb.metric("app_sighup_applied_total") == 1
			})

			second, err := host.Start(host.Options{Name: "s-9", SocketDir: t.TempDir(), JobDuration: longJobTime},
				tb.program.SendCallback, listenAddresses...) // to the same address, whichever process has it
			require.NoError(t, err)
			t.Cleanup(second.Close)
			first := listEntry(tb.hosts[0])
			first.Health = "draining"
			tb.discovery.Update(listEntry(second), first)
			tb.discovery.SetFault(discoveryserver.NoFault)
			backAt := time.Now()
			tb.eventually("the list is read", func() bool { return tb.metric("app_discovered") == 2 })
			require.Less(t, time.Since(backAt), 6*time.Second)
			tb.mustServeOnNewConnection()

			tb.discovery.SetFault(test.fault)
			predecessor, repeating := tb.program, tb.keepSending()
			options.ProgramPath, options.Dir, options.Listen, options.Discovery = os.Args[0], predecessor.Dir(),
				predecessor.Address(), tb.discovery.Address()
			options.Env = []string{"TOPAZFALL_PLAYED=1"}
			tb.start(options)
			tb.mustServeOnNewConnection()
			openInPredecessor, openInSuccessor := openDescriptors(t, predecessor), openDescriptors(t, tb.program)
			t.Logf("open descriptors of the two processes: %d and %d of %d", openInPredecessor, openInSuccessor,
				test.limit)
			require.LessOrEqual(t, openInPredecessor+openInSuccessor, test.limit, "both processes together")
			repeating.awaitAnswer(t)
			time.Sleep(longJobTime / 2) // so that the next message is in progress
			terminatedAt := time.Now()
			require.NoError(t, predecessor.Terminate())
			require.NoError(t, predecessor.Wait(testTimeout))
			require.Zero(t, predecessor.ExitCode())
			repeating.awaitAnswer(t)
			require.True(t, repeating.closeAndCheck(t, terminatedAt),
				"no message was in progress when its connection was handed over")
			tb.mustServeOnNewConnection()
			require.NoError(t, tb.program.Terminate())
			require.NoError(t, tb.program.Wait(testTimeout))
			require.Zero(t, tb.program.ExitCode())
			idle.Stop()
			require.NotContains(t, predecessor.Log()+tb.program.Log(), "too many open files")
		})
	}
}
