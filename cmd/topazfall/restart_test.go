package main

import (
	"bytes"
	"encoding/gob"
	"net"
	"os"
	"path/filepath"
	"slices"
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

// readyWithin is the bound on how long a started process takes to be ready, but for the time in which another one has
// its address and neither answers nor goes. instance.readyBound says what it consists of.
const readyWithin = 6 * time.Second

// TestStarts plays starts and restarts that something stands in the way of, side by side, but not beside the other
// tests, some of which measure milliseconds.
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
	} {
		t.Run(play.name, func(t *testing.T) {
			t.Parallel()
			play.test(t)
		})
	}
}

// linkPath is where a process of the name and address that the stand-in for the program gives is found by others.
func linkPath(dir, listen string) string {
	return filepath.Join(dir, filepath.Base(takeover.Path("n0", listen)))
}

// fakePredecessor has the address and the link of a process that is to be replaced, and does with who comes what
// behave says.
type fakePredecessor struct {
	clients *net.TCPListener
	links   *net.UnixListener
	dir     string
}

// asking is a process that has asked for the predecessor's place.
type asking struct {
	*fakePredecessor
	*takeover.Link
	raw *net.UnixConn
}

func newFakePredecessor(t *testing.T, behave func(asking)) *fakePredecessor {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakePredecessor{clients: ln.(*net.TCPListener), dir: t.TempDir()}
	f.links, err = takeover.Listen(linkPath(f.dir, ln.Addr().String()))
	require.NoError(t, err)
	t.Cleanup(f.end)
	go func() {
		for {
			c, err := f.links.AcceptUnix()
			if err != nil {
				return
			}
			a := asking{f, takeover.New(c), c}
			t.Cleanup(func() { a.Close() })
			go func() {
				if first, err := a.Next(); err == nil && first.Kind == 'h' {
					behave(a)
				}
			}()
		}
	}()
	return f
}

// end is that of the process: nobody has the address or the link any more.
func (f *fakePredecessor) end() {
	f.links.Close()
	f.clients.Close()
}

// begin sends the head of a state of 1,024 bytes with the listening socket, and one byte more.
func (a asking) begin() {
	socket, err := a.clients.SyscallConn()
	if err != nil {
		return
	}
	socket.Control(func(fd uintptr) {
		a.raw.WriteMsgUnix([]byte{'s', 0, 0, 4, 0, 1}, syscall.UnixRights(int(fd)), nil)
	})
}

// emptyState is what a predecessor says that knows nothing.
func emptyState(t *testing.T) []byte {
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(struct{ Known []string }{nil}))
	return b.Bytes()
}

func listener(t *testing.T) *discoveryserver.Server {
	list, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(list.Close)
	return list
}

// launch starts the program without waiting for it.
func launch(t *testing.T, o program.Options) *program.Process {
	o.Path, o.Env = os.Args[0], append(o.Env, "TOPAZFALL_PLAYED=1")
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

// A process that is to be replaced hangs at each point of the hand-over, or says what cannot be read: the one that
// replaces it is ready within the bound, on the socket that it was given, with discovery silent.
func testReadyThoughThePredecessorHangs(t *testing.T) {
	state := emptyState(t)
	for name, behave := range map[string]func(asking){
		"in the middle of its state": asking.begin,
		"and ends in the middle of its state": func(a asking) {
			a.begin()
			a.end()
			a.Close()
		},
		"after its state":                  func(a asking) { a.Send('s', state, a.clients) },
		"after a state that is unreadable": func(a asking) { a.Send('s', []byte("\x07rubbish"), a.clients) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := listener(t)
			list.SetFault(discoveryserver.Silent)
			f := newFakePredecessor(t, behave)
			p := launch(t, program.Options{Dir: f.dir, Listen: f.clients.Addr().String(), Discovery: list.Address(),
				Deadline: time.Second})
			took, err := p.AwaitReady(patience)
			require.NoError(t, err)
			require.Less(t, took, readyWithin)
			c, err := net.Dial("tcp", p.Address())
			require.NoError(t, err)
			c.Close()
			require.NoError(t, p.Term())
			require.NoError(t, p.Wait(patience))
			require.Zero(t, p.ExitCode())
		})
	}
}

