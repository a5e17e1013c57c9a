package main

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
	"topazfall/internal/takeover"
)

// readyWithin is the maximum time from the start of a process until it is ready, without the time in which another
// process has its address and neither answers nor ends. Package instance lists its parts at readyBound.
const readyWithin = 6 * time.Second

// TestStarts runs starts and restarts under faults. They run in parallel, but not with the other tests, some of which
// measure milliseconds.
func TestStarts(t *testing.T) {
	for _, play := range []struct {
		name string
		test func(*testing.T)
	}{
		{"ReadyThoughThePredecessorHangs", testReadyThoughThePredecessorHangs},
		{"NotReadyOnceThePredecessorHasGivenUp", testNotReadyOnceThePredecessorHasGivenUp},
		{"ReadyThoughAnotherSuccessorHangs", testReadyThoughAnotherSuccessorHangs},
		{"ReadyOnceAStoppedPredecessorGoesOnOrEnds", testReadyOnceAStoppedPredecessorGoesOnOrEnds},
		{"ReadyOnceTheAddressIsFree", testReadyOnceTheAddressIsFree},
		{"ReadyThoughThePredecessorIsLeaving", testReadyThoughThePredecessorIsLeaving},
		{"ManyRestartedAtOnce", testManyRestartedAtOnce},
		{"IDInFlightAtTheSuccessor", testIDInFlightAtTheSuccessor},
	} {
		t.Run(play.name, func(t *testing.T) {
			t.Parallel()
			play.test(t)
		})
	}
}

// linkPath returns the path of the handover socket of a process with the name n0 and this listen address.
func linkPath(dir, listen string) string {
	return filepath.Join(dir, filepath.Base(takeover.SocketPath("n0", listen)))
}

// fakePredecessor has the address and the handover socket of a process that is to be replaced. A function of the test
// handles each successor that connects.
type fakePredecessor struct {
	clientListener *net.TCPListener
	linkListener   *net.UnixListener
	dir            string
}

// linkRequest is the connection of a process that asks to replace the predecessor.
type linkRequest struct {
	*fakePredecessor
	*takeover.Link
	raw *net.UnixConn
}

func newFakePredecessor(t *testing.T, behave func(linkRequest)) *fakePredecessor {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakePredecessor{clientListener: ln.(*net.TCPListener), dir: t.TempDir()}
	f.linkListener, err = takeover.Listen(linkPath(f.dir, ln.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(f.exit)
	go func() {
		for {
			c, err := f.linkListener.AcceptUnix()
			if err != nil {
				return
			}
			a := linkRequest{f, takeover.NewLink(c), c}
			t.Cleanup(func() { a.Close() })
			go func() {
				if first, err := a.ReadFrame(); err == nil && first.Kind == 'h' {
					behave(a)
				}
			}()
		}
	}()
	return f
}

// exit frees the address and the handover socket, as the end of the process does.
func (f *fakePredecessor) exit() {
	f.linkListener.Close()
	f.clientListener.Close()
}

// sendPartialState sends the header of a state of 1,024 bytes with the listening socket, and one byte of the state.
func (r linkRequest) sendPartialState() {
	socket, err := r.clientListener.SyscallConn()
	if err != nil {
		return
	}
	socket.Control(func(fd uintptr) {
		r.raw.WriteMsgUnix([]byte{'s', 0, 0, 4, 0, 1}, syscall.UnixRights(int(fd)), nil)
	})
}

// emptyState returns the handover state of a predecessor that knows nothing.
func emptyState(t *testing.T) []byte {
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(struct{ Known []string }{nil}))
	return b.Bytes()
}

func startDiscovery(t *testing.T) *discoveryserver.Server {
	list, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(list.Close)
	return list
}

// launchProgram starts the program without waiting until it is ready.
func launchProgram(t *testing.T, o program.Options) *program.Process {
	o.ProgramPath, o.Env = os.Args[0], append(o.Env, "TOPAZFALL_PLAYED=1")
	if o.Dir == "" {
		o.Dir = t.TempDir()
	}
	p, err := program.Launch(o)
	require.NoError(t, err)
	t.Cleanup(func() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
		if t.Failed() {
			t.Log(p.Log())
		}
	})
	return p
}

