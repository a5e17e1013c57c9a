package rig

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/instance"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// The dispatcher processes are this test binary, started again with TOPAZFALL_PLAYED set.
func TestMain(m *testing.M) {
	if os.Getenv("TOPAZFALL_PLAYED") != "" {
		if instance.Run(nil) != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const testTimeout = 20 * time.Second

func startRig(t *testing.T, names ...string) *Rig {
	discovery, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(discovery.Close)
	discovery.Update(discoveryserver.Entry{Host: "h", Dial: "127.0.0.1:9", Site: "hall-a", Class: "small", Share: 1})
	r, err := Start(Options{Dir: t.TempDir(), Names: names, Args: func(Member) ([]string, error) { return nil, nil },
		Program: program.Options{ProgramPath: os.Args[0], Env: []string{"TOPAZFALL_PLAYED=1"},
			Discovery: discovery.Address()}})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// isAnswering reports whether a member's process answers a request.
func isAnswering(r *Rig, name string) bool {
	c, err := net.DialTimeout("tcp", r.Process(name).Address(), time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return false
	}
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	return err == nil
}

// A frozen process does not answer until it is thawed. A killed process can be restarted under the same name and
// address, with its stored state or, after WipeState, without it.
func TestFreezeKillAndRestart(t *testing.T) {
	r := startRig(t, "a", "b", "c")
	require.Equal(t, []string{"a", "b", "c"}, r.Names())
	for _, name := range r.Names() {
		require.True(t, isAnswering(r, name))
	}
	require.NoError(t, r.Freeze("a"))
	require.False(t, isAnswering(r, "a"))
	require.True(t, isAnswering(r, "b"))
	require.NoError(t, r.Thaw("a"))
	require.Eventually(t, func() bool { return isAnswering(r, "a") }, testTimeout, 10*time.Millisecond)

	kept := filepath.Join(r.Member("b").StateDir, "kept")
	require.NoError(t, os.WriteFile(kept, nil, 0o600))
	address := r.Process("b").Address()
	r.Kill("b", "c")
	require.True(t, r.Process("b").HasExited())
	require.NoError(t, r.Restart("b", "c"))
	require.Equal(t, address, r.Process("b").Address())
	require.FileExists(t, kept)
	r.Kill("b")
	require.NoError(t, r.WipeState("b"))
	require.NoError(t, r.Restart("b"))
	require.NoFileExists(t, kept)
	require.True(t, isAnswering(r, "b"))
}

// A second process takes over from the first under the same address, and the first one exits on SIGTERM.
func TestReplace(t *testing.T) {
	r := startRig(t, "a")
	old, err := r.Replace("a")
	require.NoError(t, err)
	require.False(t, old.HasExited())
	require.Equal(t, old.Address(), r.Process("a").Address())
	require.NoError(t, r.Terminate(old))
	require.True(t, isAnswering(r, "a"))
	require.Contains(t, r.Log("a"), "young=here")
}

// A link carries the connections from one member to another. A partition holds them back, but not those between members
// on the same side of it.
func TestPartition(t *testing.T) {
	r := startRig(t, "a", "b", "c")
	listener, err := net.Listen("tcp", r.Member("b").PeerListen)
	require.NoError(t, err)
	defer listener.Close()
	received := make(chan string, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			text := make([]byte, 1)
			if _, err := c.Read(text); err == nil {
				received <- string(text)
			}
			c.Close()
		}
	}()
	r.Partition("b", "c")
	c, err := net.Dial("tcp", r.Member("a").PeerLinks["b"])
	require.NoError(t, err)
	defer c.Close()
	c.Write([]byte("1"))
	d, err := net.Dial("tcp", r.Member("c").PeerLinks["b"])
	require.NoError(t, err)
	defer d.Close()
	d.Write([]byte("2"))
	require.Equal(t, "2", <-received, "only the member on the same side of the partition gets through")
	require.Zero(t, r.Link("a", "b").Bytes(0))
	r.Heal()
	require.Equal(t, "1", <-received)
}

// A name that is no member's has no process.
func TestProcessOfUnknownMember(t *testing.T) { require.Nil(t, (&Rig{}).Process("none")) }

// Guards against a process that is left behind because the installation was closed while it started.
func TestCloseEndsAStart(t *testing.T) {
	r := startRig(t, "a")
	require.NoError(t, r.Freeze("a")) // so that its successor does not become ready
	failed := make(chan error, 1)
	go func() {
		_, err := r.Replace("a")
		failed <- err
	}()
	m := r.members["a"]
	require.Eventually(t, func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return len(m.starting) == 1
	}, testTimeout, time.Millisecond)
	r.Close()
	select {
	case err := <-failed:
		require.ErrorContains(t, err, "exited before it was ready")
	case <-time.After(testTimeout / 4):
		require.Fail(t, "the start goes on")
	}
	_, err := r.Replace("a")
	require.ErrorIs(t, err, errClosed)
}