// The predecessor has given up on the process that was to replace it, and lives: that one ends and takes nothing, as
// both would accept, each without the other's knowledge of what is in hand.
func testNotReadyOnceThePredecessorHasGivenUp(t *testing.T) {
	state, list := emptyState(t), listener(t)
	f := newFakePredecessor(t, func(a asking) {
		a.Send('s', state, a.clients)
		a.Close()
	})
	p := launch(t, program.Options{Dir: f.dir, Listen: f.clients.Addr().String(), Discovery: list.Address()})
	require.NoError(t, p.Wait(patience))
	require.Equal(t, 1, p.ExitCode())
	require.NotContains(t, p.Log(), "state=ready")
}

// One that comes to replace a process and hangs before it accepts stands in nobody's way: its link is ended, and the
// next one is ready within the bound.
func testReadyThoughAnotherSuccessorHangs(t *testing.T) {
	list := listener(t)
	p := launch(t, program.Options{Discovery: list.Address()})
	_, err := p.AwaitReady(patience)
	require.NoError(t, err)
	hung, err := takeover.Dial(linkPath(p.Dir(), p.Address()))
	require.NoError(t, err)
	defer hung.Close()
	require.NoError(t, hung.Send('h', nil, nil))
	f, err := hung.Next()
	require.NoError(t, err)
	require.NotNil(t, f.File)
	f.File.Close()
	next := launch(t, program.Options{Dir: p.Dir(), Listen: p.Address(), Discovery: list.Address()})
	took, err := next.AwaitReady(patience)
	require.NoError(t, err)
	require.Less(t, took, readyWithin)
	_, err = hung.Next()
	require.Error(t, err, "it is told that its time is over")
	require.NoError(t, p.Term())
	require.NoError(t, p.Wait(patience))
	require.Zero(t, p.ExitCode())
}

// The address belongs to a process that is stopped (SIGSTOP). No way leads to it but that process's going on, or its
// end: the one that replaces it is ready within the bound from then on, and the operators are answered meanwhile.
func testReadyOnceAStoppedPredecessorGoesOnOrEnds(t *testing.T) {
	for name, release := range map[string]syscall.Signal{"goes on": syscall.SIGCONT, "ends": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := listener(t)
			p := launch(t, program.Options{Discovery: list.Address()})
			_, err := p.AwaitReady(patience)
			require.NoError(t, err)
			require.NoError(t, p.Freeze())
			next := launch(t, program.Options{Dir: p.Dir(), Listen: p.Address(), Discovery: list.Address()})
			_, err = next.AwaitReady(3 * time.Second)
			require.ErrorContains(t, err, "not ready")
			_, err = next.Figures()
			require.NoError(t, err)
			released := time.Now()
			require.NoError(t, p.Signal(release))
			_, err = next.AwaitReady(patience)
			require.NoError(t, err)
			require.Less(t, time.Since(released), readyWithin)
			if release == syscall.SIGCONT {
				require.NoError(t, p.Term())
				require.NoError(t, p.Wait(patience))
				require.Zero(t, p.ExitCode())
			}
		})
	}
}

// A process is stopped (SIGSTOP) and stays so: the one that is started in its place is ready within the bound all the
// same. It is not: the kernel gives the address to nobody else while the stopped process lives, and only that process
// could pass it on. Its successor says "listen ...: address already in use" and waits. Listed in KNOWN-RED.txt.
func TestReadyWhileThePredecessorStaysStopped(t *testing.T) {
	list := listener(t)
	p := launch(t, program.Options{Discovery: list.Address()})
	_, err := p.AwaitReady(patience)
	require.NoError(t, err)
	require.NoError(t, p.Freeze())
	next := launch(t, program.Options{Dir: p.Dir(), Listen: p.Address(), Discovery: list.Address()})
	_, err = next.AwaitReady(readyWithin)
	require.NoError(t, err)
}

// The address is still another's, who hands nothing over and goes: the process has it at once then. A signal to read
// the configuration that comes meanwhile does not end it, and is heeded.
func testReadyOnceTheAddressIsFree(t *testing.T) {
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	list := listener(t)
	p := launch(t, program.Options{Listen: other.Addr().String(), Discovery: list.Address()})
	_, err = p.AwaitReady(time.Second)
	require.ErrorContains(t, err, "not ready")
	require.NoError(t, p.Signal(syscall.SIGHUP))
	other.Close()
	free := time.Now()
	_, err = p.AwaitReady(patience)
	require.NoError(t, err)
	require.Less(t, time.Since(free), readyWithin)
	require.Eventually(t, func() bool {
		figures, err := p.Figures()
		return err == nil && figures["app_sighup_applied_total"] == 1
	}, patience, 10*time.Millisecond)
}