// A predecessor hangs at some point of the handover, or sends a state that cannot be decoded. Its successor must be
// ready in time, on the socket that it received, even if discovery does not answer.
func testReadyThoughThePredecessorHangs(t *testing.T) {
	state := emptyState(t)
	for name, behave := range map[string]func(linkRequest){
		"in the middle of its state": linkRequest.sendPartialState,
		"and ends in the middle of its state": func(a linkRequest) {
			a.sendPartialState()
			a.exit()
			a.Close()
		},
		"after its state": func(a linkRequest) { a.Send('s', state, a.clientListener) },
		"after a state that is unreadable": func(a linkRequest) {
			a.Send('s', []byte("\x07rubbish"), a.clientListener)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := startDiscovery(t)
			list.SetFault(discoveryserver.Unresponsive)
			f := newFakePredecessor(t, behave)
			p := launchProgram(t, program.Options{Dir: f.dir, Listen: f.clientListener.Addr().String(),
				Discovery: list.Address(), Deadline: time.Second})
			took, err := p.AwaitReady(testTimeout)
			require.NoError(t, err)
			require.Less(t, took, readyWithin)
			c, err := net.Dial("tcp", p.Address())
			require.NoError(t, err)
			c.Close()
			require.NoError(t, p.Terminate())
			require.NoError(t, p.Wait(testTimeout))
			require.Zero(t, p.ExitCode())
		})
	}
}

// The predecessor has given up the handover and stays alive. The successor must end without accepting clients:
// otherwise both processes would accept, and neither would know which messages the other has in progress.
func testNotReadyOnceThePredecessorHasGivenUp(t *testing.T) {
	state, list := emptyState(t), startDiscovery(t)
	f := newFakePredecessor(t, func(a linkRequest) {
		a.Send('s', state, a.clientListener)
		a.Close()
	})
	p := launchProgram(t, program.Options{Dir: f.dir, Listen: f.clientListener.Addr().String(),
		Discovery: list.Address()})
	require.NoError(t, p.Wait(testTimeout))
	require.Equal(t, 1, p.ExitCode())
	require.NotContains(t, p.Log(), "state=ready")
}

// A successor that hangs before it accepts clients must not block others: its connection is closed, and the next
// successor is ready in time.
func testReadyThoughAnotherSuccessorHangs(t *testing.T) {
	list := startDiscovery(t)
	predecessor := launchProgram(t, program.Options{Discovery: list.Address()})
	_, err := predecessor.AwaitReady(testTimeout)
	require.NoError(t, err)
	var hanging *takeover.Link
	require.Eventually(t, func() bool { // it listens for successors right after it is ready
		hanging, err = takeover.Dial(linkPath(predecessor.Dir(), predecessor.Address()))
		return err == nil
	}, testTimeout, time.Millisecond)
	defer hanging.Close()
	require.NoError(t, hanging.Send('h', nil, nil))
	f, err := hanging.ReadFrame()
	require.NoError(t, err)
	require.NotNil(t, f.File)
	f.File.Close()
	successor := launchProgram(t, program.Options{Dir: predecessor.Dir(), Listen: predecessor.Address(),
		Discovery: list.Address()})
	took, err := successor.AwaitReady(testTimeout)
	require.NoError(t, err)
	require.Less(t, took, readyWithin)
	hanging.SetReadDeadline(time.Now().Add(testTimeout))
	for err == nil { // what discovery has told the predecessor meanwhile
		f, err = hanging.ReadFrame()
		require.Nil(t, f.File)
	}
	require.ErrorIs(t, err, io.EOF, "its connection is closed")
	require.NoError(t, predecessor.Terminate())
	require.NoError(t, predecessor.Wait(testTimeout))
	require.Zero(t, predecessor.ExitCode())
}

// The address belongs to a process that is stopped (SIGSTOP). It becomes available only when that process is resumed or
// ends; from then on the successor must be ready in time. Until then it answers its management address.
func testReadyOnceAStoppedPredecessorGoesOnOrEnds(t *testing.T) {
	for name, release := range map[string]syscall.Signal{"goes on": syscall.SIGCONT, "ends": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := startDiscovery(t)
			predecessor := launchProgram(t, program.Options{Discovery: list.Address()})
			_, err := predecessor.AwaitReady(testTimeout)
			require.NoError(t, err)
			require.NoError(t, predecessor.Freeze())
			successor := launchProgram(t, program.Options{Dir: predecessor.Dir(), Listen: predecessor.Address(),
				Discovery: list.Address()})
			_, err = successor.AwaitReady(3 * time.Second)
			require.ErrorContains(t, err, "not ready")
			_, err = successor.Metrics()
			require.NoError(t, err)
			releasedAt := time.Now()
			require.NoError(t, predecessor.Signal(release))
			_, err = successor.AwaitReady(testTimeout)
			require.NoError(t, err)
			require.Less(t, time.Since(releasedAt), readyWithin)
			if release == syscall.SIGCONT {
				require.NoError(t, predecessor.Terminate())
				require.NoError(t, predecessor.Wait(testTimeout))
				require.Zero(t, predecessor.ExitCode())
			}
		})
	}
}

