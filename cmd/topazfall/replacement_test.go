package main

import (
	"fmt"
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

const (
	drainAllowance = 50 * time.Millisecond // by which the protocol lengthens the grace period of a drain
	loadInterval   = 10 * time.Millisecond // between two bursts of messages
	loadBurst      = 4                     // messages at a time
	observedPeriod = 4 * time.Second       // after a drain
)

// replacedDispatcher is one dispatcher of many that ask discovery for their lists, with two hosts and load. Its process
// is replaced while one of the hosts begins to drain.
type replacedDispatcher struct {
	*testing.T
	list          *discoveryserver.Server
	options       program.Options
	kept, drained *host.Host
	processes     []*program.Process
}

func startReplacedDispatcher(t *testing.T, drainGrace time.Duration) *replacedDispatcher {
	d := &replacedDispatcher{T: t, list: startDiscovery(t)}
	d.options = program.Options{Dir: t.TempDir(), Discovery: d.list.Address(), Subscribe: true,
		EditConfig: func(config map[string]any) {
			settings := config["settings"].(map[string]any)
			settings["replicas_of_me"] = 60
			settings["contract"].(map[string]any)["drain_grace_us"] = drainGrace.Microseconds()
		}}
	d.start()
	d.options.Listen = d.processes[0].Address()
	for i, h := range []**host.Host{&d.kept, &d.drained} {
		worker, err := host.Start(host.Options{Name: fmt.Sprint("s-", i), SocketDir: t.TempDir(),
			JobDuration: 5 * time.Millisecond}, d.processes[0].SendCallback, listenAddresses...)
		require.NoError(t, err)
		t.Cleanup(worker.Close)
		*h = worker
	}
	d.list.Update(listEntry(d.kept), listEntry(d.drained))
	d.startLoad()
	require.Eventually(t, func() bool { return !d.drained.LastArrival().IsZero() }, testTimeout, time.Millisecond)
	return d
}

// start starts a process, which replaces the last one if there is one, and waits until it is ready.
func (d *replacedDispatcher) start() {
	d.launch()
	_, err := d.processes[len(d.processes)-1].AwaitReady(testTimeout)
	require.NoError(d, err)
}

func (d *replacedDispatcher) launch() {
	d.processes = append(d.processes, launchProgram(d.T, d.options))
}

// process returns a process, counted from the last one.
func (d *replacedDispatcher) process(fromLast int) *program.Process {
	return d.processes[len(d.processes)-1-fromLast]
}

// startLoad sends messages until the test ends.
func (d *replacedDispatcher) startLoad() {
	stop, clients := make(chan struct{}), client.New(d.options.Listen, "load")
	var wait sync.WaitGroup
	d.Cleanup(func() {
		close(stop)
		wait.Wait()
	})
	wait.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(loadInterval):
			}
			for range loadBurst {
				wait.Go(func() {
					clients.Do(client.Message{ID: clients.NextID(), Class: "lookup", Tenant: "delta-mobile",
						Timeout: time.Second})
				})
			}
		}
	})
}

// drain makes discovery tell that a host drains.
func (d *replacedDispatcher) drain() (toldAt time.Time) {
	entry := listEntry(d.drained)
	entry.Health = "draining"
	toldAt = time.Now()
	d.list.Update(entry)
	return toldAt
}

// replacementPlay is a replacement in which discovery tells of a drain.
type replacementPlay struct {
	name string
	run  func(*replacedDispatcher) (toldAt time.Time)
}

var replacementPlays = []replacementPlay{
	{"before the successor is ready", func(d *replacedDispatcher) time.Time {
		d.launch()
		toldAt := d.drain()
		_, err := d.process(0).AwaitReady(testTimeout)
		require.NoError(d, err)
		require.NoError(d, d.process(1).Terminate())
		return toldAt
	}},
	{"before SIGTERM", func(d *replacedDispatcher) time.Time {
		d.start()
		toldAt := d.drain()
		require.NoError(d, d.process(1).Terminate())
		return toldAt
	}},
	{"after SIGTERM", func(d *replacedDispatcher) time.Time {
		d.start()
		require.NoError(d, d.process(1).Terminate())
		time.Sleep(20 * time.Millisecond)
		return d.drain()
	}},
	{"after the predecessor's end", func(d *replacedDispatcher) time.Time {
		d.start()
		require.NoError(d, d.process(1).Terminate())
		require.NoError(d, d.process(1).Wait(testTimeout))
		return d.drain()
	}},
	{"predecessor killed", func(d *replacedDispatcher) time.Time {
		d.start()
		toldAt := d.drain()
		d.process(1).Kill()
		return toldAt
	}},
	{"predecessor killed before", func(d *replacedDispatcher) time.Time {
		d.start()
		d.process(1).Kill()
		return d.drain()
	}},
	{"predecessor stopped", func(d *replacedDispatcher) time.Time {
		d.start()
		require.NoError(d, d.process(1).Freeze())
		return d.drain()
	}},
	{"several replacements", func(d *replacedDispatcher) time.Time {
		for range 3 {
			d.start()
		}
		toldAt := d.drain()
		for i := range 3 {
			require.NoError(d, d.process(3-i).Terminate())
		}
		return toldAt
	}},
	{"several replacements with one process at a time", func(d *replacedDispatcher) time.Time {
		for range 3 {
			d.start()
			require.NoError(d, d.process(1).Terminate())
		}
		return d.drain()
	}},
	{"a failed replacement and another", func(d *replacedDispatcher) time.Time {
		d.start()
		d.process(0).Kill()
		first := d.process(1)
		d.start()
		require.NoError(d, first.Terminate())
		return d.drain()
	}},
}

// Guards against messages to a host that drains, sent by a process that does not know what discovery has told the other
// process of a replacement. Wherever in the replacement the drain is told, and whatever becomes of the process that
// reads it, nothing new goes to the host after the grace period, and the other host goes on serving.
func TestDrainIsKnownThroughoutAReplacement(t *testing.T) {
	for _, play := range replacementPlays {
		for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprint(play.name, ", ", grace), func(t *testing.T) {
				t.Parallel()
				d := startReplacedDispatcher(t, grace)
				bound := play.run(d).Add(grace + drainAllowance)
				time.Sleep(observedPeriod)
				require.LessOrEqual(t, d.drained.LastArrival().Sub(bound), time.Duration(0),
					"the drained host got a message too late")
				require.Less(t, time.Since(d.kept.LastArrival()), time.Second)
				for _, p := range d.processes {
					p.Signal(syscall.SIGCONT)
				}
			})
		}
	}
}