// The address belongs to a process that was told to end and still has a message in hand, which takes its time: the one
// that is started then does not wait for that, and the message gets its answer.
func testReadyThoughThePredecessorIsLeaving(t *testing.T) {
	for _, since := range []time.Duration{50 * time.Millisecond, time.Second} { // it still takes messages, and no more
		t.Run(since.String(), func(t *testing.T) {
			t.Parallel()
			list := listener(t)
			p := launch(t, program.Options{Discovery: list.Address()})
			_, err := p.AwaitReady(patience)
			require.NoError(t, err)
			worker, err := host.Start(host.Options{Name: "s-0", Dir: t.TempDir(), Work: 3 * time.Second},
				p.CallBack, doors...) // to the address, whoever has it
			require.NoError(t, err)
			t.Cleanup(worker.Close)
			list.Set(entry(worker))
			answer := make(chan client.Answer, 1)
			go func() {
				answer <- client.New(p.Address(), "slow").Do(client.Message{ID: "slow", Class: "usage-report",
					Tenant: "delta-mobile", Wait: 8 * time.Second})
			}()
			require.Eventually(t, func() bool { return worker.Runs("slow") == 1 }, patience, time.Millisecond)
			require.NoError(t, p.Term())
			time.Sleep(since)
			next := launch(t, program.Options{Dir: p.Dir(), Listen: p.Address(), Discovery: list.Address()})
			took, err := next.AwaitReady(patience)
			require.NoError(t, err)
			require.Less(t, took, 2*time.Second, "it waits for no message")
			a := <-answer
			require.NoError(t, a.Err)
			require.Equal(t, 200, a.Status, a.Body)
			require.NoError(t, p.Wait(patience))
			require.Zero(t, p.ExitCode())
		})
	}
}

// oldList is a list that was known before a restart: its worker is not there any more.
const oldList = `{"seq":3,"whole":true,"hosts":[{"host":"s-old","dial":"127.0.0.1:1","site":"hall-a","class":"small",` +
	`"block":0,"health":"up","share":1,"born_ms":0}]}`

// Many processes are killed and started again at once, while discovery is down, silent, slow, refusing, or answers one
// call in ten; they know of no worker, or of an old list; lists come unasked or must be asked for. Nine in ten are
// ready within the bound, and all in less than the longest that the platform waits.
func testManyRestartedAtOnce(t *testing.T) {
	faults := map[string]discoveryserver.Fault{"silent": discoveryserver.Silent, "slow": discoveryserver.Slow,
		"refusing": discoveryserver.Refuse, "crowded": discoveryserver.Crowded, "down": discoveryserver.None}
	var starts []program.Options
	for name, fault := range faults {
		list := listener(t)
		if list.SetFault(fault); name == "down" {
			list.Close()
		}
		for _, known := range []string{"", oldList} {
			for _, asked := range []bool{false, true} {
				starts = append(starts, program.Options{Discovery: list.Address(), Known: known, Asked: asked})
			}
		}
	}
	var killed []*program.Process
	for i := range starts {
		starts[i].Dir = t.TempDir()
		p := launch(t, starts[i])
		starts[i].Listen = p.Address()
		killed = append(killed, p)
	}
	for _, p := range killed {
		_, err := p.AwaitReady(longestStart)
		require.NoError(t, err)
		p.Kill()
	}
	var restarted []*program.Process
	for _, o := range starts {
		restarted = append(restarted, launch(t, o))
	}
	times := make([]time.Duration, len(restarted))
	var wait sync.WaitGroup
	for i, p := range restarted {
		wait.Go(func() {
			took, err := p.AwaitReady(longestStart)
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
		require.NoError(t, p.Term())
	}
	for _, p := range restarted {
		require.NoError(t, p.Wait(patience))
		require.Zero(t, p.ExitCode())
	}
}

// longestStart is what no started process may take.
const longestStart = 30 * time.Second