// A process is stopped (SIGSTOP) and stays so. Its successor should be ready in time all the same, but is not: the
// kernel gives the address to no other process while the stopped one lives, and only that one could hand it over. The
// successor logs "listen ...: address already in use" and waits. Listed in KNOWN-RED.txt.
func TestReadyWhileThePredecessorStaysStopped(t *testing.T) {
	list := startDiscovery(t)
	p := launchProgram(t, program.Options{Discovery: list.Address()})
	_, err := p.AwaitReady(testTimeout)
	require.NoError(t, err)
	require.NoError(t, p.Freeze())
	next := launchProgram(t, program.Options{Dir: p.Dir(), Listen: p.Address(), Discovery: list.Address()})
	_, err = next.AwaitReady(readyWithin)
	require.NoError(t, err)
}

// The address belongs to another process, which hands nothing over and ends: the process must then get it at once. A
// SIGHUP that comes meanwhile does not end the process, and the configuration is reloaded.
func testReadyOnceTheAddressIsFree(t *testing.T) {
	occupant, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	list := startDiscovery(t)
	p := launchProgram(t, program.Options{Listen: occupant.Addr().String(), Discovery: list.Address()})
	_, err = p.AwaitReady(time.Second)
	require.ErrorContains(t, err, "not ready")
	require.NoError(t, p.Signal(syscall.SIGHUP))
	occupant.Close()
	freedAt := time.Now()
	_, err = p.AwaitReady(testTimeout)
	require.NoError(t, err)
	require.Less(t, time.Since(freedAt), readyWithin)
	require.Eventually(t, func() bool {
		metrics, err := p.Metrics()
		return err == nil && metrics["app_sighup_applied_total"] == 1
	}, testTimeout, 10*time.Millisecond)
}

// The address belongs to a process that received SIGTERM and still has a slow message in progress. A process started
// then must not wait for that message, and the message gets its answer.
func testReadyThoughThePredecessorIsLeaving(t *testing.T) {
	// After the first of these times the predecessor still accepts messages, after the second it no longer does.
	for _, since := range []time.Duration{50 * time.Millisecond, time.Second} {
		t.Run(since.String(), func(t *testing.T) {
			t.Parallel()
			list := startDiscovery(t)
			predecessor := launchProgram(t, program.Options{Discovery: list.Address()})
			_, err := predecessor.AwaitReady(testTimeout)
			require.NoError(t, err)
			worker, err := host.Start(host.Options{Name: "s-0", SocketDir: t.TempDir(), JobDuration: 3 * time.Second},
				predecessor.SendCallback, listenAddresses...) // to the same address, whichever process has it
			require.NoError(t, err)
			t.Cleanup(worker.Close)
			list.Update(listEntry(worker))
			answer := make(chan client.Answer, 1)
			go func() {
				answer <- client.New(predecessor.Address(), "slow").Do(client.Message{ID: "slow", Class: "usage-report",
					Tenant: "delta-mobile", Timeout: 8 * time.Second})
			}()
			require.Eventually(t, func() bool { return worker.RunCount("slow") == 1 }, testTimeout, time.Millisecond)
			require.NoError(t, predecessor.Terminate())
			time.Sleep(since)
			successor := launchProgram(t, program.Options{Dir: predecessor.Dir(), Listen: predecessor.Address(),
				Discovery: list.Address()})
			took, err := successor.AwaitReady(testTimeout)
			require.NoError(t, err)
			require.Less(t, took, 2*time.Second, "it has waited for the message")
			a := <-answer
			require.NoError(t, a.Err)
			require.Equal(t, 200, a.Status, a.Body)
			require.NoError(t, predecessor.Wait(testTimeout))
			require.Zero(t, predecessor.ExitCode())
		})
	}
}

// oldList is a list known before a restart. Its worker does not exist any more.
const oldList = `{"seq":3,"whole":true,"hosts":[{"host":"s-old","dial":"127.0.0.1:1","site":"hall-a","class":"small",` +
	`"block":0,"health":"up","share":1,"born_ms":0}]}`

