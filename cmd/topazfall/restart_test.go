package main

import (
	"bytes"
	"encoding/gob"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/discovery"
	"topazfall/internal/lab/program"
	"topazfall/internal/takeover"
)

// readyWithin is the bound on how long a started process takes to be ready, but for the time in which another one has
// its address and neither answers nor goes. instance.readyBound says what it consists of.
const readyWithin = 6 * time.Second

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

func listener(t *testing.T) *discovery.Server {
	list, err := discovery.Start()
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
func TestReadyThoughThePredecessorHangs(t *testing.T) {
	t.Parallel()
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
			list.SetFault(discovery.Silent)
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
func TestNotReadyOnceThePredecessorHasGivenUp(t *testing.T) {
	t.Parallel()
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
func TestReadyThoughAnotherSuccessorHangs(t *testing.T) {
	t.Parallel()
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
func TestReadyOnceAStoppedPredecessorGoesOnOrEnds(t *testing.T) {
	t.Parallel()
	for name, release := range map[string]syscall.Signal{"goes on": syscall.SIGCONT, "ends": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := listener(t)
			p := launch(t, program.Options{Discovery: list.Address()})
			_, err := p.AwaitReady(patience)
			require.NoError(t, err)
			require.NoError(t, p.Signal(syscall.SIGSTOP))
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

// The address is still another's, who hands nothing over and goes: the process has it at once then.
func TestReadyOnceTheAddressIsFree(t *testing.T) {
	t.Parallel()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	list := listener(t)
	p := launch(t, program.Options{Listen: other.Addr().String(), Discovery: list.Address()})
	_, err = p.AwaitReady(time.Second)
	require.ErrorContains(t, err, "not ready")
	other.Close()
	free := time.Now()
	_, err = p.AwaitReady(patience)
	require.NoError(t, err)
	require.Less(t, time.Since(free), readyWithin)
}