// Many processes are killed and restarted at once while discovery is down, silent, slow or refusing, or answers one
// call in ten. They know no worker or an outdated list, and lists are pushed or polled. Nine in ten must be ready in
// time, and all within the longest time that the platform waits.
func testManyRestartedAtOnce(t *testing.T) {
	faults := map[string]discoveryserver.Fault{"silent": discoveryserver.Unresponsive, "slow": discoveryserver.Slow,
		"refusing": discoveryserver.Unavailable, "crowded": discoveryserver.Overloaded, "down": discoveryserver.NoFault}
	var starts []program.Options
	for name, fault := range faults {
		list := startDiscovery(t)
		if list.SetFault(fault); name == "down" {
			list.Close()
		}
		for _, known := range []string{"", oldList} {
			for _, asked := range []bool{false, true} {
				starts = append(starts, program.Options{Discovery: list.Address(), KnownHosts: known, Subscribe: asked})
			}
		}
	}
	var killed []*program.Process
	for i := range starts {
		starts[i].Dir = t.TempDir()
		p := launchProgram(t, starts[i])
		starts[i].Listen = p.Address()
		killed = append(killed, p)
	}
	for _, p := range killed {
		_, err := p.AwaitReady(maxStartTime)
		require.NoError(t, err)
		p.Kill()
	}
	var restarted []*program.Process
	for _, o := range starts {
		restarted = append(restarted, launchProgram(t, o))
	}
	times := make([]time.Duration, len(restarted))
	var wait sync.WaitGroup
	for i, p := range restarted {
		wait.Go(func() {
			took, err := p.AwaitReady(maxStartTime)
			if err != nil {
				t.Errorf("%+v: %v", starts[i], err)
			}
			times[i] = took
		})
	}
	wait.Wait()
	slices.Sort(times)
	t.Logf("ready after %v", times)
	require.Less(t, times[len(times)*9/10-1], readyWithin)
	for _, p := range restarted {
		require.NoError(t, p.Terminate())
	}
	for _, p := range restarted {
		require.NoError(t, p.Wait(testTimeout))
		require.Zero(t, p.ExitCode())
	}
}

// maxStartTime is the longest time that the platform waits for a started process.
const maxStartTime = 30 * time.Second

// floodSize is more than the number of recent ids that a process knows.
const floodSize = 5000

// flood sends messages that have very little time left, each with an id of its own.
func flood(address string) {
	c := client.New(address, "flood")
	var wait sync.WaitGroup
	const clients = 30
	for range clients {
		wait.Go(func() {
			for range floodSize / clients {
				c.Do(client.Message{ID: c.NextID(), Class: "lookup", Tenant: "sinai-tel", Timeout: time.Millisecond})
			}
		})
	}
	wait.Wait()
}

// Guards against the predecessor forgetting what its successors have in flight, because enough other messages came: it
// would admit a message with such an id on a connection that it still has, and the job would run twice. With two
// replacements in a row the id is in flight at the third process.
func testIDInFlightAtTheSuccessor(t *testing.T) {
	for _, replacements := range []int{1, 2} {
		t.Run(strconv.Itoa(replacements), func(t *testing.T) {
			t.Parallel()
			list := startDiscovery(t)
			first := launchProgram(t, program.Options{Discovery: list.Address(), Deadline: time.Hour})
			_, err := first.AwaitReady(testTimeout)
			require.NoError(t, err)
			kept := client.New(first.Address(), "kept") // its connection stays with the first process
			refused := client.Message{ID: "refused", Class: "lookup", Tenant: "sinai-tel", Timeout: time.Millisecond}
			require.Equal(t, 503, kept.Do(refused).Status)
			worker, err := host.Start(host.Options{Name: "s-0", SocketDir: t.TempDir(), JobDuration: time.Hour},
				first.SendCallback, listenAddresses...)
			require.NoError(t, err)
			t.Cleanup(worker.Close)
			list.Update(listEntry(worker))
			for range replacements {
				next := launchProgram(t, program.Options{Dir: first.Dir(), Listen: first.Address(),
					Discovery: list.Address(), Deadline: time.Hour})
				_, err := next.AwaitReady(testTimeout)
				require.NoError(t, err)
			}
			open := client.Message{ID: "open", Class: "usage-report", Tenant: "delta-mobile", Timeout: time.Hour}
			answer := make(chan client.Answer, 1)
			go func() { answer <- client.New(first.Address(), "open").Do(open) }()
			require.Eventually(t, func() bool { return worker.RunCount("open") == 1 }, testTimeout, time.Millisecond)
			flood(first.Address())
			again := open
			again.Timeout = testTimeout
			require.Equal(t, 409, kept.Do(again).Status)
			callback := `{"id":"open","from":"s-0","state":"done","result":"report"}`
			require.NoError(t, first.SendCallback([]byte(callback)))
			a := <-answer
			require.NoError(t, a.Err)
			require.Equal(t, 200, a.Status)
			require.Equal(t, "report", a.Body)
			require.Equal(t, 1, worker.RunCount("open"))
		})
	}
}
